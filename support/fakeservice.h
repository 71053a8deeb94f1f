#pragma once

#include "virtualtime.h"

#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/router.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace chervilpaddle::support {

class FakeServices;

//! What an operation does at a fake backend server: work, then its calls one after the other.
struct FakeOperation
{
    Duration serviceTime = std::chrono::milliseconds(10);
    std::vector<OperationName> calls;
    bool idempotent = true;
    Duration deadline = std::chrono::seconds(1);
};

//! What becomes of one message on its way.
struct Delivery
{
    //! When each copy arrives, from now; none: the message is lost.
    std::vector<Duration> copies;
};

//! The decisions of one node, with a fake backend server beside them.
class FakeNode
{
public:
    FakeNode(FakeServices &services, Candidate self, ServiceName service, int slots, const PolicySwitches &policy, std::uint64_t seed);

    const Candidate &self() const;
    const ServiceName &service() const;
    Executor &executor();
    Router &router();

    //! Ends the process; what it held is gone. The world drops its messages from now on.
    void kill();
    bool isAlive() const;
    //! Multiplies all service times.
    void setSlowdown(double factor);
    //! Share of runs that the backend server answers with a failure.
    void setFailureRate(double rate);

private:
    friend class FakeServices;
    struct Job
    {
        Run run;
        std::size_t nextCall = 0;
        TimePoint since;
        std::set<CallId> children;
    };

    void backendStart(const Run &run);
    void backendBegin(const std::shared_ptr<Job> &job);
    void backendCallNext(const std::shared_ptr<Job> &job);
    void backendEnd(const std::shared_ptr<Job> &job, ResultCode code);
    void cancelRun(RunId run);
    void tick();

    FakeServices &m_services;
    Candidate m_self;
    ServiceName m_service;
    int m_backendSlots;
    PolicySwitches m_policy;
    RandomSource m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    double m_slowdown = 1;
    double m_failureRate = 0;
    std::unique_ptr<Executor> m_executor;
    std::unique_ptr<Router> m_router;
    int m_working = 0;
    std::deque<std::shared_ptr<Job>> m_backlog;
    std::map<RunId, std::shared_ptr<Job>> m_jobs;
};

//! A handful of nodes with fake backend servers, in virtual time. Everybody can reach everybody; `deliver` decides
//! what the network does to each message.
class FakeServices
{
public:
    using DeliveryFunction = std::function<Delivery(const InstanceId &from, const InstanceId &to, const PeerMessage &)>;

    FakeServices(VirtualTime &time, std::uint64_t seed);

    void addOperation(const OperationName &name, const FakeOperation &operation);
    const FakeOperation &operation(const OperationName &name) const;
    FakeNode &addNode(
        const std::string &instance, const std::string &service, const std::string &dataCentre, int slots, const PolicySwitches &policy);
    //! Replaces a node by a new process at the same place.
    FakeNode &replaceNode(const std::string &instance);
    FakeNode &node(const std::string &instance);
    std::vector<FakeNode *> nodes();
    void setDeliveryFunction(DeliveryFunction deliveryFunction);

    VirtualTime &time();
    RandomSource &random();
    const std::vector<Candidate> &candidates(const ServiceName &service);
    bool send(FakeNode &from, const InstanceId &to, const PeerMessage &message);
    void answer(const InstanceId &from, const InstanceId &to, const ResponseMessage &answer);

    //! How often the backend servers started each request's operation: the judge of at-most-once.
    std::map<std::pair<std::string, std::string>, int> startCounts;
    //! Slot time spent on each request, over all backend servers.
    std::map<std::string, double> slotSeconds;

private:
    struct Recipe
    {
        std::string service;
        std::string dataCentre;
        int slots = 1;
        PolicySwitches policy;
    };

    void arrive(const InstanceId &from, const InstanceId &to, const PeerMessage &message);

    VirtualTime &m_time;
    RandomSource m_random;
    DeliveryFunction m_deliveryFunction;
    std::map<OperationName, FakeOperation> m_operations;
    std::map<std::string, Recipe> m_recipes;
    std::map<InstanceId, std::unique_ptr<FakeNode>> m_nodes;
    //! Ended processes stay in memory until the end: events may still point at them.
    std::vector<std::unique_ptr<FakeNode>> m_ended;
    std::map<ServiceName, std::vector<Candidate>> m_candidates;
};

} // namespace chervilpaddle::support
