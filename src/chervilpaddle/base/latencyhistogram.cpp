#include <chervilpaddle/base/latencyhistogram.h>

namespace chervilpaddle {

namespace {
constexpr Duration firstUpperBound = std::chrono::milliseconds(1);
} // namespace

void LatencyHistogram::record(Duration latency)
{
    ++m_count;
    m_sumSeconds += toSeconds(latency);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (latency <= upperBound(bucket)) {
            ++m_counts[bucket];
            return;
        }
    }
}

Duration LatencyHistogram::upperBound(std::size_t bucket)
{
    return firstUpperBound * (1U << bucket);
}

std::uint64_t LatencyHistogram::cumulativeCount(std::size_t bucket) const
{
    std::uint64_t count = 0;
    for (std::size_t i = 0; i <= bucket; ++i) {
        count += m_counts[i];
    }
    return count;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

double LatencyHistogram::sumSeconds() const
{
    return m_sumSeconds;
}

} // namespace chervilpaddle
