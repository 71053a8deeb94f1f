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

//! Requests of one class: each makes some calls, one after the other, to the service under test.
struct LoadClass
{
    int worth = 0;
    double perSecond = 0;
    int calls = 1;
    //! Time that each call holds a slot, and time that passes before the first one, in seconds.
    double holds = 0.05;
    double delay = 0.2;
};

struct Served
{
    double asked = 0;
    double served = 0;

    double share() const
    {
        return asked == 0 ? 1 : served / asked;
    }
};

struct Play
{
    std::map<int, Served> byWorth;
    double meanOccupancy = 0;
    double longestWait = 0;
};

//! Plays a load deep in the call tree in steps of a millisecond: requests are admitted by the clearing rank of the
//! moment, their calls queue for the slots by worth. What is asked and served counts from `countFrom` on.
Play play(const std::vector<LoadClass> &classes, int slots, double seconds, double countFrom)
{
    constexpr double step = 0.001;
    constexpr int stepsInWindow = 50;
    //! What is asked in the last moments cannot be served before the end.
    constexpr double settleSeconds = 1.5;
    struct Call
    {
        double due;
        std::size_t load;
        int left;
        bool counts;
    };
    const auto later = [](const Call &a, const Call &b) { return a.due > b.due; };
    std::priority_queue<Call, std::vector<Call>, decltype(later)> coming(later);
    std::priority_queue<Call, std::vector<Call>, decltype(later)> running(later);
    std::map<int, std::deque<Call>, std::greater<>> waiting;
    RandomSource random(7);
    ClearingRank clearing;
    Play played;
    std::map<int, double> arrived;
    double occupied = 0;
    int counted = 0;
    for (int i = 0; i * step < seconds; ++i) {
        const double now = i * step;
        const bool counts = now >= countFrom && now < seconds - settleSeconds;
        for (std::size_t load = 0; load < classes.size(); ++load) {
            if (uniformFraction(random) >= classes[load].perSecond * step) {
                continue;
            }
            played.byWorth[classes[load].worth].asked += counts ? 1 : 0;
            if (uniformFraction(random) < admittedShare(clearing.rank(), classes[load].worth)) {
                coming.push({now + classes[load].delay * 2 * uniformFraction(random), load, classes[load].calls, counts});
            }
        }
        while (!running.empty() && running.top().due <= now) {
            Call call = running.top();
            running.pop();
            if (--call.left > 0) {
                coming.push({now, call.load, call.left, call.counts});
            } else {
                played.byWorth[classes[call.load].worth].served += call.counts ? 1 : 0;
            }
        }
        while (!coming.empty() && coming.top().due <= now) {
            Call call = coming.top();
            coming.pop();
            call.due = now;
            arrived[classes[call.load].worth] += classes[call.load].holds;
            waiting[classes[call.load].worth].push_back(call);
        }
        std::size_t queued = 0;
        double queuedTime = 0;
        for (auto &[worth, calls] : waiting) {
            while (!calls.empty() && static_cast<int>(running.size()) < slots) {
                Call call = calls.front();
                calls.pop_front();
                played.longestWait = std::max(played.longestWait, call.counts ? now - call.due : 0);
                call.due = now + classes[call.load].holds;
                running.push(call);
            }
            for (const Call &call : calls) {
                queuedTime += classes[call.load].holds;
            }
            queued += calls.size();
        }
        if (counts) {
            occupied += static_cast<double>(running.size()) / slots;
            ++counted;
        }
        if (i % stepsInWindow == 0) {
            clearing.update({std::exchange(arrived, {}), queuedTime, slots, fromSeconds(step * stepsInWindow), clearing.rank()});
        }
    }
    played.meanOccupancy = occupied / counted;
    return played;
}

} // namespace

Test(clearingrank, refuses_nothing_while_everything_fits)
{
    const Play played = play({{8, 300, 4, 0.055, 0.2}, {10, 100, 8, 0.055, 0.2}}, 192, 10, 2);
    cr_assert_gt(played.byWorth.at(8).share(), 0.93);
    cr_assert_gt(played.byWorth.at(10).share(), 0.93);
}

Test(clearingrank, keeps_the_slots_busy_and_serves_the_urgent_under_a_long_burst)
{
    // Demand of 1.75 times the slots, four fifths of it from the least urgent class.
    const Play played = play({{8, 1150, 4, 0.055, 0.25}, {9, 200, 1, 0.088, 0.01}, {10, 150, 8, 0.055, 0.25}}, 192, 20, 3);
    cr_assert_gt(played.byWorth.at(10).share(), 0.9, "urgent: %f", played.byWorth.at(10).share());
    cr_assert_gt(played.byWorth.at(9).share(), 0.9, "middle: %f", played.byWorth.at(9).share());
    cr_assert_gt(played.byWorth.at(8).share(), 0.35, "least: %f", played.byWorth.at(8).share());
    cr_assert_gt(played.meanOccupancy, 0.88, "occupancy: %f", played.meanOccupancy);
    cr_assert_lt(played.longestWait, 0.7, "longest wait: %f", played.longestWait);
}

Test(clearingrank, keeps_a_share_of_the_least_urgent_however_scarce_the_room)
{
    const Play played = play({{8, 1500, 4, 0.055, 0.2}, {10, 300, 8, 0.055, 0.2}}, 96, 20, 3);
    cr_assert_gt(played.byWorth.at(10).share(), played.byWorth.at(8).share());
    cr_assert_gt(played.byWorth.at(8).share(), 0.5 * leastAdmittedShare);
}

Test(clearingrank, admitted_share_falls_class_by_class)
{
    cr_assert_float_eq(admittedShare(0, 8), 1, 1e-9);
    cr_assert_float_eq(admittedShare(8.5, 8), 1 - 0.5 * (1 - leastAdmittedShare), 1e-9);
    cr_assert_float_eq(admittedShare(9.5, 8), leastAdmittedShare, 1e-9);
    cr_assert_float_eq(admittedShare(9.5, 10), 1, 1e-9);
}
