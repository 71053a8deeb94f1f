#include <chervilpaddle/controllers/instancepicker.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <queue>
#include <vector>

using namespace chervilpaddle;

namespace {

//! One instance of the service: how much longer than usual it takes, and which part of its calls it refuses.
struct Server
{
    const char *name;
    const char *dataCentre;
    std::function<double(double seconds)> slowness;
    std::function<double(double seconds)> failureShare = [](double) { return 0.0; };
};

//! What the callers got from a second of the play on, when the speeds had been seen.
struct Served
{
    int calls = 0;
    int failed = 0;
    int late = 0;
    int remote = 0;
    double meanSeconds = 0;
};

std::function<double(double)> always(double value)
{
    return [value](double) { return value; };
}

//! One node of data centre "a" calls the servers 60 times a second for some seconds; nothing else is known of them than
//! what their answers tell. `isForecast` off: the picker is told nothing, as before it learnt from answers.
Served play(const std::vector<Server> &servers, double seconds, bool isForecast, double from = 1)
{
    constexpr double callsPerSecond = 60;
    constexpr double workSeconds = 0.2;
    constexpr double lateAfter = 0.5;
    constexpr double slots = 100;
    struct Call
    {
        double ends;
        double started;
        std::size_t server;
        bool fails;
    };
    const auto later = [](const Call &a, const Call &b) { return a.ends > b.ends; };
    std::priority_queue<Call, std::vector<Call>, decltype(later)> running(later);
    std::vector<Candidate> candidates;
    for (const Server &server : servers) {
        candidates.push_back({InstanceId(server.name), Incarnation(1), DataCentreName(server.dataCentre), false});
    }
    InstancePicker picker(DataCentreName("a"), 3);
    RandomSource random(9);
    const OperationName operation("x.run");
    const std::set<InstanceId> none;
    std::vector<int> busy(servers.size());
    Served served;
    const auto answer = [&](const Call &call) {
        const TimePoint now = TimePoint() + fromSeconds(call.ends);
        const InstanceId &instance = candidates[call.server].instance;
        --busy[call.server];
        picker.callEnded(instance);
        picker.recordLoad(instance, busy[call.server] / slots, now);
        if (isForecast && !call.fails) {
            picker.latencyEstimator().recordResponseTime(instance, operation, fromSeconds(call.ends - call.started), now);
        }
        if (isForecast) {
            picker.latencyEstimator().recordOutcome(instance, call.fails, now);
        }
        if (call.started < from) {
            return;
        }
        ++served.calls;
        served.failed += call.fails ? 1 : 0;
        served.late += call.ends - call.started > lateAfter ? 1 : 0;
        served.remote += candidates[call.server].dataCentre == DataCentreName("a") ? 0 : 1;
        served.meanSeconds += call.ends - call.started;
    };
    for (double now = 0; now < seconds; now += 1 / callsPerSecond) {
        while (!running.empty() && running.top().ends <= now) {
            const Call call = running.top();
            running.pop();
            answer(call);
        }
        const auto selection = picker.pick(candidates, {operation, 1, &none, true}, TimePoint() + fromSeconds(now));
        cr_assert(selection.candidate != nullptr);
        const auto server = static_cast<std::size_t>(selection.candidate - candidates.data());
        picker.callStarted(selection.candidate->instance);
        ++busy[server];
        const bool fails = uniformFraction(random) < servers[server].failureShare(now);
        const double took = fails ? 0.002 : workSeconds * servers[server].slowness(now) * (0.5 + uniformFraction(random));
        running.push({now + took, now, server, fails});
    }
    served.meanSeconds /= std::max(1, served.calls);
    return served;
}

} // namespace

Test(instancepicker, a_slow_instance_of_the_own_data_centre_is_passed_over_for_a_fast_one_elsewhere)
{
    const std::vector<Server> servers = {{"x-1", "a", always(1.6)}, {"x-2", "b", always(0.7)}, {"x-3", "c", always(0.7)}};
    const Served before = play(servers, 20, false);
    const Served learnt = play(servers, 20, true);
    cr_expect_lt(learnt.meanSeconds, 0.6 * before.meanSeconds, "%.3f s, was %.3f s", learnt.meanSeconds, before.meanSeconds);
    // One call in four seconds tells whether it is still slow.
    cr_expect_lt(learnt.calls - learnt.remote, learnt.calls / 20, "%d of %d", learnt.calls - learnt.remote, learnt.calls);
}

Test(instancepicker, the_own_data_centre_is_kept_where_others_are_hardly_faster)
{
    const std::vector<Server> servers = {
        {"x-1", "a", always(1)}, {"x-2", "a", always(1)}, {"x-3", "b", always(0.95)}, {"x-4", "b", always(0.95)}};
    const Served served = play(servers, 20, true);
    cr_expect_lt(served.remote, served.calls / 10, "%d of %d", served.remote, served.calls);
}

//! An instance turns slow for six seconds: callers notice it for about a second.
Test(instancepicker, an_instance_that_turns_slow_is_left_and_comes_back)
{
    const auto spell = [](double seconds) { return seconds > 5 && seconds < 11 ? 5.0 : 1.0; };
    const std::vector<Server> servers = {{"x-1", "a", spell}, {"x-2", "a", always(1)}, {"x-3", "a", always(1)}};
    const Served before = play(servers, 11, false, 5);
    const Served learnt = play(servers, 11, true, 5);
    cr_expect_lt(learnt.late, before.late / 2, "%d late, was %d", learnt.late, before.late);
    const Served afterwards = play(servers, 30, true, 16);
    cr_expect_eq(afterwards.late, 0);
}

//! An instance refuses nearly half of its calls at once, and so seems the least loaded.
Test(instancepicker, an_instance_that_fails_half_of_its_calls_quickly_is_left)
{
    const std::vector<Server> servers = {
        {"x-1", "a", always(1), always(0.45)}, {"x-2", "a", always(1)}, {"x-3", "b", always(1)}, {"x-4", "b", always(1)}};
    const Served before = play(servers, 20, false);
    const Served learnt = play(servers, 20, true);
    cr_expect_lt(learnt.failed, before.failed / 4, "%d failed, was %d", learnt.failed, before.failed);
}

Test(instancepicker, an_instance_that_joins_is_tried)
{
    const std::vector<Server> servers = {{"x-1", "a", always(1)}, {"x-2", "a", always(0.5)}};
    const Served served = play(servers, 10, true);
    cr_expect_lt(served.meanSeconds, 0.15);
}
