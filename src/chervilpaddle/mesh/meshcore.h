#pragma once

#include <chervilpaddle/base/latencyhistogram.h>
#include <chervilpaddle/controllers/entryadmission.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/prefixmirror.h>
#include <chervilpaddle/controllers/repeatbudget.h>
#include <chervilpaddle/controllers/stopplan.h>
#include <chervilpaddle/controllers/trafficsplit.h>
#include <chervilpaddle/mesh/meshbackend.h>
#include <chervilpaddle/node/logging.h>
#include <chervilpaddle/node/nodesettings.h>
#include <chervilpaddle/transport/httpserver.h>
#include <chervilpaddle/transport/peertransport.h>

#include <boost/asio/io_context.hpp>

namespace chervilpaddle {

//! Counters of the mesh since its start.
struct MeshCounters
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t unreadableEntries = 0;
    //! From the arrival of a request to its answer, by what became of it.
    LatencyHistogram servedLatency;
    LatencyHistogram refusedLatency;
    LatencyHistogram failedLatency;
};

//! Serves plain HTTP calls by routes that the platform publishes. Joins the controllers to each other and to the
//! transports. Belongs to the core thread.
class MeshCore
{
public:
    MeshCore(boost::asio::io_context &context, const NodeSettings &settings, const PlatformProtocol &protocol, EventLog &log);

    //! Listens for peers and starts reading the platform's store. Errors: AddressInUse.
    std::error_code start();
    //! Takes a request of a caller or of the backend server beside this node.
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    //! The configuration and the instances are known, and no stop was asked for.
    bool isReady() const;
    //! Takes no more work for the backend server beside this node; callers are served on while their calls can end in time.
    void beginStop();
    bool isStopping() const;
    //! Whether the process may end. Precondition: the stop has begun.
    bool isStopOver(bool isIdle) const;
    //! Nothing is in flight.
    bool isIdle() const;
    void shutdown();

    const MeshCounters &counters() const;
    const Executor &executor() const;
    const Router &router() const;
    const LinkController &links() const;
    const PeerTransport &transport() const;
    const RouteTable &routes() const;
    const PrefixMirror &configuration() const;
    const PrefixMirror &instances() const;

private:
    //! A request on its way, for the log and the answer.
    struct Entered
    {
        std::shared_ptr<HttpExchange> exchange;
        RequestId request;
        const Route *route = nullptr;
        std::shared_ptr<const RouteTable> table;
        OperationName operation;
        Rank rank = 0;
        TimePoint arrived;
        Duration patience{};
        //! The run whose backend server made the request; zero for a caller's.
        RunId parent;
    };

    void makeControllers();
    PrefixMirror::Hooks mirrorHooks(const char *what, std::function<void()> changed);
    Executor::Hooks executorHooks();
    Router::Hooks routerHooks();

    void enter(const std::shared_ptr<HttpExchange> &exchange, const IncomingCall &incoming, const Route &route);
    OutboundCall outboundFor(const IncomingCall &incoming, const Route &route, const RouteTarget &target, const Run *parent) const;
    //! Answers and logs a request whose call tree has no room.
    bool isRefusedAtEntry(const Entered &entered, bool hasReturned);
    //! Answers and logs a request whose call tree lacks a service.
    bool isRefusedAsUnreachable(const Entered &entered);
    bool hasReturned(const IncomingCall &incoming, const Route &route);
    void publishClearing();
    void takeClearing(const InstanceId &instance, Rank clearing);
    //! Takes the end of a call: what it cost, a log line where it was not served, the answer.
    void ended(const Entered &entered, const CallResult &result);
    void answer(const Entered &entered, const CallResult &result);
    void logOutcome(const Entered &entered, const CallResult &result);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &request, ResultCode code, const std::string &detail);
    std::optional<Duration> comeBackAfter(const Entered &entered, const CallResult &result);

    bool sendToInstance(const InstanceId &instance, const PeerMessage &message);
    void submitLocally(const PeerMessage &message);
    void receivedFromPeer(const PeerEvent &event);
    void exchangeDocuments(const PeerEvent &event);
    void submit(const CallMessage &call, Duration waited, Executor::Reply reply);

    void configurationChanged();
    void instancesChanged();
    void ignoreEntry(const std::string &key, const std::string &reason);
    void applyInstances();
    void refreshSelf();
    HelloMessage hello() const;
    StatusMessage status() const;

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    const PlatformProtocol &m_protocol;
    EventLog &m_log;
    Clock m_clock;
    RandomSource m_random;
    Incarnation m_incarnation;
    StopPlan m_stop;
    std::shared_ptr<const RouteTable> m_routes;
    InstanceDirectory m_directory;
    std::vector<PublishedInstance> m_instances;
    //! The start of the backend server beside this node that the platform's list names.
    std::optional<PublishedInstance> m_ownBackend;
    TrafficSplit m_split;
    RepeatBudget m_repeats;
    EntryAdmission m_admission;
    //! The longest patience of a route's callers: who has less has waited before.
    std::unordered_map<RouteName, Duration> m_fullPatience;
    Rank m_publishedClearing = 0;
    TimePoint m_clearingPublishedAt;
    MeshBackend m_backend;
    HttpClient m_storeClient;
    std::unique_ptr<PeerTransport> m_transport;
    std::unique_ptr<Executor> m_executor;
    std::unique_ptr<Router> m_router;
    std::unique_ptr<LinkController> m_links;
    std::unique_ptr<PrefixMirror> m_configurationMirror;
    std::unique_ptr<PrefixMirror> m_instancesMirror;
    MeshCounters m_counters;
};

} // namespace chervilpaddle
