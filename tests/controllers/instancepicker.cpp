#include <chervilpaddle/controllers/instancepicker.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <queue>
#include <vector>

using namespace chervilpaddle;

namespace {

//! A simulated instance: its response time relative to the normal one, and the share of its calls that fail.
struct SimulatedInstance
{
    const char *name;
    const char *dataCentre;
    std::function<double(double seconds)> slowdown;
    std::function<double(double seconds)> failureRate = [](double) { return 0.0; };
};

//! Results of the calls that were sent after the warm-up, in which the estimates are learnt.
struct Statistics
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

//! Simulates one node of data centre "a" that calls the instances 60 times per second. The picker knows of them only what
//! responses report. Without `learns` no response times and outcomes are recorded, as a baseline for comparison.
Statistics simulate(const std::vector<SimulatedInstance> &instances, double seconds, bool learns, double warmUpSeconds = 1)
{
    constexpr double callsPerSecond = 60;
    constexpr double normalSeconds = 0.2;
    constexpr double lateAfterSeconds = 0.5;
    constexpr double slots = 100;
    struct Call
    {
        double ends;
        double started;
        std::size_t server;
        bool fails;
    };
    const auto endsLater = [](const Call &a, const Call &b) { return a.ends > b.ends; };
    std::priority_queue<Call, std::vector<Call>, decltype(endsLater)> running(endsLater);
    std::vector<Candidate> candidates;
    for (const SimulatedInstance &server : instances) {
        candidates.push_back({InstanceId(server.name), Incarnation(1), DataCentreName(server.dataCentre), false});
    }
    InstancePicker picker(DataCentreName("a"), 3);
    RandomSource random(9);
    const OperationName operation("x.run");
    const std::set<InstanceId> none;
    std::vector<int> busy(instances.size());
    Statistics statistics;
    const auto complete = [&](const Call &call) {
        const TimePoint now = TimePoint() + fromSeconds(call.ends);
        const InstanceId &instance = candidates[call.server].instance;
        --busy[call.server];
        picker.callEnded(instance);
        picker.recordLoad(instance, busy[call.server] / slots, now);
        if (learns && !call.fails) {
            picker.latencyEstimator().recordResponseTime(instance, operation, fromSeconds(call.ends - call.started), now);
        }
        if (learns) {
            picker.latencyEstimator().recordOutcome(instance, call.fails, now);
        }
        if (call.started < warmUpSeconds) {
            return;
        }
        ++statistics.calls;
        statistics.failed += call.fails ? 1 : 0;
        statistics.late += call.ends - call.started > lateAfterSeconds ? 1 : 0;
        statistics.remote += candidates[call.server].dataCentre == DataCentreName("a") ? 0 : 1;
        statistics.meanSeconds += call.ends - call.started;
    };
    for (double now = 0; now < seconds; now += 1 / callsPerSecond) {
        while (!running.empty() && running.top().ends <= now) {
            const Call call = running.top();
            running.pop();
            complete(call);
        }
        const auto selection = picker.pick(candidates, {operation, 1, &none, true}, TimePoint() + fromSeconds(now));
        cr_assert(selection.candidate != nullptr);
        const auto server = static_cast<std::size_t>(selection.candidate - candidates.data());
        picker.callStarted(selection.candidate->instance);
        ++busy[server];
        const bool fails = uniformFraction(random) < instances[server].failureRate(now);
        const double duration = fails ? 0.002 : normalSeconds * instances[server].slowdown(now) * (0.5 + uniformFraction(random));
        running.push({now + duration, now, server, fails});
    }
    statistics.meanSeconds /= std::max(1, statistics.calls);
    return statistics;
}

} // namespace

Test(instancepicker, a_slow_local_instance_is_avoided_for_a_fast_remote_one)
{
    const std::vector<SimulatedInstance> instances = {{"x-1", "a", always(1.6)}, {"x-2", "b", always(0.7)}, {"x-3", "c", always(0.7)}};
    const Statistics baseline = simulate(instances, 20, false);
    const Statistics learning = simulate(instances, 20, true);
    cr_expect_lt(learning.meanSeconds, 0.6 * baseline.meanSeconds, "%.3f s, was %.3f s", learning.meanSeconds, baseline.meanSeconds);
    // The slow instance is probed about once in four seconds.
    cr_expect_lt(learning.calls - learning.remote, learning.calls / 20, "%d of %d", learning.calls - learning.remote, learning.calls);
}

Test(instancepicker, the_local_data_centre_is_preferred_if_others_are_hardly_faster)
{
    const std::vector<SimulatedInstance> instances = {
        {"x-1", "a", always(1)}, {"x-2", "a", always(1)}, {"x-3", "b", always(0.95)}, {"x-4", "b", always(0.95)}};
    const Statistics statistics = simulate(instances, 20, true);
    cr_expect_lt(statistics.remote, statistics.calls / 10, "%d of %d", statistics.remote, statistics.calls);
}

//! An instance is slow for six seconds. Calls must avoid it after about a second, and use it again afterwards.
Test(instancepicker, a_degraded_instance_is_avoided_and_used_again_after_recovery)
{
    const auto slowPeriod = [](double seconds) { return seconds > 5 && seconds < 11 ? 5.0 : 1.0; };
    const std::vector<SimulatedInstance> instances = {{"x-1", "a", slowPeriod}, {"x-2", "a", always(1)}, {"x-3", "a", always(1)}};
    const Statistics baseline = simulate(instances, 11, false, 5);
    const Statistics learning = simulate(instances, 11, true, 5);
    cr_expect_lt(learning.late, baseline.late / 2, "%d late, was %d", learning.late, baseline.late);
    const Statistics afterwards = simulate(instances, 30, true, 16);
    cr_expect_eq(afterwards.late, 0);
}

//! An instance that fails nearly half of its calls at once has the lowest load, which must not attract calls.
Test(instancepicker, an_instance_that_fails_half_of_its_calls_quickly_is_avoided)
{
    const std::vector<SimulatedInstance> instances = {
        {"x-1", "a", always(1), always(0.45)}, {"x-2", "a", always(1)}, {"x-3", "b", always(1)}, {"x-4", "b", always(1)}};
    const Statistics baseline = simulate(instances, 20, false);
    const Statistics learning = simulate(instances, 20, true);
    cr_expect_lt(learning.failed, baseline.failed / 4, "%d failed, was %d", learning.failed, baseline.failed);
}

Test(instancepicker, a_new_instance_is_probed)
{
    const std::vector<SimulatedInstance> instances = {{"x-1", "a", always(1)}, {"x-2", "a", always(0.5)}};
    const Statistics statistics = simulate(instances, 10, true);
    cr_expect_lt(statistics.meanSeconds, 0.15);
}
