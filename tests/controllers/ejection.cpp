#include <chervilpaddle/controllers/ejection.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

Test(ejection, five_failures_in_a_row_eject_an_instance_and_a_success_between_does_not)
{
    Ejection ejection;
    const InstanceId instance("x-1");
    const TimePoint now;
    for (int i = 0; i < 4; ++i) {
        ejection.recordFailure(instance, now);
    }
    cr_assert(!ejection.isEjected(instance, now));
    ejection.recordSuccess(instance);
    for (int i = 0; i < 4; ++i) {
        ejection.recordFailure(instance, now);
    }
    cr_assert(!ejection.isEjected(instance, now));
    ejection.recordFailure(instance, now);
    cr_assert(ejection.isEjected(instance, now));
}

Test(ejection, never_more_than_a_third_of_a_service_is_left_out)
{
    Ejection ejection;
    std::vector<InstanceId> service;
    const TimePoint now;
    for (int i = 0; i < 7; ++i) {
        service.emplace_back("x-" + std::to_string(i));
        for (int failure = 0; failure < 5; ++failure) {
            ejection.recordFailure(service.back(), now);
        }
    }
    cr_assert_eq(ejection.leftOut(service, now).size(), 2);
}
