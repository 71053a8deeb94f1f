#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/peer/messages.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Decides at the entry whether a request's whole call tree has room. Answers the load in which one service deep in
//! the tree is over its capacity while the others are half idle: a call refused there would waste its parents, so the
//! least urgent requests that lead to it are refused before anything was spent on them. What a request's tree holds at
//! which service is learnt from answers. Nodes hear the same pressures and so come to like decisions without talking.
//! Not thread safe.
class EntryAdmission
{
public:
    struct Request
    {
        OperationName operation;
        //! Zero is the most urgent.
        int priority = 0;
        //! Uniform in [0, 1) over requests.
        double fraction = 0;
        //! The caller has been refused before and has waited as told.
        bool hasReturned = false;
    };

    //! Takes the time that one request's tree held a slot of each service.
    void recordCosts(const OperationName &operation, int priority, const std::vector<ServiceCost> &costs);
    //! Takes what an instance says of its pressure.
    void setPressure(const ServiceName &service, const InstanceId &instance, double pressure, TimePoint now);
    //! Forgets instances that are not in the set.
    void retain(const std::set<InstanceId> &instances);

    //! Whether there is room for the request; the service that has none otherwise.
    std::optional<ServiceName> refusedBy(const Request &request, TimePoint now) const;
    //! The part of such requests that is admitted, in [0, 1].
    double admittedShare(const OperationName &operation, int priority, TimePoint now) const;

    //! The mean pressure of a service's instances.
    double pressure(const ServiceName &service, TimePoint now) const;
    //! Seconds that one request of the operation holds slots of the service, over its whole tree.
    double cost(const OperationName &operation, const ServiceName &service) const;

private:
    struct Tree
    {
        int priority = 0;
        std::map<ServiceName, double> seconds;
    };
    struct Report
    {
        double pressure = 0;
        TimePoint updated;
    };

    double admittedShareAt(const ServiceName &service, int priority, TimePoint now) const;

    std::unordered_map<OperationName, Tree> m_trees;
    std::map<ServiceName, std::map<InstanceId, Report>> m_reports;
    //! By service, the priorities of the requests that lead to it.
    std::map<ServiceName, std::set<int>> m_classes;
};

} // namespace chervilpaddle
