#include <chervilpaddle/transport/httplimits.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

using std::chrono::seconds;

TimePoint at(int second)
{
    return TimePoint(seconds(second));
}

HttpLimits idleLimit(Duration idleTimeout)
{
    HttpLimits limits;
    limits.idleTimeout = idleTimeout;
    return limits;
}

ClientLimits allowedIdle(Duration idleTimeout)
{
    ClientLimits allowed;
    allowed.idleTimeout = idleTimeout;
    return allowed;
}

} // namespace

Test(httplimits, a_client_that_stays_within_the_configuration_is_not_cut_by_a_shorter_idle_timeout)
{
    const Duration lowest = Duration::min();
    const Duration highest = Duration::max();
    for (const Duration allowed : {Duration(seconds(66)), Duration(seconds(94)), Duration(seconds(150)), Duration(seconds(3000))}) {
        const HttpLimits limits = widened({}, allowedIdle(allowed));
        cr_expect_gt(limits.idleTimeout, allowed + seconds(5));
        cr_expect_geq(announcedIdleTime(limits.idleTimeout), std::chrono::duration_cast<seconds>(allowed));
    }
    for (const Duration allowed : {lowest, Duration::zero(), Duration(seconds(15)), Duration(seconds(65))}) {
        cr_expect_eq(widened({}, allowedIdle(allowed)).idleTimeout, HttpLimits().idleTimeout);
    }
    const Duration longest = widened({}, allowedIdle(highest)).idleTimeout;
    cr_expect_gt(longest, std::chrono::minutes(30));
    cr_expect_lt(longest, std::chrono::hours(2));
}

Test(httplimits, a_client_that_stays_within_the_configuration_is_not_cut_by_a_narrower_limit_of_headers)
{
    const HttpLimits own;
    ClientLimits allowed;
    allowed.headerBytes = 32 * kibibyte;
    allowed.headerTimeout = seconds(30);
    cr_expect_gt(widened(own, allowed).headerBytes, allowed.headerBytes);
    cr_expect_gt(widened(own, allowed).headerTimeout, allowed.headerTimeout);
    allowed.headerBytes = 1;
    allowed.headerTimeout = Duration::min();
    cr_expect_eq(widened(own, allowed).headerBytes, own.headerBytes);
    cr_expect_eq(widened(own, allowed).headerTimeout, own.headerTimeout);
    allowed.headerBytes = std::numeric_limits<std::size_t>::max();
    allowed.headerTimeout = Duration::max();
    cr_expect_leq(widened(own, allowed).headerBytes, maxReadAheadBytes);
    cr_expect_lt(widened(own, allowed).headerTimeout, std::chrono::minutes(2));
}

Test(httplimits, a_change_that_widens_one_limit_and_narrows_another_costs_nobody_what_was_allowed)
{
    HttpLimits before;
    before.headerBytes = 48 * kibibyte;
    before.headerTimeout = seconds(10);
    HttpLimits after;
    after.headerBytes = 16 * kibibyte;
    after.headerTimeout = seconds(40);
    HttpLimitsInForce limits(before);
    limits.set(after, at(100));
    cr_expect_eq(limits.widestSince(at(101)).headerBytes, before.headerBytes);
    cr_expect_eq(limits.widestSince(at(101)).headerTimeout, after.headerTimeout);
    cr_expect_eq(limits.widestSince(at(200)).headerBytes, after.headerBytes);
}

Test(httplimits, a_shorter_idle_limit_does_not_apply_to_connections_that_were_told_a_longer_one)
{
    HttpLimitsInForce limits(idleLimit(seconds(160)));
    limits.set(idleLimit(seconds(75)), at(100));
    cr_expect_eq(limits.current().idleTimeout, seconds(75));
    cr_expect_eq(limits.widestSince(at(50)).idleTimeout, seconds(160));
    cr_expect_eq(limits.widestSince(at(100)).idleTimeout, seconds(160));
    cr_expect_eq(limits.widestSince(at(200)).idleTimeout, seconds(75));
}

Test(httplimits, a_longer_idle_limit_applies_at_once_to_connections_that_were_told_a_shorter_one)
{
    HttpLimitsInForce limits(idleLimit(seconds(75)));
    limits.set(idleLimit(seconds(160)), at(100));
    cr_expect_eq(limits.widestSince(at(50)).idleTimeout, seconds(160));
    cr_expect_eq(limits.widestSince(at(200)).idleTimeout, seconds(160));
}

Test(httplimits, each_of_several_changes_holds_for_the_connections_that_were_told_of_it)
{
    HttpLimitsInForce limits(idleLimit(seconds(300)));
    limits.set(idleLimit(seconds(100)), at(100));
    limits.set(idleLimit(seconds(200)), at(200));
    limits.set(idleLimit(seconds(75)), at(300));
    cr_expect_eq(limits.widestSince(at(50)).idleTimeout, seconds(300));
    cr_expect_eq(limits.widestSince(at(150)).idleTimeout, seconds(200));
    cr_expect_eq(limits.widestSince(at(250)).idleTimeout, seconds(200));
    cr_expect_eq(limits.widestSince(at(400)).idleTimeout, seconds(75));
}

Test(httplimits, many_changes_never_make_a_limit_narrower_than_it_was)
{
    constexpr int changes = 200;
    HttpLimitsInForce limits(idleLimit(seconds(1000)));
    for (int i = 1; i <= changes; ++i) {
        limits.set(idleLimit(seconds(1000 - i)), at(100 * i));
    }
    for (int i = 0; i < changes; ++i) {
        cr_expect_geq(limits.widestSince(at(100 * i + 50)).idleTimeout, seconds(1000 - i));
    }
    cr_expect_eq(limits.widestSince(at(100 * changes + 50)).idleTimeout, seconds(1000 - changes));
}
