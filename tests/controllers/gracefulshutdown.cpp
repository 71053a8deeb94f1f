#include <chervilpaddle/controllers/gracefulshutdown.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration gracePeriod = 6s;
constexpr Duration routeTimeout = 1200ms;

} // namespace

Test(gracefulshutdown, all_calls_are_admitted_before_the_shutdown)
{
    const GracefulShutdown shutdown;
    cr_assert(!shutdown.hasStarted());
    cr_assert(shutdown.admitsCall(TimePoint() + 1s, TimePoint() + 60s));
}

//! Guards against calls that are interrupted by the exit of the process. A caller keeps its connection and sends a request every
//! 10 ms for the whole grace period; each runs until its timeout. No admitted request may time out after the grace period.
Test(gracefulshutdown, no_admitted_call_is_interrupted_by_the_exit)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, gracePeriod);
    int admitted = 0;
    int refused = 0;
    for (TimePoint now = start; !shutdown.isComplete(now, false); now += 10ms) {
        const bool isAdmitted = shutdown.admitsCall(now, now + routeTimeout);
        ++(isAdmitted ? admitted : refused);
        if (isAdmitted) {
            cr_expect_leq((now + routeTimeout - start).count(), (gracePeriod).count());
        }
    }
    // Requests are refused within one timeout (1.2 s) of the latest exit, which is 0.5 s before the end of the grace period.
    cr_expect_geq(admitted, 400);
    cr_expect_geq(refused, 100);
}

Test(gracefulshutdown, calls_are_admitted_regardless_of_their_deadline_until_callers_know_of_the_shutdown)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, gracePeriod);
    cr_assert(shutdown.admitsCall(start + 2s, start + 2s + 30s));
    cr_assert(!shutdown.admitsCall(start + 3s, start + 3s + 30s));
}

Test(gracefulshutdown, an_idle_process_exits_only_after_callers_have_stopped_sending)
{
    const TimePoint start;
    GracefulShutdown shutdown;
    shutdown.start(start, gracePeriod);
    cr_assert(!shutdown.isComplete(start + 1s, true));
    cr_assert(shutdown.isComplete(start + 3500ms, true));
    cr_assert(!shutdown.isComplete(start + 5s, false));
    cr_assert(shutdown.isComplete(start + 6s, false));
    cr_assert(shutdown.latestExit() < start + gracePeriod);
}
