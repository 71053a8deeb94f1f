#include <chervilpaddle/controllers/latencyestimator.h>

#include <cmath>

namespace chervilpaddle {

namespace {

//! Smoothing factor of the moving average. Low, because response times of one operation vary by half their mean and more.
constexpr double responseWeight = 0.1;
//! Smoothing factor for responses slower than slowFactor times the estimate, so that a degraded instance is avoided soon.
constexpr double slowResponseWeight = 0.25;
constexpr double slowFactor = 3;
constexpr double outcomeWeight = 0.05;
constexpr double failureHalfLifeSeconds = 2;
//! Bounds the memory for estimates: the operations of thousands of routes, replaced over time, would add up.
constexpr std::size_t maxOperations = 4096;

} // namespace

void LatencyEstimator::recordResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now)
{
    if (m_estimates.size() > maxOperations) {
        m_estimates.clear();
    }
    const double sample = toSeconds(elapsed);
    const auto [found, isNew] = m_estimates[operation].try_emplace(instance, Estimate{sample, now});
    Estimate &estimate = found->second;
    if (!isNew) {
        const double weight = sample > slowFactor * estimate.seconds ? slowResponseWeight : responseWeight;
        estimate.seconds += weight * (sample - estimate.seconds);
        estimate.updated = now;
    }
}

void LatencyEstimator::recordMinimumResponseTime(const InstanceId &instance,
                                                 const OperationName &operation,
                                                 Duration elapsed,
                                                 TimePoint now)
{
    const auto known = responseSeconds(instance, operation);
    if (!known || toSeconds(elapsed) > *known) {
        recordResponseTime(instance, operation, elapsed, now);
    }
}

void LatencyEstimator::recordOutcome(const InstanceId &instance, bool hasFailed, TimePoint now)
{
    if (!hasFailed && m_failureRates.count(instance) == 0) {
        return;
    }
    const double before = failureRate(instance, now);
    m_failureRates[instance] = {before + outcomeWeight * ((hasFailed ? 1 : 0) - before), now};
}

void LatencyEstimator::forget(const InstanceId &instance)
{
    for (auto &[operation, estimates] : m_estimates) {
        estimates.erase(instance);
    }
    m_failureRates.erase(instance);
}

std::optional<double> LatencyEstimator::responseSeconds(const InstanceId &instance, const OperationName &operation) const
{
    const Estimate *estimate = find(instance, operation);
    return estimate == nullptr ? std::nullopt : std::optional<double>(estimate->seconds);
}

std::optional<TimePoint> LatencyEstimator::lastUpdated(const InstanceId &instance, const OperationName &operation) const
{
    const Estimate *estimate = find(instance, operation);
    return estimate == nullptr ? std::nullopt : std::optional<TimePoint>(estimate->updated);
}

const LatencyEstimator::Estimate *LatencyEstimator::find(const InstanceId &instance, const OperationName &operation) const
{
    const auto estimates = m_estimates.find(operation);
    if (estimates == m_estimates.end()) {
        return nullptr;
    }
    const auto estimate = estimates->second.find(instance);
    return estimate == estimates->second.end() ? nullptr : &estimate->second;
}

double LatencyEstimator::failureRate(const InstanceId &instance, TimePoint now) const
{
    const auto failures = m_failureRates.find(instance);
    if (failures == m_failureRates.end()) {
        return 0;
    }
    return failures->second.value * std::exp2(-toSeconds(now - failures->second.updated) / failureHalfLifeSeconds);
}

} // namespace chervilpaddle
