#include <chervilpaddle/controllers/occupancytuner.h>

#include <chervilpaddle/base/random.h>

#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <vector>

using namespace chervilpaddle;

namespace {

//! How much longer a call takes at an occupancy and a time.
using Slowness = std::function<double(double occupancy, double seconds)>;

//! Keeps a backend server full for some time, two operations mixed, and counts what it gets done. Each call takes
//! its time in steps of a millisecond; how far a step brings it depends on how full the backend server is just then.
int playFull(int slots, const Slowness &slowness, double seconds, double share = 0)
{
    constexpr double step = 0.001;
    constexpr int stepsInTick = 10;
    //! Each level has been visited once by then.
    constexpr double countFrom = 5;
    struct Call
    {
        OperationName operation;
        double left;
        double started;
    };
    RandomSource random(11);
    OccupancyTuner level{TimePoint()};
    std::vector<Call> running;
    int done = 0;
    for (int i = 0; i * step < seconds; ++i) {
        const double now = i * step;
        const double used = share > 0 ? share : level.share();
        const auto limit = static_cast<std::size_t>(std::lround(used * slots));
        while (running.size() < limit) {
            const bool isLong = uniformFraction(random) < 0.2;
            const double work = (isLong ? 0.088 : 0.055) * (0.5 + uniformFraction(random));
            running.push_back({OperationName(isLong ? "long" : "short"), work, now});
        }
        const double speed = 1 / slowness(static_cast<double>(running.size()) / slots, now);
        for (std::size_t call = 0; call < running.size();) {
            running[call].left -= step * speed;
            if (running[call].left > 0) {
                ++call;
                continue;
            }
            const Duration took = fromSeconds(now + step - running[call].started);
            level.record(running[call].operation, took);
            done += now >= countFrom ? 1 : 0;
            running[call] = running.back();
            running.pop_back();
        }
        if (i % stepsInTick == 0) {
            level.update(true, TimePoint() + fromSeconds(now));
        }
    }
    return done;
}

double slowAbove(double knee, double factor, double occupancy)
{
    return occupancy > knee ? factor : 1;
}

} // namespace

Test(occupancytuner, a_server_that_slows_down_when_nearly_full_is_kept_below)
{
    for (const int slots : {26, 64, 172}) {
        const Slowness knee = [](double occupancy, double) { return slowAbove(0.95, 1.3, occupancy); };
        const int learnt = playFull(slots, knee, 30);
        const int allSlots = playFull(slots, knee, 30, 1.0);
        const int bestKnown = playFull(slots, knee, 30, 0.94);
        cr_expect_gt(learnt, 1.1 * allSlots, "%d slots: %d calls, all slots %d", slots, learnt, allSlots);
        cr_expect_gt(learnt, 0.95 * bestKnown, "%d slots: %d calls, best %d", slots, learnt, bestKnown);
    }
}

Test(occupancytuner, a_server_that_slows_down_earlier_is_kept_lower)
{
    const Slowness knee = [](double occupancy, double) { return slowAbove(0.88, 1.5, occupancy); };
    cr_expect_gt(playFull(64, knee, 30), 0.95 * playFull(64, knee, 30, 0.85));
}

Test(occupancytuner, a_server_that_does_not_slow_down_is_filled)
{
    const Slowness none = [](double, double) { return 1.0; };
    cr_expect_gt(playFull(64, none, 30), 0.97 * playFull(64, none, 30, 1.0));
}

//! A slow spell as a whole says nothing of the levels: what gets done stays near what the best level would do.
Test(occupancytuner, a_server_that_turns_slow_as_a_whole_is_not_taken_for_a_full_one)
{
    const Slowness spell = [](double occupancy, double seconds) {
        return (seconds > 8 && seconds < 14 ? 5.0 : 1.0) * slowAbove(0.95, 1.3, occupancy);
    };
    cr_expect_gt(playFull(64, spell, 30), 0.93 * playFull(64, spell, 30, 0.94));
}
