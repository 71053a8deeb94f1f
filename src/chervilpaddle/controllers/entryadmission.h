#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/peer/messages.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Admission control at the entry node, where a request enters the call graph. Meant for the case in which one service
//! deep in the call tree is overloaded while the others have spare capacity. Refusing calls at that service would waste
//! the work already done for them, so requests of the lowest priorities whose call trees include it are refused at the
//! entry instead. Which services an operation's call tree uses is learned from answers. All nodes receive the same
//! clearing ranks and therefore decide alike without further coordination. Not thread-safe.
class EntryAdmission
{
public:
    struct Request
    {
        OperationName operation;
        //! Priority and the request's own fraction, as in all queues of its call tree.
        Rank rank = 0;
        //! The caller retries after a refusal and has observed the given delay.
        bool isDelayedRetry = false;
    };

    //! Records the slot time that the call tree of one request used at each service.
    void recordCosts(const OperationName &operation, int priority, const std::vector<ServiceCost> &costs);
    //! Records the clearing rank that an instance reports.
    void recordClearingRank(const ServiceName &service, const InstanceId &instance, Rank clearingRank, TimePoint now);
    //! Discards the reports of all instances that are not in the set.
    void retainInstances(const std::set<InstanceId> &instances);

    //! Returns an unreachable service that nearly every request of the operation needs, if there is one. Meant for a data
    //! centre that is cut off from the only instances of a service deep in the call tree: a request refused as not run
    //! can safely be retried, whereas one that fails half-way has run in part. At long intervals a request is admitted nevertheless,
    //! as its answer may show that the service is no longer needed.
    std::optional<ServiceName>
    unreachableService(const OperationName &operation, const std::function<bool(const ServiceName &)> &isReachable, TimePoint now);
    //! Returns the service whose clearing rank refuses the request, or nothing if the request is admitted.
    std::optional<ServiceName> overloadedService(const Request &request, TimePoint now) const;
    //! The mean clearing rank over the service's instances that reported lately; zero if there are none. An instance that
    //! refuses nothing counts with the lowest priority that calls the service.
    Rank clearingRank(const ServiceName &service, TimePoint now) const;

private:
    struct Report
    {
        Rank clearingRank = 0;
        TimePoint updated;
    };
    struct Cost
    {
        //! Smoothed slot time that a request uses at the service.
        double seconds = 0;
        //! Smoothed share of the requests that call the service.
        double share = 1;
    };
    using Costs = std::map<ServiceName, Cost>;

    std::unordered_map<OperationName, Costs> m_costs;
    //! When the next request is admitted of each operation that needs an unreachable service.
    std::unordered_map<OperationName, TimePoint> m_nextProbeAt;
    std::map<ServiceName, std::map<InstanceId, Report>> m_reports;
    //! The lowest priority of the requests that call each service.
    std::map<ServiceName, int> m_minPriority;
};

} // namespace chervilpaddle
