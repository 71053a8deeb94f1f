#include <chervilpaddle/base/latencyhistogram.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

Test(latencyhistogram, counts_up_to_each_upper_bound_and_above_the_last)
{
    LatencyHistogram histogram;
    for (const Duration latency : {Duration(0ms), Duration(1ms), Duration(1500us), Duration(2ms), Duration(100ms), Duration(90s)}) {
        histogram.record(latency);
    }
    cr_assert_eq(histogram.cumulativeCount(0), 2);
    cr_assert_eq(histogram.cumulativeCount(1), 4);
    cr_assert_eq(histogram.cumulativeCount(6), 4, "64 ms");
    cr_assert_eq(histogram.cumulativeCount(7), 5, "128 ms");
    cr_assert_eq(histogram.cumulativeCount(LatencyHistogram::bucketCount - 1), 5);
    cr_assert_eq(histogram.count(), 6);
    cr_assert_float_eq(histogram.sumSeconds(), 90.1045, 1e-9);
}
