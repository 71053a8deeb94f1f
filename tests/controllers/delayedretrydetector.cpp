#include <chervilpaddle/controllers/delayedretrydetector.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const RouteName route("orders");
constexpr Duration usual = std::chrono::milliseconds(2000);
constexpr Duration afterRefusal = std::chrono::milliseconds(1500);

} // namespace

Test(delayedretrydetector, recognises_callers_with_less_time_left)
{
    DelayedRetryDetector detector;
    const TimePoint now(std::chrono::seconds(100));
    cr_assert_not(detector.isDelayedRetry(route, usual, now));
    cr_assert(detector.isDelayedRetry(route, afterRefusal, now));
    cr_assert_not(detector.isDelayedRetry(route, usual - std::chrono::milliseconds(50), now), "transit time");
    cr_assert_not(detector.isDelayedRetry(RouteName("other"), afterRefusal, now));
}

Test(delayedretrydetector, a_single_caller_with_a_long_timeout_does_not_make_all_others_retries_for_ever)
{
    DelayedRetryDetector detector;
    TimePoint now(std::chrono::seconds(100));
    cr_assert_not(detector.isDelayedRetry(route, std::chrono::seconds(30), now));
    int taken = 0;
    for (int second = 0; second < 600; ++second) {
        now += std::chrono::seconds(1);
        taken += detector.isDelayedRetry(route, usual, now) ? 1 : 0;
        cr_expect(detector.isDelayedRetry(route, afterRefusal, now), "after %d s", second);
    }
    cr_assert_leq(taken, 60, "%d first attempts taken for retries", taken);
}

Test(delayedretrydetector, remembers_first_attempts_across_an_idle_time)
{
    DelayedRetryDetector detector;
    TimePoint now(std::chrono::seconds(100));
    cr_assert_not(detector.isDelayedRetry(route, usual, now));
    now += std::chrono::minutes(10);
    cr_assert(detector.isDelayedRetry(route, afterRefusal, now));
}
