#include <chervilpaddle/controllers/gracefulshutdown.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

namespace {

constexpr Duration gracePeriod = 6s;
constexpr Duration routeTimeout = 1200ms;
using CallOrigin = GracefulShutdown::CallOrigin;
constexpr CallOrigin origins[] = {CallOrigin::Caller, CallOrigin::Run};
//! Time from a deadline until the answer of a backend server that stops there has been sent to the caller, generously.
constexpr Duration timeToAnswer = 200ms;

GracefulShutdown startedAt(TimePoint start)
{
    GracefulShutdown shutdown;
    shutdown.start(start, gracePeriod);
    return shutdown;
}

//! When calls in flight are given up.
TimePoint closingTime(const GracefulShutdown &shutdown, TimePoint start)
{
    TimePoint now = start;
    while (!shutdown.isComplete(now, false)) {
        now += 10ms;
    }
    return now;
}

} // namespace

Test(gracefulshutdown, all_calls_are_admitted_before_the_shutdown)
{
    const GracefulShutdown shutdown;
    cr_assert(!shutdown.hasStarted());
    for (const CallOrigin origin : origins) {
        cr_assert(shutdown.admitCall(TimePoint() + 1s, TimePoint() + 60s, origin) == TimePoint() + 60s);
    }
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
        const bool isAdmitted = shutdown.admitCall(now, now + routeTimeout, CallOrigin::Caller).has_value();
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
    const GracefulShutdown shutdown = startedAt(start);
    cr_assert(shutdown.admitCall(start + 2s, start + 2s + 30s, CallOrigin::Caller));
    cr_assert(!shutdown.admitCall(start + 3s, start + 3s + 30s, CallOrigin::Caller));
}

//! Guards against calls that the process cannot answer any more.
Test(gracefulshutdown, each_admitted_call_can_be_answered_before_connections_are_closed)
{
    const TimePoint start;
    const GracefulShutdown shutdown = startedAt(start);
    const TimePoint closing = closingTime(shutdown, start);
    int tooLate = 0;
    int refusedInVain = 0;
    for (const CallOrigin origin : origins) {
        for (Duration arrival = 0ms; arrival <= gracePeriod; arrival += 50ms) {
            for (Duration budget = 50ms; budget <= 8s; budget += 50ms) {
                const TimePoint deadline = start + arrival + budget;
                const auto admitted = shutdown.admitCall(start + arrival, deadline, origin);
                cr_assert(!admitted || (*admitted > start + arrival && *admitted <= deadline));
                tooLate += admitted && *admitted + timeToAnswer > closing ? 1 : 0;
                refusedInVain += !admitted && deadline + timeToAnswer < closing ? 1 : 0;
            }
        }
    }
    cr_expect_eq(tooLate, 0);
    cr_expect_eq(refusedInVain, 0);
}

//! A call that is broken off at its shortened deadline has failed for its caller, one that is refused can come back.
Test(gracefulshutdown, callers_that_know_of_the_shutdown_are_refused_rather_than_given_less_time)
{
    const TimePoint start;
    const GracefulShutdown shutdown = startedAt(start);
    for (Duration arrival = 3s; arrival <= gracePeriod; arrival += 50ms) {
        for (Duration budget = 50ms; budget <= 8s; budget += 50ms) {
            const TimePoint deadline = start + arrival + budget;
            const auto admitted = shutdown.admitCall(start + arrival, deadline, CallOrigin::Caller);
            cr_expect(!admitted || *admitted == deadline);
        }
    }
}

//! Guards against runs in progress that fail because a call of theirs, which takes milliseconds, has a long time-out.
Test(gracefulshutdown, calls_of_runs_in_progress_are_admitted_as_long_as_they_can_be_answered)
{
    const TimePoint start;
    const GracefulShutdown shutdown = startedAt(start);
    for (Duration arrival = 0ms; arrival <= 5200ms; arrival += 50ms) {
        cr_expect(shutdown.admitCall(start + arrival, start + arrival + 6s, CallOrigin::Run));
    }
}

//! Work of calls that came before callers knew may take until the last sixth of the grace period.
Test(gracefulshutdown, no_call_is_given_less_time_than_until_the_last_sixth_of_the_grace_period)
{
    const TimePoint start;
    const GracefulShutdown shutdown = startedAt(start);
    for (Duration arrival = 0ms; arrival < 3s; arrival += 50ms) {
        const auto admitted = shutdown.admitCall(start + arrival, start + arrival + 6s, CallOrigin::Caller);
        cr_assert(admitted);
        cr_expect(*admitted >= start + gracePeriod - gracePeriod / 6);
    }
}

//! Guards against a call that arrives between the decision to exit and the exit.
Test(gracefulshutdown, nothing_is_admitted_while_connections_are_being_closed)
{
    const TimePoint start;
    GracefulShutdown shutdown = startedAt(start);
    cr_assert(shutdown.isComplete(start + 3200ms, true));
    shutdown.beginClosing();
    int admitted = 0;
    for (const CallOrigin origin : origins) {
        for (Duration arrival = 0ms; arrival <= gracePeriod; arrival += 50ms) {
            admitted += shutdown.admitCall(start + arrival, start + arrival + 20ms, origin) ? 1 : 0;
        }
    }
    cr_expect_eq(admitted, 0);
    cr_assert(shutdown.isComplete(start + 3200ms, true));
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
