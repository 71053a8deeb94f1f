#include <chervilpaddle/controllers/outlierdetector.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

Test(outlierdetector, five_failures_in_a_row_eject_an_instance_and_a_success_between_does_not)
{
    OutlierDetector detector;
    const InstanceId instance("x-1");
    const TimePoint now;
    for (int i = 0; i < 4; ++i) {
        detector.recordFailure(instance, now);
    }
    cr_assert(!detector.isEjected(instance, now));
    detector.recordSuccess(instance);
    for (int i = 0; i < 4; ++i) {
        detector.recordFailure(instance, now);
    }
    cr_assert(!detector.isEjected(instance, now));
    detector.recordFailure(instance, now);
    cr_assert(detector.isEjected(instance, now));
}

Test(outlierdetector, never_more_than_a_third_of_a_service_is_ejected)
{
    OutlierDetector detector;
    std::vector<InstanceId> service;
    const TimePoint now;
    for (int i = 0; i < 7; ++i) {
        service.emplace_back("x-" + std::to_string(i));
        for (int failure = 0; failure < 5; ++failure) {
            detector.recordFailure(service.back(), now);
        }
    }
    cr_assert_eq(detector.ejectedInstances(service, now).size(), 2);
}
