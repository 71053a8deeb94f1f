#pragma once

#include <chervilpaddle/base/latencyhistogram.h>
#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/controllers/configurationfetch.h>
#include <chervilpaddle/controllers/delayedretrydetector.h>
#include <chervilpaddle/controllers/entryadmission.h>
#include <chervilpaddle/controllers/gracefulshutdown.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/localcalls.h>
#include <chervilpaddle/controllers/retrybudget.h>
#include <chervilpaddle/controllers/storereplication.h>
#include <chervilpaddle/controllers/trafficsplit.h>
#include <chervilpaddle/mesh/meshbackend.h>
#include <chervilpaddle/node/logging.h>
#include <chervilpaddle/node/nodesettings.h>
#include <chervilpaddle/transport/httpserver.h>
#include <chervilpaddle/transport/peertransport.h>

#include <array>
#include <boost/asio/io_context.hpp>

namespace chervilpaddle {

//! Counters since the start of the node.
struct MeshCounters
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t callerDisconnects = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t invalidInstanceEntries = 0;
    //! Newer eras of the store that were taken over, counted for the configuration and for the instance list.
    std::uint64_t storeEraChanges = 0;
    //! Requests to the store that were not answered in time on an open connection.
    std::uint64_t storeTimeouts = 0;
    //! Ended connections of callers by CloseReason, and those of them that left a request without a complete response.
    std::array<std::uint64_t, closeReasonCount> closedConnections{};
    std::array<std::uint64_t, closeReasonCount> unansweredRequests{};
    std::uint64_t failedHandlers = 0;
    //! Time from the arrival of a request to its response, by outcome.
    LatencyHistogram servedLatency;
    LatencyHistogram refusedLatency;
    LatencyHistogram failedLatency;
};

//! Serves plain HTTP calls according to the routes that the platform publishes. Connects the controllers to each other
//! and to the transports. Used on the core thread only.
class MeshCore
{
public:
    MeshCore(boost::asio::io_context &context, const NodeSettings &settings, const PlatformProtocol &protocol, EventLog &log);

    //! Sets a handler for the limits of each configuration that is applied. Must be called before start().
    void onClientLimits(std::function<void(const ClientLimits &)> handler);
    //! Listens for peers and starts reading the platform's store. Errors: AddressInUse.
    std::error_code start();
    //! Handles a request of a caller or of the backend server beside this node.
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    //! Counts and logs a caller's connection that has ended.
    void handleClosedConnection(const ClosedConnection &closed);
    //! Counts and logs an exception that has left a handler.
    void handleFailedHandler(const std::string &what);
    //! Whether the configuration and the instances are known and no shutdown has started.
    bool isReady() const;
    //! Stops accepting work for the backend server beside this node. Requests of callers are still accepted if they can end
    //! before the grace period does.
    void beginShutdown();
    bool isShuttingDown() const;
    //! Whether the process may end. Precondition: the shutdown has started.
    bool isShutdownComplete(bool isIdle) const;
    //! Whether neither runs nor outbound calls are in flight.
    bool isIdle() const;
    //! Ends the shutdown: refuses what still arrives, responds to callers whose calls are in flight, stops listening for peers and
    //! closes the links once everything sent has been written. Precondition: the shutdown has begun.
    void beginClosing();
    //! Whether the process must exit now, whatever is still to be written. Precondition: the shutdown has begun.
    bool isExitDue() const;

