#pragma once

#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/controllers/configurationsync.h>
#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/localcalls.h>
#include <chervilpaddle/controllers/ratelimiter.h>
#include <chervilpaddle/controllers/requestcoalescer.h>
#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/filters/entryrequest.h>
#include <chervilpaddle/node/backendadapter.h>
#include <chervilpaddle/node/configurationclient.h>
#include <chervilpaddle/node/logging.h>
#include <chervilpaddle/node/nodesettings.h>
#include <chervilpaddle/transport/peertransport.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

namespace chervilpaddle {

//! An outbound call of the backend server beside this node.
struct EgressRequest
{
    std::string contextHeader;
    OperationName operation;
    Payload payload;
};

//! Connects the controllers to each other and to the transports. Used on the core thread only, except for the members that
//! are marked as callable from other threads.
class NodeCore
{
public:
    using Completion = std::function<void(const CallResult &)>;

    NodeCore(boost::asio::io_context &context, const NodeSettings &settings, EventLog &log);

    //! Listens for peers and starts reading the platform. Call before the core thread runs. Errors: AddressInUse.
    std::error_code start();

    //! The contracts in force. Callable from any thread that is registered with RCU.
    std::shared_ptr<const ContractBundle> bundle() const;
    //! This node's share of the customers' rates. Callable from any thread that is registered with RCU.
    std::shared_ptr<const RateTable> rates() const;
    //! Callable from any thread.
    bool isDraining() const;

    //! Sends a request that has passed the entry filters. The completion is called exactly once.
    EntryRequestId startRequest(const EntryRequest &request, Completion completion);
    //! Reports that the caller of a request has disconnected. Cancels the call unless other requests wait for it.
    void cancelRequest(EntryRequestId entry);
    std::optional<Ticket> issueTicket(const OperationName &operation, Rank rank);
    //! Sends a call of the backend server; returns zero if it was refused immediately.
    CallId startBackendCall(const EgressRequest &request, Completion completion);
    void cancelBackendCall(CallId call);

    //! Starts to drain the node; later calls have no effect. The initiator is logged.
    void drain(const std::string &initiator);
    //! Whether calls can be run here: configuration and instance list are known, and the services that runs will call are
    //! reachable or the warm-up time is over.
    bool isReady() const;
    //! Whether nothing is in flight and every connected peer has confirmed the drain.
    bool isDrained() const;
    //! Stops listening for peers and closes the links once everything sent has been written.
    void closeConnections();

    Clock clock() const;
    const NodeSettings &settings() const;
    const Executor &executor() const;
    const Router &router() const;
    //! The memory for the responses of backend servers; outlives this object where it is shared.
    const std::shared_ptr<BodyMemory> &responseMemory() const;
    const LinkController &links() const;
    const ConfigurationSync &sync() const;
    const ConfigurationController &configuration() const;
    const MembershipController &membership() const;
    const PeerTransport &transport() const;
    Incarnation incarnation() const;

private:
    //! Requests of callers that wait for the same call.
    struct EntryCall
    {
        CallId call;
        RequestId request;
        OperationName operation;
        std::string key;
        bool idempotent = false;
        std::map<EntryRequestId, Completion> waiting;
    };

    void makeControllers();
    Executor::Hooks executorHooks();
    LocalCalls::Hooks localCallsHooks();
    Router::Hooks routerHooks();
    ConfigurationSync::Hooks syncHooks();

    bool sendToInstance(const InstanceId &instance, const PeerMessage &message);
    void handlePeerMessage(PeerEvent event);
    void submitFromPeer(const PeerEvent &event, CallMessage call);
    void runFinished(RunId run, const BackendResult &result);
    void cancelRun(RunId run);
    void membershipChanged();
    void updateDesiredPeers();
    void updateIncarnation();
    void updateReadiness();
    bool areCalledServicesReachable();
    void publishOwnState();
    void ensureServicePeers(const ServiceName &service);
    void logOutcome(const CallResult &result, const RequestId &request, const OperationName &operation);
    OutboundCall makeOutboundCall(const EntryRequest &request) const;
    HelloMessage hello() const;
    StatusMessage status() const;
    int publishedSlots() const;

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    EventLog &m_log;
    Clock m_clock;
    RandomSource m_random;
    Incarnation m_incarnation;
    std::atomic<bool> m_draining{false};
    //! Whether this node can run calls. A process that has just started lacks links to the services that its runs will call.
    bool m_ready = false;
    TimePoint m_hasDocumentsSince;
    ConfigurationController m_configuration;
    MembershipController m_membership;
    RcuCell<RateTable> m_rates;
    std::shared_ptr<BodyMemory> m_responseMemory;
    BackendAdapter m_backend;
    ConfigurationClient m_configurationClient;
    std::unique_ptr<PeerTransport> m_transport;
    std::unique_ptr<Executor> m_executor;
    std::unique_ptr<LocalCalls> m_localCalls;
    std::unique_ptr<Router> m_router;
    std::unique_ptr<LinkController> m_links;
    std::unique_ptr<ConfigurationSync> m_sync;
    std::set<ServiceName> m_requestedServices;
    std::map<RunId, std::set<CallId>> m_childCalls;
    RequestCoalescer m_entryCalls;
};

} // namespace chervilpaddle
