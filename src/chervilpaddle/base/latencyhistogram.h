#pragma once

#include <chervilpaddle/base/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace chervilpaddle {

//! Histogram of latencies; the upper bounds of its buckets double from 1 ms to 32.768 s. Not thread-safe.
class LatencyHistogram
{
public:
    static constexpr std::size_t bucketCount = 16;

    void record(Duration latency);

    //! Returns the inclusive upper bound of a bucket. Durations above the last bound are counted in no bucket.
    //! Precondition: bucket < bucketCount.
    static Duration upperBound(std::size_t bucket);
    //! Returns the number of durations up to a bucket's upper bound. Precondition: bucket < bucketCount.
    std::uint64_t cumulativeCount(std::size_t bucket) const;
    std::uint64_t count() const;
    //! Returns the sum of all durations, including those in no bucket, in seconds.
    double sumSeconds() const;

private:
    std::array<std::uint64_t, bucketCount> m_counts{};
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace chervilpaddle
