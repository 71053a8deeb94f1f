#include <chervilpaddle/controllers/gracefulshutdown.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration grace = 6s;
constexpr Duration routeTimeout = 1200ms;

} // namespace

Test(gracefulshutdown, everything_is_admitted_before_the_stop)
{
    const GracefulShutdown shutdown;
    cr_assert(!shutdown.hasStarted());
    cr_assert(shutdown.admitsCall(TimePoint() + 1s, TimePoint() + 60s));
}

//! A caller keeps its connection and sends a request every 10 ms for the whole of the grace period; each lasts to its
//! timeout. None that was begun once callers have had time to leave is cut off by the end of the process.
Test(gracefulshutdown, no_call_of_a_caller_that_stays_is_cut_off_by_the_end)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, grace);
    int admitted = 0;
    int refused = 0;
    for (TimePoint now = start; !shutdown.isComplete(now, false); now += 10ms) {
        const bool isAdmitted = shutdown.admitsCall(now, now + routeTimeout);
        ++(isAdmitted ? admitted : refused);
        if (isAdmitted) {
            cr_expect_leq((now + routeTimeout - start).count(), (grace).count());
        }
    }
    // The last timeout before the end, and the margin.
    cr_expect_geq(admitted, 400);
    cr_expect_geq(refused, 100);
}

Test(gracefulshutdown, callers_that_cannot_know_of_the_stop_yet_are_served_however_long_their_calls_may_last)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, grace);
    cr_assert(shutdown.admitsCall(start + 2s, start + 2s + 30s));
    cr_assert(!shutdown.admitsCall(start + 3s, start + 3s + 30s));
}

Test(gracefulshutdown, the_process_ends_when_idle_but_not_before_callers_have_left)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, grace);
    cr_assert(!shutdown.isComplete(start + 1s, true));
    cr_assert(shutdown.isComplete(start + 3500ms, true));
    cr_assert(!shutdown.isComplete(start + 5s, false));
    cr_assert(shutdown.isComplete(start + 6s, false));
    cr_assert(shutdown.latestExit() < start + grace);
}
