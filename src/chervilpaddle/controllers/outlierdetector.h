#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Leaves out instances whose calls fail one after the other, each time for longer, and never more than a
//! third of a service. Judged by live traffic only. Not thread safe.
class OutlierDetector
{
public:
    void recordSuccess(const InstanceId &instance);
    void recordFailure(const InstanceId &instance, TimePoint now);
    bool isEjected(const InstanceId &instance, TimePoint now) const;
    void forget(const InstanceId &instance);

    //! Which of a service's instances to leave out now: the ejected ones, up to a third of all, longest first.
    std::vector<InstanceId> ejectedInstances(const std::vector<InstanceId> &service, TimePoint now) const;

private:
    struct Health
    {
        int failuresInRow = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
    };
    std::unordered_map<InstanceId, Health> m_health;
};

} // namespace chervilpaddle
