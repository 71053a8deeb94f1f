#include <chervilpaddle/controllers/entryadmission.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const OperationName shallowOperation("outer.lookup");
const OperationName deepOperation("outer.payout");
const OperationName unrelatedOperation("side.debit");
const ServiceName innerService("inner");

struct AdmissionFixture
{
    EntryAdmission admission;
    TimePoint now = TimePoint(std::chrono::seconds(100));

    AdmissionFixture()
    {
        admission.recordCosts(shallowOperation, 8, {{ServiceName("outer"), 0.3}, {innerService, 0.22}});
        admission.recordCosts(deepOperation, 10, {{ServiceName("outer"), 0.3}, {innerService, 0.44}});
        admission.recordCosts(unrelatedOperation, 10, {{ServiceName("side"), 0.15}});
    }

    void reportClearingRanks(std::initializer_list<Rank> ranks)
    {
        int number = 0;
        for (const Rank rank : ranks) {
            admission.recordClearingRank(innerService, InstanceId("i" + std::to_string(++number)), rank, now);
        }
    }

    double refusedShare(const OperationName &operation, int priority, bool isDelayedRetry = false) const
    {
        int refused = 0;
        constexpr int requested = 1000;
        for (int i = 0; i < requested; ++i) {
            refused += admission.overloadedService({operation, priority + (i + 0.5) / requested, isDelayedRetry}, now) ? 1 : 0;
        }
        return static_cast<double>(refused) / requested;
    }
};

} // namespace

Test(entryadmission, refuses_only_requests_for_the_overloaded_service_lowest_priority_first)
{
    AdmissionFixture fixture;
    fixture.reportClearingRanks({8.5, 8.5, 8.5});
    cr_assert_float_eq(fixture.refusedShare(shallowOperation, 8), 0.45, 0.01);
    cr_assert_float_eq(fixture.refusedShare(deepOperation, 10), 0, 1e-9);
    cr_assert_float_eq(fixture.refusedShare(unrelatedOperation, 10), 0, 1e-9);
    fixture.reportClearingRanks({11, 11, 11});
    cr_assert_float_eq(fixture.refusedShare(shallowOperation, 8), 0.9, 0.01);
    cr_assert_float_eq(fixture.refusedShare(deepOperation, 10), 0.9, 0.01);
    cr_assert_float_eq(fixture.refusedShare(unrelatedOperation, 10), 0, 1e-9);
}

//! Covers a data centre that is cut off from the only instances of the inner service.
Test(entryadmission, reports_an_unreachable_service_that_the_operation_requires)
{
    AdmissionFixture fixture;
    const auto isReachable = [](const ServiceName &service) { return service != innerService; };
    cr_assert(fixture.admission.unreachableService(shallowOperation, isReachable, fixture.now) == innerService);
    cr_assert(fixture.admission.unreachableService(deepOperation, isReachable, fixture.now) == innerService);
    cr_assert(!fixture.admission.unreachableService(unrelatedOperation, isReachable, fixture.now));
    cr_assert(!fixture.admission.unreachableService(OperationName("never.seen"), isReachable, fixture.now));
    cr_assert(!fixture.admission.unreachableService(
        deepOperation, [](const ServiceName &) { return true; }, fixture.now));
    // One request in five does not call the inner service, so requests are admitted.
    for (int i = 0; i < 100; ++i) {
        fixture.admission.recordCosts(deepOperation, 10, {{ServiceName("outer"), 0.3}});
        for (int j = 0; j < 4; ++j) {
            fixture.admission.recordCosts(deepOperation, 10, {{ServiceName("outer"), 0.3}, {innerService, 0.44}});
        }
    }
    cr_assert(!fixture.admission.unreachableService(deepOperation, isReachable, fixture.now));
}

Test(entryadmission, an_instance_with_spare_capacity_counts_as_refusing_nothing)
{
    AdmissionFixture fixture;
    fixture.reportClearingRanks({8.8, 0});
    cr_assert_float_eq(fixture.admission.clearingRank(innerService, fixture.now), 8.4, 1e-9);
}

Test(entryadmission, prefers_delayed_retries_while_there_is_spare_capacity)
{
    AdmissionFixture fixture;
    fixture.reportClearingRanks({8.5});
    const double first = fixture.refusedShare(shallowOperation, 8);
    const double retried = fixture.refusedShare(shallowOperation, 8, true);
    cr_assert_lt(retried, 0.8 * first);
    // Without spare capacity, preferring delayed retries would admit every request on its second attempt.
    fixture.reportClearingRanks({10});
    cr_assert_float_eq(fixture.refusedShare(shallowOperation, 8, true), fixture.refusedShare(shallowOperation, 8), 0.02);
}

Test(entryadmission, ignores_expired_reports_and_removed_instances)
{
    AdmissionFixture fixture;
    fixture.reportClearingRanks({8.9, 8.9});
    fixture.admission.retainInstances({InstanceId("i1")});
    cr_assert_gt(fixture.refusedShare(shallowOperation, 8), 0.7);
    fixture.now += std::chrono::seconds(2);
    cr_assert_float_eq(fixture.refusedShare(shallowOperation, 8), 0, 1e-9);
}

Test(entryadmission, admits_an_operation_without_recorded_costs)
{
    AdmissionFixture fixture;
    fixture.reportClearingRanks({11});
    cr_assert_float_eq(fixture.refusedShare(OperationName("outer.new"), 8), 0, 1e-9);
}

//! The backend servers have been replaced by ones that call another service, and the last instance of the former one has gone. As
//! nothing was admitted, no answer ever showed this.
Test(entryadmission, a_service_that_is_no_longer_called_does_not_refuse_requests_for_ever)
{
    AdmissionFixture fixture;
    const auto isReachable = [](const ServiceName &service) { return service != innerService; };
    int admitted = 0;
    for (int i = 0; i < 600; ++i) {
        fixture.now += std::chrono::milliseconds(100);
        if (!fixture.admission.unreachableService(shallowOperation, isReachable, fixture.now)) {
            ++admitted;
            fixture.admission.recordCosts(shallowOperation, 8, {{ServiceName("outer"), 0.3}});
        }
    }
    cr_assert_geq(admitted, 400, "%d of 600 admitted", admitted);
}

Test(entryadmission, few_requests_are_admitted_while_a_required_service_is_unreachable)
{
    AdmissionFixture fixture;
    const auto isReachable = [](const ServiceName &service) { return service != innerService; };
    int admitted = 0;
    for (int i = 0; i < 6000; ++i) {
        admitted += fixture.admission.unreachableService(shallowOperation, isReachable, fixture.now) ? 0 : 1;
        cr_assert(admitted == 0 || i >= 900, "none during a short outage");
        fixture.now += std::chrono::milliseconds(10);
    }
    cr_assert_leq(admitted, 6);
}
