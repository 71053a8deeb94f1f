#include <chervilpaddle/base/latencyhistogram.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

Test(latencyhistogram, counts_up_to_each_bound_and_all_beyond)
{
    LatencyHistogram histogram;
    for (const Duration latency : {Duration(0ms), Duration(1ms), Duration(1500us), Duration(2ms), Duration(100ms), Duration(90s)}) {
        histogram.record(latency);
    }
    cr_assert_eq(histogram.countUpTo(0), 2);
    cr_assert_eq(histogram.countUpTo(1), 4);
    cr_assert_eq(histogram.countUpTo(6), 4, "64 ms");
    cr_assert_eq(histogram.countUpTo(7), 5, "128 ms");
    cr_assert_eq(histogram.countUpTo(LatencyHistogram::bucketCount - 1), 5);
    cr_assert_eq(histogram.count(), 6);
    cr_assert_float_eq(histogram.sumSeconds(), 90.1045, 1e-9);
}
