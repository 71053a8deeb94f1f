#include <chervilpaddle/controllers/entryadmission.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const OperationName shallow("outer.lookup");
const OperationName deep("outer.payout");
const OperationName apart("side.debit");
const ServiceName inner("inner");

struct Admission
{
    EntryAdmission admission;
    TimePoint now = TimePoint(std::chrono::seconds(100));

    Admission()
    {
        admission.recordCosts(shallow, 8, {{ServiceName("outer"), 0.3}, {inner, 0.22}});
        admission.recordCosts(deep, 10, {{ServiceName("outer"), 0.3}, {inner, 0.44}});
        admission.recordCosts(apart, 10, {{ServiceName("side"), 0.15}});
    }

    void clearing(std::initializer_list<Rank> ranks)
    {
        int number = 0;
        for (const Rank rank : ranks) {
            admission.recordClearingRank(inner, InstanceId("i" + std::to_string(++number)), rank, now);
        }
    }

    double refusedShare(const OperationName &operation, int worth, bool hasReturned = false) const
    {
        int refused = 0;
        constexpr int asked = 1000;
        for (int i = 0; i < asked; ++i) {
            refused += admission.overloadedService({operation, worth + (i + 0.5) / asked, hasReturned}, now) ? 1 : 0;
        }
        return static_cast<double>(refused) / asked;
    }
};

} // namespace

Test(entryadmission, only_what_leads_to_the_full_service_is_refused_and_the_least_urgent_first)
{
    Admission under;
    under.clearing({8.5, 8.5, 8.5});
    cr_assert_float_eq(under.refusedShare(shallow, 8), 0.45, 0.01);
    cr_assert_float_eq(under.refusedShare(deep, 10), 0, 1e-9);
    cr_assert_float_eq(under.refusedShare(apart, 10), 0, 1e-9);
    under.clearing({11, 11, 11});
    cr_assert_float_eq(under.refusedShare(shallow, 8), 0.9, 0.01);
    cr_assert_float_eq(under.refusedShare(deep, 10), 0.9, 0.01);
    cr_assert_float_eq(under.refusedShare(apart, 10), 0, 1e-9);
}

//! A data centre is cut off from the only instances of the inner service.
Test(entryadmission, what_surely_needs_a_service_that_cannot_be_reached_is_refused_at_once)
{
    Admission under;
    const auto isReachable = [](const ServiceName &service) { return service != inner; };
    cr_assert(under.admission.unreachableService(shallow, isReachable) == inner);
    cr_assert(under.admission.unreachableService(deep, isReachable) == inner);
    cr_assert(!under.admission.unreachableService(apart, isReachable));
    cr_assert(!under.admission.unreachableService(OperationName("never.seen"), isReachable));
    cr_assert(!under.admission.unreachableService(deep, [](const ServiceName &) { return true; }));
    // One request in five does without it: those that can be served are let through.
    for (int i = 0; i < 100; ++i) {
        under.admission.recordCosts(deep, 10, {{ServiceName("outer"), 0.3}});
        for (int j = 0; j < 4; ++j) {
            under.admission.recordCosts(deep, 10, {{ServiceName("outer"), 0.3}, {inner, 0.44}});
        }
    }
    cr_assert(!under.admission.unreachableService(deep, isReachable));
}

Test(entryadmission, an_instance_with_room_counts_as_one_that_refuses_nothing)
{
    Admission under;
    under.clearing({8.8, 0});
    cr_assert_float_eq(under.admission.clearingRank(inner, under.now), 8.4, 1e-9);
}

Test(entryadmission, who_has_waited_is_preferred_while_there_is_room)
{
    Admission under;
    under.clearing({8.5});
    const double fresh = under.refusedShare(shallow, 8);
    const double returned = under.refusedShare(shallow, 8, true);
    cr_assert_lt(returned, 0.8 * fresh);
    // With no room at all the preference would only let in all who were refused once.
    under.clearing({10});
    cr_assert_float_eq(under.refusedShare(shallow, 8, true), under.refusedShare(shallow, 8), 0.02);
}

Test(entryadmission, old_news_and_gone_instances_do_not_count)
{
    Admission under;
    under.clearing({8.9, 8.9});
    under.admission.retainInstances({InstanceId("i1")});
    cr_assert_gt(under.refusedShare(shallow, 8), 0.7);
    under.now += std::chrono::seconds(2);
    cr_assert_float_eq(under.refusedShare(shallow, 8), 0, 1e-9);
}

Test(entryadmission, an_operation_that_has_not_been_seen_is_let_in)
{
    Admission under;
    under.clearing({11});
    cr_assert_float_eq(under.refusedShare(OperationName("outer.new"), 8), 0, 1e-9);
}
