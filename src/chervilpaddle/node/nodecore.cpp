#include <chervilpaddle/node/nodecore.h>

#include <chervilpaddle/node/callresponse.h>
#include <chervilpaddle/node/peerwiring.h>
#include <chervilpaddle/transport/timers.h>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace chervilpaddle {

namespace {

//! Slot count until the instance list names this node.
constexpr int initialSlots = 16;
constexpr Duration executorTickInterval = std::chrono::milliseconds(5);
constexpr Duration linkTickInterval = std::chrono::milliseconds(50);
constexpr Duration syncTickInterval = std::chrono::milliseconds(250);
constexpr Duration healthInterval = std::chrono::seconds(1);
//! A node becomes ready after this time even if a service that it calls is unreachable, as it can serve other calls.
constexpr Duration maxWarmUpTime = std::chrono::seconds(3);
constexpr Duration minLateResponseTimeout = std::chrono::seconds(5);
//! For all responses of backend servers together.
constexpr std::size_t maxResponseBytes = 256 * mebibyte;

} // namespace

NodeCore::NodeCore(boost::asio::io_context &context, const NodeSettings &settings, EventLog &log)
    : m_context(context)
    , m_settings(settings)
    , m_log(log)
    , m_clock(steadyClock())
    , m_random(entropySeed())
    , m_incarnation(randomIdentifier(m_random))
    , m_rates(std::make_shared<const RateTable>(ContractBundle(), InstanceList()))
    , m_responseMemory(std::make_shared<BodyMemory>(maxResponseBytes))
    , m_backend(context,
                settings.backend,
                m_incarnation,
                m_responseMemory,
                {m_clock,
                 [this](RunId run, const BackendResult &result) { runFinished(run, result); },
                 [this] { drain("backend server"); },
                 [this] { return std::max(minLateResponseTimeout, 2 * m_configuration.current()->longestDeadline()); }})
    , m_configurationClient(context, settings.platform)
{
    makeControllers();
}

void NodeCore::makeControllers()
{
    m_transport = std::make_unique<PeerTransport>(m_context, makeTransportHooks(m_clock, m_links, m_log), m_responseMemory);
    m_executor = std::make_unique<Executor>(Executor::Options{m_settings.instance, m_incarnation, initialSlots, m_settings.policy, {}},
                                            executorHooks());
    m_localCalls = std::make_unique<LocalCalls>(localCallsHooks());
    m_router =
        std::make_unique<Router>(Router::Options{m_settings.dataCentre, m_incarnation, m_settings.policy, m_random()}, routerHooks());
    const Candidate self{m_settings.instance, m_incarnation, m_settings.dataCentre, true};
    PeerMessageHooks messageHooks{
        [this] { return hello(); }, [this] { return status(); }, [this](PeerEvent event) { handlePeerMessage(std::move(event)); }};
    m_links = std::make_unique<LinkController>(
        self, m_settings.service, makeLinkHooks(m_clock, *m_transport, *m_router, m_log, std::move(messageHooks)), m_random());
    m_links->setSeeds(m_settings.seeds);
    const LocalNode localNode{m_settings.instance, m_settings.dataCentre, m_settings.service, {}};
    m_sync = std::make_unique<ConfigurationSync>(localNode, m_configuration, m_membership, syncHooks(), m_random());
}

std::error_code NodeCore::start()
{
    if (const std::error_code error = m_transport->listen(m_settings.peers); error) {
        return error;
    }
    m_sync->start();
    schedulePeriodically(m_context, executorTickInterval, [this] { m_executor->tick(); });
    schedulePeriodically(m_context, linkTickInterval, [this] {
        m_links->tick();
        updateReadiness();
    });
    schedulePeriodically(m_context, syncTickInterval, [this] { m_sync->tick(); });
    schedulePeriodically(m_context, healthInterval, [this] { m_backend.pollHealth(); });
    return {};
}

Executor::Hooks NodeCore::executorHooks()
{
    return {m_clock, [this](const Run &run) { m_backend.start(run); }, [this](RunId run) { cancelRun(run); }};
}

