#include <chervilpaddle/controllers/clearingrank.h>

#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <queue>
#include <vector>

using namespace chervilpaddle;

namespace {

//! Requests of one priority class; each makes a number of sequential calls to the service under test.
struct LoadClass
{
    int priority = 0;
    double perSecond = 0;
    int calls = 1;
    //! Service time of each call, and mean time from a request's admission to its first call, in seconds.
    double serviceTime = 0.05;
    double delay = 0.2;
};

struct ClassCounts
{
    double requested = 0;
    double served = 0;

    double share() const
    {
        return requested == 0 ? 1 : served / requested;
    }
};

struct LoadResult
{
    std::map<int, ClassCounts> byPriority;
    double meanOccupancy = 0;
    double longestWait = 0;
};

//! Simulates the load of a service deep in the call tree in steps of 1 ms. Requests are admitted by the current clearing
//! rank, and their calls queue for the slots by priority. Requests count from `countFrom` on.
LoadResult simulateLoad(const std::vector<LoadClass> &classes, int slots, double seconds, double countFrom)
{
    constexpr double step = 0.001;
    constexpr int stepsInWindow = 50;
    //! Requests that arrive later than this before the end may not be served in time to count.
    constexpr double drainSeconds = 1.5;
    struct Call
    {
        double time;
        std::size_t load;
        int remainingCalls;
        bool counts;
    };
    const auto later = [](const Call &a, const Call &b) { return a.time > b.time; };
    std::priority_queue<Call, std::vector<Call>, decltype(later)> upcoming(later);
    std::priority_queue<Call, std::vector<Call>, decltype(later)> running(later);
    std::map<int, std::deque<Call>, std::greater<>> waiting;
    RandomSource random(7);
    ClearingRank clearingRank;
    LoadResult result;
    std::map<int, double> arrived;
    double occupied = 0;
    int counted = 0;
    for (int i = 0; i * step < seconds; ++i) {
        const double now = i * step;
        const bool counts = now >= countFrom && now < seconds - drainSeconds;
        for (std::size_t load = 0; load < classes.size(); ++load) {
            if (uniformFraction(random) >= classes[load].perSecond * step) {
                continue;
            }
            result.byPriority[classes[load].priority].requested += counts ? 1 : 0;
            if (uniformFraction(random) < admittedShare(clearingRank.rank(), classes[load].priority)) {
                upcoming.push({now + classes[load].delay * 2 * uniformFraction(random), load, classes[load].calls, counts});
            }
        }
        while (!running.empty() && running.top().time <= now) {
            Call call = running.top();
            running.pop();
            if (--call.remainingCalls > 0) {
                upcoming.push({now, call.load, call.remainingCalls, call.counts});
            } else {
                result.byPriority[classes[call.load].priority].served += call.counts ? 1 : 0;
            }
        }
        while (!upcoming.empty() && upcoming.top().time <= now) {
            Call call = upcoming.top();
            upcoming.pop();
            call.time = now;
            arrived[classes[call.load].priority] += classes[call.load].serviceTime;
            waiting[classes[call.load].priority].push_back(call);
        }
        std::size_t queued = 0;
        double queuedTime = 0;
        for (auto &[priority, calls] : waiting) {
            while (!calls.empty() && static_cast<int>(running.size()) < slots) {
                Call call = calls.front();
                calls.pop_front();
                result.longestWait = std::max(result.longestWait, call.counts ? now - call.time : 0);
                call.time = now + classes[call.load].serviceTime;
                running.push(call);
            }
            for (const Call &call : calls) {
                queuedTime += classes[call.load].serviceTime;
            }
            queued += calls.size();
        }
        if (counts) {
            occupied += static_cast<double>(running.size()) / slots;
            ++counted;
        }
        if (i % stepsInWindow == 0) {
            clearingRank.update({std::exchange(arrived, {}), queuedTime, slots, fromSeconds(step * stepsInWindow), clearingRank.rank()});
        }
    }
    result.meanOccupancy = occupied / counted;
    return result;
}

} // namespace

Test(clearingrank, admits_nearly_everything_below_capacity)
{
    const LoadResult result = simulateLoad({{8, 300, 4, 0.055, 0.2}, {10, 100, 8, 0.055, 0.2}}, 192, 10, 2);
    cr_assert_gt(result.byPriority.at(8).share(), 0.93);
    cr_assert_gt(result.byPriority.at(10).share(), 0.93);
}

Test(clearingrank, keeps_slots_busy_and_serves_high_priorities_in_a_long_burst)
{
    // Demand is 1.75 times the slots, four fifths of it from the lowest priority.
    const LoadResult result = simulateLoad({{8, 1150, 4, 0.055, 0.25}, {9, 200, 1, 0.088, 0.01}, {10, 150, 8, 0.055, 0.25}}, 192, 20, 3);
    cr_assert_gt(result.byPriority.at(10).share(), 0.9, "high: %f", result.byPriority.at(10).share());
    cr_assert_gt(result.byPriority.at(9).share(), 0.9, "middle: %f", result.byPriority.at(9).share());
    cr_assert_gt(result.byPriority.at(8).share(), 0.35, "low: %f", result.byPriority.at(8).share());
    cr_assert_gt(result.meanOccupancy, 0.88, "occupancy: %f", result.meanOccupancy);
    cr_assert_lt(result.longestWait, 0.7, "longest wait: %f", result.longestWait);
}

Test(clearingrank, admits_a_share_of_the_lowest_priority_under_any_overload)
{
    const LoadResult result = simulateLoad({{8, 1500, 4, 0.055, 0.2}, {10, 300, 8, 0.055, 0.2}}, 96, 20, 3);
    cr_assert_gt(result.byPriority.at(10).share(), result.byPriority.at(8).share());
    cr_assert_gt(result.byPriority.at(8).share(), 0.5 * minAdmittedShare);
}

Test(clearingrank, admitted_share_falls_class_by_class)
{
    cr_assert_float_eq(admittedShare(0, 8), 1, 1e-9);
    cr_assert_float_eq(admittedShare(8.5, 8), 1 - 0.5 * (1 - minAdmittedShare), 1e-9);
    cr_assert_float_eq(admittedShare(9.5, 8), minAdmittedShare, 1e-9);
    cr_assert_float_eq(admittedShare(9.5, 10), 1, 1e-9);
}
