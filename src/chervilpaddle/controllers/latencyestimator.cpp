#include <chervilpaddle/controllers/latencyestimator.h>

#include <cmath>

namespace chervilpaddle {

namespace {

//! Of a new answer in the forecast: calls of one operation vary by half their mean and more.
constexpr double answerWeight = 0.1;
//! A slow answer counts for more, so that an instance that turns slow is left soon.
constexpr double slowAnswerWeight = 0.25;
constexpr double slowFactor = 3;
constexpr double outcomeWeight = 0.05;
constexpr double failureHalfLifeSeconds = 2;
//! Operations that are remembered; a configuration of thousands of routes may bring more over time.
constexpr std::size_t mostOperations = 4096;

} // namespace

void LatencyEstimator::recordResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now)
{
    if (m_estimates.size() > mostOperations) {
        m_estimates.clear();
    }
    const double sample = toSeconds(elapsed);
    const auto [found, isNew] = m_estimates[operation].try_emplace(instance, Estimate{sample, now});
    Estimate &estimate = found->second;
    if (!isNew) {
        const double weight = sample > slowFactor * estimate.seconds ? slowAnswerWeight : answerWeight;
        estimate.seconds += weight * (sample - estimate.seconds);
        estimate.updated = now;
    }
}

void LatencyEstimator::recordMinimumResponseTime(const InstanceId &instance,
                                                 const OperationName &operation,
                                                 Duration elapsed,
                                                 TimePoint now)
{
    const auto known = seconds(instance, operation);
    if (!known || toSeconds(elapsed) > *known) {
        recordResponseTime(instance, operation, elapsed, now);
    }
}

void LatencyEstimator::recordOutcome(const InstanceId &instance, bool hasFailed, TimePoint now)
{
    if (!hasFailed && m_failures.count(instance) == 0) {
        return;
    }
    const double before = failureRate(instance, now);
    m_failures[instance] = {before + outcomeWeight * ((hasFailed ? 1 : 0) - before), now};
}

void LatencyEstimator::forget(const InstanceId &instance)
{
    for (auto &[operation, estimates] : m_estimates) {
        estimates.erase(instance);
    }
    m_failures.erase(instance);
}

std::optional<double> LatencyEstimator::seconds(const InstanceId &instance, const OperationName &operation) const
{
    const Estimate *estimate = find(instance, operation);
    return estimate == nullptr ? std::nullopt : std::optional<double>(estimate->seconds);
}

std::optional<TimePoint> LatencyEstimator::updated(const InstanceId &instance, const OperationName &operation) const
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
    const auto failures = m_failures.find(instance);
    if (failures == m_failures.end()) {
        return 0;
    }
    return failures->second.share * std::exp2(-toSeconds(now - failures->second.updated) / failureHalfLifeSeconds);
}

} // namespace chervilpaddle
