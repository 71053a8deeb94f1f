#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Passive outlier detection: ejects an instance after consecutive failures, each time for longer, and never more than a third
//! of a service's instances at once. Uses live traffic only, no active health checks. Not thread-safe.
class OutlierDetector
{
public:
    void recordSuccess(const InstanceId &instance);
    void recordFailure(const InstanceId &instance, TimePoint now);
    //! Returns whether any instance has failed since its last success; if not, none is ejected.
    bool hasFailures() const;
    bool isEjected(const InstanceId &instance, TimePoint now) const;
    void forget(const InstanceId &instance);

    //! The instances of a service to exclude now: at most a third of them, those that stay ejected longest first.
    std::vector<InstanceId> ejectedInstances(const std::vector<InstanceId> &instances, TimePoint now) const;

private:
    struct Health
    {
        int consecutiveFailures = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
    };
    std::unordered_map<InstanceId, Health> m_health;
};

} // namespace chervilpaddle