LocalCalls::Hooks NodeCore::localCallsHooks()
{
    LocalCalls::Hooks hooks;
    hooks.clock = m_clock;
    hooks.post = [this](std::function<void()> action) { boost::asio::post(m_context, std::move(action)); };
    hooks.submit = [this](const CallMessage &call, Duration queueingDelay, Executor::Reply reply) {
        m_executor->submit(call, queueingDelay, std::move(reply));
        updateIncarnation();
    };
    hooks.cancel = [this](const TicketId &ticket) { m_executor->cancel(ticket); };
    hooks.respond = [this](const ResponseMessage &response) { m_router->handleResponse(m_settings.instance, response); };
    return hooks;
}

Router::Hooks NodeCore::routerHooks()
{
    return {m_clock,
            [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); },
            [this](const ServiceName &service) -> const std::vector<Candidate> & { return m_links->candidates(service); },
            [this](const InstanceId &instance, const PeerMessage &message) { return sendToInstance(instance, message); }};
}

ConfigurationSync::Hooks NodeCore::syncHooks()
{
    ConfigurationSync::Hooks hooks;
    hooks.clock = m_clock;
    hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); };
    hooks.read = [this](const std::string &key, ConfigurationSync::ResponseHandler reply) {
        m_configurationClient.read(key, std::move(reply));
    };
    hooks.watch = [this](const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply) {
        m_configurationClient.watch(key, after, std::move(reply));
    };
    hooks.reply = [this](ConnectionId connection, const PeerMessage &message) { m_links->reply(connection, message); };
    hooks.lastReceivedFrom = [this](const std::vector<InstanceId> &readers) { return m_links->lastReceivedFrom(readers); };
    hooks.configurationChanged = [this] {
        m_log.info(
            {"configuration applied", ResultCode::Success, {}, "revision " + std::to_string(m_configuration.version().revision.value())});
        membershipChanged();
    };
    hooks.instancesChanged = [this] {
        m_log.info(
            {"instance list applied", ResultCode::Success, {}, "revision " + std::to_string(m_membership.version().revision.value())});
        membershipChanged();
    };
    return hooks;
}

std::shared_ptr<const ContractBundle> NodeCore::bundle() const
{
    return m_configuration.current();
}

std::shared_ptr<const RateTable> NodeCore::rates() const
{
    return m_rates.read();
}

bool NodeCore::isDraining() const
{
    return m_draining.load(std::memory_order_relaxed);
}

EntryRequestId NodeCore::startRequest(const EntryRequest &request, Completion completion)
{
    const std::string key = request.customer.value() + '\n' + request.request.value() + '\n' + request.operation.value() + '\n'
        + std::to_string(stableHash(request.payload.body ? *request.payload.body : std::string()));
    ensureServicePeers(serviceOf(request.operation));
    const auto start = [this, &request](Completion ended) {
        return m_router->call(
            makeOutboundCall(request),
            [this, id = request.request, operation = request.operation, ended = std::move(ended)](const CallResult &result) {
                logOutcome(result, id, operation);
                ended(result);
            });
    };
    return m_entryCalls.submit(key, request.terms->idempotent, start, std::move(completion));
}

OutboundCall NodeCore::makeOutboundCall(const EntryRequest &request) const
{
    OutboundCall call;
    call.context.request = request.request;
    call.context.customer = request.customer;
    call.context.operation = request.operation;
    call.context.rank = request.rank;
    call.context.idempotent = request.terms->idempotent;
    call.deadline = request.deadline;
    call.payload = request.payload;
    call.allowance = std::make_shared<RetryAllowance>(request.retryAllowance);
    call.boundTicket = request.ticket;
    call.isFirstTicketUse = request.ticketAttempt == 0;
    return call;
}

void NodeCore::cancelRequest(EntryRequestId entry)
{
    if (const CallId call = m_entryCalls.abandon(entry); call != CallId()) {
        m_router->cancel(call);
    }
}

std::optional<Ticket> NodeCore::issueTicket(const OperationName &operation, Rank rank)
{
    ensureServicePeers(serviceOf(operation));
    return m_router->issueTicket(operation, rank);
}

