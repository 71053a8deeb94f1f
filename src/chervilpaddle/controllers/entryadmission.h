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

//! Decides at the entry whether a request's whole call tree has room. Answers the load in which one service deep in
//! the tree is over its capacity while the others are half idle: a call refused there would waste its parents, so the
//! least urgent requests that lead to it are refused before anything was spent on them. Which services a request's
//! tree holds is learnt from answers. All nodes hear the same clearing ranks and so decide alike without talking.
//! Not thread safe.
class EntryAdmission
{
public:
    struct Request
    {
        OperationName operation;
        //! Worth and the request's own fraction, as in all queues of its tree.
        Rank rank = 0;
        //! The caller has been refused before and has waited as told.
        bool hasReturned = false;
    };

    //! Takes the time that one request's tree held a slot of each service.
    void recordCosts(const OperationName &operation, int worth, const std::vector<ServiceCost> &costs);
    //! Takes what an instance says of the requests that it must be spared.
    void recordClearingRank(const ServiceName &service, const InstanceId &instance, Rank clearing, TimePoint now);
    //! Forgets instances that are not in the set.
    void retainInstances(const std::set<InstanceId> &instances);

    //! A service that nearly every request of the operation needs and that cannot be reached; nothing where there is none.
    //! Answers a data centre that is cut off from the only instances of a service deep in the tree: what would fail after
    //! it has run in part is better refused as not run, as its caller may then come back.
    std::optional<ServiceName> unreachableService(const OperationName &operation,
                                                  const std::function<bool(const ServiceName &)> &isReachable) const;
    //! The service that has no room for the request; nothing where it is admitted.
    std::optional<ServiceName> overloadedService(const Request &request, TimePoint now) const;
    //! The clearing rank of a service, over its instances; zero where there is room for all.
    Rank clearingRank(const ServiceName &service, TimePoint now) const;

private:
    struct Report
    {
        Rank clearing = 0;
        TimePoint updated;
    };
    struct Cost
    {
        //! Time that a request's tree holds a slot of the service.
        double seconds = 0;
        //! The part of the requests whose tree needs it at all.
        double share = 1;
    };
    using Costs = std::map<ServiceName, Cost>;

    std::unordered_map<OperationName, Costs> m_costs;
    std::map<ServiceName, std::map<InstanceId, Report>> m_reports;
    //! By service, the least worth of the requests that lead to it.
    std::map<ServiceName, int> m_leastWorth;
};

} // namespace chervilpaddle
