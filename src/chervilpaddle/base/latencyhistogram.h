#pragma once

#include <chervilpaddle/base/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace chervilpaddle {

//! Counts durations in buckets that double from a millisecond to half a minute. Not thread safe.
class LatencyHistogram
{
public:
    static constexpr std::size_t bucketCount = 16;

    void record(Duration latency);

    //! The upper bound of a bucket, included; what is longer than the last is in no bucket.
    //! Precondition: bucket < bucketCount.
    static Duration upperBound(std::size_t bucket);
    //! How many durations are no longer than a bucket's upper bound. Precondition: bucket < bucketCount.
    std::uint64_t countUpTo(std::size_t bucket) const;
    std::uint64_t count() const;
    //! The sum of all durations, in seconds.
    double sumSeconds() const;

private:
    std::array<std::uint64_t, bucketCount> m_counts{};
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace chervilpaddle
