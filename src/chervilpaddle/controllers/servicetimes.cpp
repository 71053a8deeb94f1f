#include <chervilpaddle/controllers/servicetimes.h>

#include <algorithm>
#include <cmath>

namespace chervilpaddle {

namespace {

constexpr double smoothing = 0.125;
constexpr double deviationSmoothing = 0.25;
constexpr double overallSmoothing = 0.02;
constexpr Duration estimateLifetime = std::chrono::seconds(1);

void smooth(double &value, double sample, double weight)
{
    value += weight * (sample - value);
}

} // namespace

void ServiceTimes::record(const OperationName &operation, Duration serviceTime, TimePoint now)
{
    const double sample = toSeconds(serviceTime);
    if (const auto [found, isNew] = m_estimates.try_emplace(operation); isNew) {
        found->second = {sample, sample / 2, now};
    } else {
        Estimate &estimate = found->second;
        smooth(estimate.deviation, std::abs(sample - estimate.mean), deviationSmoothing);
        smooth(estimate.mean, sample, smoothing);
        estimate.updated = now;
    }
    if (m_overallMean == 0) {
        m_overallMean = sample;
    }
    smooth(m_overallMean, sample, overallSmoothing);
}

Duration ServiceTimes::lowerBound(const OperationName &operation, TimePoint now) const
{
    const auto found = m_estimates.find(operation);
    if (found == m_estimates.end() || now - found->second.updated > estimateLifetime) {
        return Duration::zero();
    }
    return fromSeconds(std::max(0.0, found->second.mean - found->second.deviation));
}

std::optional<Duration> ServiceTimes::expected(const OperationName &operation) const
{
    const auto found = m_estimates.find(operation);
    return found == m_estimates.end() ? std::nullopt : std::optional<Duration>(fromSeconds(found->second.mean));
}

Duration ServiceTimes::mean() const
{
    return fromSeconds(m_overallMean);
}

} // namespace chervilpaddle