CallId NodeCore::startBackendCall(const EgressRequest &request, Completion completion)
{
    const RunId runId = m_backend.parseContext(request.contextHeader);
    const Run *run = m_executor->findRun(runId);
    if (run == nullptr) {
        completion(refusedResult(ResultCode::ContextUnknown));
        return CallId();
    }
    const CallContext &parent = run->call.context;
    const auto bundle = m_configuration.current();
    const OperationTerms *parentTerms = bundle->find(parent.customer, parent.operation);
    const OperationTerms *terms = bundle->find(parent.customer, request.operation);
    const bool isDeclared = parentTerms != nullptr && terms != nullptr
        && std::find(parentTerms->calls.begin(), parentTerms->calls.end(), request.operation) != parentTerms->calls.end();
    if (!isDeclared) {
        completion(refusedResult(ResultCode::OperationNotDeclared));
        return CallId();
    }
    if (parent.branchMayHaveRun && !terms->idempotent) {
        completion(refusedResult(ResultCode::BranchRepeated));
        return CallId();
    }
    OutboundCall call;
    call.context = parent;
    call.context.operation = request.operation;
    call.context.depth = parent.depth + 1;
    call.context.idempotent = terms->idempotent;
    call.deadline = m_clock() + terms->deadline;
    if (m_settings.policy.deadlineEnforcement) {
        call.deadline = std::min(call.deadline, run->deadline);
    }
    call.payload = request.payload;
    call.allowance = run->allowance;
    const OperationName parentOperation = parent.operation;
    ensureServicePeers(serviceOf(request.operation));
    auto id = std::make_shared<CallId>();
    *id = m_router->call(
        std::move(call),
        [this, id, runId, parentOperation, operation = request.operation, request = parent.request, completion = std::move(completion)](
            const CallResult &result) {
            if (const auto children = m_childCalls.find(runId); children != m_childCalls.end()) {
                children->second.erase(*id);
            }
            m_executor->recordChildPrice(parentOperation, operation, m_router->price(operation));
            logOutcome(result, request, operation);
            completion(result);
        });
    if (m_executor->findRun(runId) != nullptr) {
        m_childCalls[runId].insert(*id);
    }
    return *id;
}

//! Unknown outcomes are logged at a higher level, as an operator may have to investigate them.
void NodeCore::logOutcome(const CallResult &result, const RequestId &request, const OperationName &operation)
{
    if (outcomeOf(result.code) == Outcome::Unknown) {
        m_log.info({"call ended with unknown outcome", result.code, request, operation.value()});
    } else {
        m_log.debug({"call ended", result.code, request, operation.value()});
    }
}

void NodeCore::cancelBackendCall(CallId call)
{
    m_router->cancel(call);
}

bool NodeCore::sendToInstance(const InstanceId &instance, const PeerMessage &message)
{
    if (instance != m_settings.instance) {
        return m_links->send(instance, message);
    }
    m_localCalls->send(message);
    return true;
}

void NodeCore::handlePeerMessage(PeerEvent event)
{
    if (auto *call = std::get_if<CallMessage>(&event.message); call != nullptr) {
        submitFromPeer(event, std::move(*call));
    } else if (const auto *response = std::get_if<ResponseMessage>(&event.message); response != nullptr) {
        m_router->handleResponse(event.instance, *response);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&event.message); cancel != nullptr) {
        m_executor->cancel(cancel->ticket);
    } else if (const auto *voided = std::get_if<VoidTicketMessage>(&event.message); voided != nullptr) {
        m_executor->voidTicket(voided->ticket);
    } else {
        m_sync->received(event);
    }
}

void NodeCore::submitFromPeer(const PeerEvent &event, CallMessage call)
{
    const ConnectionId connection = event.connection;
    m_links->adjustUnansweredCalls(connection, 1);
    m_executor->submit(std::move(call), event.queueingDelay, [this, connection](const ResponseMessage &response) {
        m_links->adjustUnansweredCalls(connection, -1);
        m_links->reply(connection, response);
    });
    updateIncarnation();
}

void NodeCore::runFinished(RunId run, const BackendResult &result)
{
    m_childCalls.erase(run);
    m_executor->completeRun(run, result);
}

void NodeCore::cancelRun(RunId run)
{
    m_backend.cancel(run);
    if (auto children = m_childCalls.extract(run); !children.empty()) {
        for (const CallId child : children.mapped()) {
            m_router->cancel(child);
        }
    }
}

void NodeCore::membershipChanged()
{
    const auto bundle = m_configuration.current();
    const auto list = m_membership.current();
    m_rates.publish(std::make_shared<const RateTable>(*bundle, *list));
    m_executor->setSlots(publishedSlots());
    updateDesiredPeers();
    m_links->broadcastStatus();
    const PublishedInstance *self = list->find(m_settings.instance);
    if (self != nullptr && self->leaving) {
        drain("published list");
    }
}