    const MeshCounters &counters() const;
    const Executor &executor() const;
    const Router &router() const;
    const LinkController &links() const;
    const PeerTransport &transport() const;
    const RouteTable &routes() const;
    const StoreReplication &replication() const;
    //! The memory for the responses of backend servers; outlives this object where it is shared.
    const std::shared_ptr<BodyMemory> &responseMemory() const;

private:
    //! A request in flight, with what is needed to log it and to respond.
    struct PendingRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        RequestId request;
        const Route *route = nullptr;
        std::shared_ptr<const RouteTable> table;
        OperationName operation;
        Rank rank = 0;
        TimePoint arrived;
        Duration callerTimeout{};
        //! The run that made the request; zero if it came from a caller.
        RunId parentRun;
    };

    //! An instance entry of the store; empty if the item cannot be decoded.
    struct DecodedEntry
    {
        StorePosition position;
        std::optional<InstanceDirectory::Entry> entry;
        //! Why there is no entry; an invalid item that is written again is reported once.
        std::string reason;
    };

    void makeControllers();
    StoreReplication::Hooks replicationHooks();
    Executor::Hooks executorHooks();
    LocalCalls::Hooks localCallsHooks();
    Router::Hooks routerHooks();

    void dispatch(const std::shared_ptr<HttpExchange> &exchange, const IncomingCall &incoming, const Route &route);
    OutboundCall makeOutboundCall(const IncomingCall &incoming, const Route &route, const RouteTarget &target, const Run *parentRun) const;
    //! Responds to and logs a request if a service of its call tree is overloaded; true if it was refused.
    bool refuseIfOverloaded(const PendingRequest &pending, bool isRetry);
    //! Responds to and logs a request if a service of its call tree cannot be reached; true if it was refused.
    bool refuseIfUnreachable(const PendingRequest &pending);
    void publishClearingRank();
    void setPeerClearingRank(const InstanceId &instance, Rank rank);
    //! Ends a request: records its costs, logs it unless it succeeded, and responds.
    void completeRequest(const PendingRequest &pending, const CallResult &result);
    void respond(const PendingRequest &pending, const CallResult &result);
    void logOutcome(const PendingRequest &pending, const CallResult &result);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &request, ResultCode code, const std::string &detail);
    std::optional<Duration> retryAfter(const PendingRequest &pending, const CallResult &result);

    bool sendToInstance(const InstanceId &instance, const PeerMessage &message);
    void handlePeerMessage(PeerEvent event);
    std::optional<ResultCode> startRefusal(const CallMessage &call) const;
    void submit(CallMessage call, Duration queueingDelay, Executor::Reply reply);

    void storeEraChanged(const char *what, const StoreEraChange &change);
    void storeRequestTimedOut(const char *what);
    void configurationChanged();
    void instancesChanged();
    void removeUnknownServices(std::vector<InstanceDirectory::Entry> &entries) const;
    bool isImmaterialChange(const StoreItem &previous, const StoreItem &next) const;
    bool awaitsWrite(const std::string &key) const;
    const std::optional<InstanceDirectory::Entry> &decodeEntry(const std::string &key, const StoreItem &item);
    bool applyConfiguration(const StoreItem &item, const std::string &source);
    void requestNewerRoutes();
    void serveRoutes(ConnectionId connection, const RoutesRequest &request);
    void handleRoutes(const InstanceId &peer, const RoutesMessage &message);
    void reportInvalidEntry(const std::string &key, const std::string &reason);
    void applyInstances();
    void updateOwnCandidate();
    HelloMessage hello() const;
    StatusMessage status() const;

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    const PlatformProtocol &m_protocol;
    EventLog &m_log;
    Clock m_clock;
    RandomSource m_random;
    Incarnation m_incarnation;
    GracefulShutdown m_shutdown;
    std::shared_ptr<const RouteTable> m_routes;
    ConfigurationFetch m_configurationFetch;
    InstanceDirectory m_directory;
    //! The era of the store to which the entries in the directory belong.
    StoreEra m_instancesEra;
    std::vector<PublishedInstance> m_instances;
    //! This node's entry in the instance list; its backend id identifies one start of the backend server.
    std::optional<PublishedInstance> m_ownInstance;
    TrafficSplit m_trafficSplit;
    RetryBudget m_retryBudget;
    EntryAdmission m_admission;
    DelayedRetryDetector m_delayedRetries;
    Rank m_publishedClearingRank = 0;
    TimePoint m_clearingRankPublishedAt;
    std::shared_ptr<BodyMemory> m_responseMemory;
    MeshBackend m_backend;
    HttpClient m_storeClient;
    std::unique_ptr<PeerTransport> m_transport;
    std::unique_ptr<Executor> m_executor;
    std::unique_ptr<LocalCalls> m_localCalls;
    std::unique_ptr<Router> m_router;
    std::unique_ptr<LinkController> m_links;
    std::unique_ptr<StoreReplication> m_replication;
    //! Decoded entries by key, so that only changed entries are decoded again.
    std::unordered_map<std::string, DecodedEntry> m_decodedEntries;
    //! The latest position of each configuration item that was decoded.
    std::unordered_map<std::string, StorePosition> m_decodedConfigurations;
    std::function<void(const ClientLimits &)> m_clientLimitsHandler;
    MeshCounters m_counters;
};

} // namespace chervilpaddle
