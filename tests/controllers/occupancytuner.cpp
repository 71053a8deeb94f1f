#include <chervilpaddle/controllers/occupancytuner.h>

#include <chervilpaddle/base/random.h>

#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <vector>

using namespace chervilpaddle;

namespace {

//! Factor by which calls take longer, by occupancy and time.
using Slowdown = std::function<double(double occupancy, double seconds)>;

//! Simulates a saturated backend server with a mix of two operations and counts completed calls. In each step of 1 ms a
//! call progresses by an amount that depends on the current occupancy. Uses `share` of the slots, or the tuner's choice
//! where it is zero.
int completedWhenSaturated(int slots, const Slowdown &slowdown, double seconds, double share = 0)
{
    constexpr double step = 0.001;
    constexpr int stepsInTick = 10;
    //! Each level has been probed once by then.
    constexpr double countFrom = 5;
    struct Call
    {
        OperationName operation;
        double remaining;
        double started;
    };
    RandomSource random(11);
    OccupancyTuner tuner{TimePoint()};
    std::vector<Call> running;
    int completed = 0;
    for (int i = 0; i * step < seconds; ++i) {
        const double now = i * step;
        const double usedShare = share > 0 ? share : tuner.share();
        const auto limit = static_cast<std::size_t>(std::lround(usedShare * slots));
        while (running.size() < limit) {
            const bool isLong = uniformFraction(random) < 0.2;
            const double serviceTime = (isLong ? 0.088 : 0.055) * (0.5 + uniformFraction(random));
            running.push_back({OperationName(isLong ? "long" : "short"), serviceTime, now});
        }
        const double speed = 1 / slowdown(static_cast<double>(running.size()) / slots, now);
        for (std::size_t call = 0; call < running.size();) {
            running[call].remaining -= step * speed;
            if (running[call].remaining > 0) {
                ++call;
                continue;
            }
            const Duration duration = fromSeconds(now + step - running[call].started);
            tuner.record(running[call].operation, duration);
            completed += now >= countFrom ? 1 : 0;
            running[call] = running.back();
            running.pop_back();
        }
        if (i % stepsInTick == 0) {
            tuner.update(true, TimePoint() + fromSeconds(now));
        }
    }
    return completed;
}

double slowdownAbove(double knee, double factor, double occupancy)
{
    return occupancy > knee ? factor : 1;
}

} // namespace

Test(occupancytuner, avoids_an_occupancy_at_which_the_server_slows_down)
{
    for (const int slots : {26, 64, 172}) {
        const Slowdown knee = [](double occupancy, double) { return slowdownAbove(0.95, 1.3, occupancy); };
        const int tuned = completedWhenSaturated(slots, knee, 30);
        const int allSlots = completedWhenSaturated(slots, knee, 30, 1.0);
        const int best = completedWhenSaturated(slots, knee, 30, 0.94);
        cr_expect_gt(tuned, 1.1 * allSlots, "%d slots: %d calls, all slots %d", slots, tuned, allSlots);
        cr_expect_gt(tuned, 0.95 * best, "%d slots: %d calls, best %d", slots, tuned, best);
    }
}

Test(occupancytuner, chooses_a_lower_level_for_a_server_that_slows_down_earlier)
{
    const Slowdown knee = [](double occupancy, double) { return slowdownAbove(0.88, 1.5, occupancy); };
    cr_expect_gt(completedWhenSaturated(64, knee, 30), 0.95 * completedWhenSaturated(64, knee, 30, 0.85));
}

Test(occupancytuner, uses_all_slots_of_a_server_that_does_not_slow_down)
{
    const Slowdown none = [](double, double) { return 1.0; };
    cr_expect_gt(completedWhenSaturated(64, none, 30), 0.97 * completedWhenSaturated(64, none, 30, 1.0));
}

//! A period in which all calls are slow at any occupancy must not be attributed to the level: throughput stays near that of the
//! best level.
Test(occupancytuner, keeps_throughput_over_a_period_in_which_all_calls_are_slow)
{
    const Slowdown slowPeriod = [](double occupancy, double seconds) {
        return (seconds > 8 && seconds < 14 ? 5.0 : 1.0) * slowdownAbove(0.95, 1.3, occupancy);
    };
    cr_expect_gt(completedWhenSaturated(64, slowPeriod, 30), 0.93 * completedWhenSaturated(64, slowPeriod, 30, 0.94));
}
