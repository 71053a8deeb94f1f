#include <chervilpaddle/controllers/outlierdetector.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
constexpr int failuresBeforeEjection = 5;
constexpr Duration baseEjectionDuration = std::chrono::seconds(1);
constexpr int maxDoublings = 5;
constexpr std::size_t maxEjectedDivisor = 3;
} // namespace

void OutlierDetector::recordSuccess(const InstanceId &instance)
{
    m_health.erase(instance);
}

void OutlierDetector::recordFailure(const InstanceId &instance, TimePoint now)
{
    Health &health = m_health[instance];
    ++health.consecutiveFailures;
    if (health.consecutiveFailures < failuresBeforeEjection || now < health.ejectedUntil) {
        return;
    }
    health.ejectedUntil = now + baseEjectionDuration * (1 << std::min(health.ejections, maxDoublings));
    ++health.ejections;
}

bool OutlierDetector::hasFailures() const
{
    return !m_health.empty();
}

bool OutlierDetector::isEjected(const InstanceId &instance, TimePoint now) const
{
    const auto health = m_health.find(instance);
    return health != m_health.end() && now < health->second.ejectedUntil;
}

void OutlierDetector::forget(const InstanceId &instance)
{
    m_health.erase(instance);
}

std::vector<InstanceId> OutlierDetector::ejectedInstances(const std::vector<InstanceId> &instances, TimePoint now) const
{
    std::vector<InstanceId> ejected;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(ejected), [&](const auto &id) { return isEjected(id, now); });
    const auto longestFirst = [this](const InstanceId &a, const InstanceId &b) {
        return m_health.at(b).ejectedUntil < m_health.at(a).ejectedUntil;
    };
    std::sort(ejected.begin(), ejected.end(), longestFirst);
    ejected.resize(std::min(ejected.size(), instances.size() / maxEjectedDivisor));
    return ejected;
}

} // namespace chervilpaddle
