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

//! How a fake backend server runs an operation: it works for the service time, then makes its calls one after the other.
struct FakeOperation
{
    Duration serviceTime = std::chrono::milliseconds(10);
    std::vector<OperationName> calls;
    bool idempotent = true;
    Duration deadline = std::chrono::seconds(1);
};

//! What the network does to one message.
struct Delivery
{
    //! Delay of each delivered copy. Empty if the message is lost.
    std::vector<Duration> copies;
};

//! A node's router and executor with a fake backend server.
class FakeNode
{
public:
    FakeNode(FakeServices &services, Candidate self, ServiceName service, int slots, const PolicySwitches &policy, std::uint64_t seed);

    const Candidate &self() const;
    const ServiceName &service() const;
    Executor &executor();
    Router &router();

    //! Ends the process. Its state is lost and messages to it are dropped from now on.
    void kill();
    bool isAlive() const;
    //! Sets the factor by which all service times are multiplied.
    void setSlowdown(double factor);
    //! Sets the fraction of runs that fail at the backend server.
    void setFailureRate(double rate);

private:
    friend class FakeServices;
    struct Job
    {
        Run run;
        std::size_t nextCall = 0;
        TimePoint startedAt;
        std::set<CallId> children;
    };

    void acceptRun(const Run &run);
    void startJob(const std::shared_ptr<Job> &job);
    void callNext(const std::shared_ptr<Job> &job);
    void finishJob(const std::shared_ptr<Job> &job, ResultCode code);
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
    int m_runningJobs = 0;
    std::deque<std::shared_ptr<Job>> m_waitingJobs;
    std::map<RunId, std::shared_ptr<Job>> m_jobs;
};

//! Several nodes with fake backend servers in virtual time. Every node can reach every other one; the delivery function
//! decides whether and when each message arrives.
class FakeServices
{
public:
    using DeliveryFunction = std::function<Delivery(const InstanceId &from, const InstanceId &to, const PeerMessage &)>;

    FakeServices(VirtualTime &time, std::uint64_t seed);

    void addOperation(const OperationName &name, const FakeOperation &operation);
    const FakeOperation &operation(const OperationName &name) const;
    FakeNode &addNode(
        const std::string &instance, const std::string &service, const std::string &dataCentre, int slots, const PolicySwitches &policy);
    //! Replaces a node by a new process with the same instance name and a new incarnation.
    FakeNode &replaceNode(const std::string &instance);
    FakeNode &node(const std::string &instance);
    std::vector<FakeNode *> nodes();
    void setDeliveryFunction(DeliveryFunction deliveryFunction);

    VirtualTime &time();
    RandomSource &random();
    const std::vector<Candidate> &candidates(const ServiceName &service);
    bool send(FakeNode &from, const InstanceId &to, const PeerMessage &message);
    void answer(const InstanceId &from, const InstanceId &to, const ResponseMessage &answer);

    //! Number of starts at the backend servers by request and operation, to check at-most-once execution.
    std::map<std::pair<std::string, std::string>, int> startCounts;
    //! Seconds of slot time spent on each request, summed over all backend servers.
    std::map<std::string, double> slotSeconds;

private:
    struct NodeOptions
    {
        std::string service;
        std::string dataCentre;
        int slots = 1;
        PolicySwitches policy;
    };

    void deliver(const InstanceId &from, const InstanceId &to, const PeerMessage &message);

    VirtualTime &m_time;
    RandomSource m_random;
    DeliveryFunction m_deliveryFunction;
    std::map<OperationName, FakeOperation> m_operations;
    std::map<std::string, NodeOptions> m_nodeOptions;
    std::map<InstanceId, std::unique_ptr<FakeNode>> m_nodes;
    //! Processes that were replaced. They stay in memory because pending events may still refer to them.
    std::vector<std::unique_ptr<FakeNode>> m_replacedNodes;
    std::map<ServiceName, std::vector<Candidate>> m_candidates;
};

} // namespace chervilpaddle::support