void NodeCore::updateDesiredPeers()
{
    LocalNode localNode{m_settings.instance, m_settings.dataCentre, m_settings.service, m_requestedServices};
    for (const ServiceName &service : m_configuration.current()->servicesCalledBy(m_settings.service)) {
        localNode.calledServices.insert(service);
    }
    m_links->setDesiredPeers(selectPeers(*m_membership.current(), localNode));
}

//! Publishes the executor's incarnation if it has changed.
void NodeCore::updateIncarnation()
{
    if (m_executor->incarnation() != m_incarnation) {
        m_incarnation = m_executor->incarnation();
        publishOwnState();
    }
}

void NodeCore::publishOwnState()
{
    m_links->setOwnCandidate({m_settings.instance, m_incarnation, m_settings.dataCentre, m_draining || !m_ready});
    m_links->broadcastStatus();
}

void NodeCore::updateReadiness()
{
    const bool hasDocuments = m_configuration.version().revision.value() != 0 && m_membership.version().revision.value() != 0;
    if (m_ready || !hasDocuments) {
        return;
    }
    const TimePoint now = m_clock();
    if (m_hasDocumentsSince == TimePoint()) {
        m_hasDocumentsSince = now;
    }
    if (areCalledServicesReachable() || now - m_hasDocumentsSince > maxWarmUpTime) {
        m_ready = true;
        m_log.info({"node is ready", ResultCode::Success, {}, {}});
        publishOwnState();
    }
}

bool NodeCore::areCalledServicesReachable()
{
    const auto services = m_configuration.current()->servicesCalledBy(m_settings.service);
    return std::all_of(services.begin(), services.end(), [this](const ServiceName &service) {
        const auto &candidates = m_links->candidates(service);
        return std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return !candidate.draining; });
    });
}

void NodeCore::ensureServicePeers(const ServiceName &service)
{
    if (service != m_settings.service && m_requestedServices.insert(service).second) {
        updateDesiredPeers();
    }
}

void NodeCore::drain(const std::string &initiator)
{
    if (m_draining.exchange(true)) {
        return;
    }
    m_log.info({"drain started", ResultCode::Leaving, {}, "initiated by " + initiator});
    m_executor->drain();
    publishOwnState();
}

bool NodeCore::isReady() const
{
    return m_ready;
}

bool NodeCore::isDrained() const
{
    return m_executor->isDraining() && m_executor->running() == 0 && m_router->outstanding() == 0
        && m_links->drainUnacknowledgedBy().empty();
}

void NodeCore::closeConnections()
{
    m_transport->shutdown();
}

HelloMessage NodeCore::hello() const
{
    HelloMessage hello;
    hello.instance = m_settings.instance;
    hello.incarnation = m_executor->incarnation();
    hello.service = m_settings.service;
    hello.dataCentre = m_settings.dataCentre;
    hello.slots = publishedSlots();
    return hello;
}

StatusMessage NodeCore::status() const
{
    StatusMessage status;
    status.draining = m_draining || !m_ready;
    status.incarnation = m_executor->incarnation();
    status.configurationRevision = m_configuration.version().revision;
    status.instancesRevision = m_membership.version().revision;
    return status;
}

int NodeCore::publishedSlots() const
{
    const PublishedInstance *self = m_membership.current()->find(m_settings.instance);
    return self != nullptr ? self->slots : initialSlots;
}

Clock NodeCore::clock() const
{
    return m_clock;
}

const NodeSettings &NodeCore::settings() const
{
    return m_settings;
}

const Executor &NodeCore::executor() const
{
    return *m_executor;
}

const std::shared_ptr<BodyMemory> &NodeCore::responseMemory() const
{
    return m_responseMemory;
}

const Router &NodeCore::router() const
{
    return *m_router;
}

const LinkController &NodeCore::links() const
{
    return *m_links;
}

const ConfigurationSync &NodeCore::sync() const
{
    return *m_sync;
}

const ConfigurationController &NodeCore::configuration() const
{
    return m_configuration;
}

const MembershipController &NodeCore::membership() const
{
    return m_membership;
}

const PeerTransport &NodeCore::transport() const
{
    return *m_transport;
}

Incarnation NodeCore::incarnation() const
{
    return m_incarnation;
}

} // namespace chervilpaddle
