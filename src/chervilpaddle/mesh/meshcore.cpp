#include <chervilpaddle/mesh/meshcore.h>

#include <chervilpaddle/contract/contract.h>
#include <chervilpaddle/controllers/peerselection.h>
#include <chervilpaddle/node/callresponse.h>
#include <chervilpaddle/node/peerwiring.h>
#include <chervilpaddle/transport/timers.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

namespace chervilpaddle {

namespace {

//! Slot count until the instance list names this node's backend server.
constexpr int initialSlots = 16;
constexpr Duration executorTickInterval = std::chrono::milliseconds(10);
constexpr Duration linkTickInterval = std::chrono::milliseconds(50);
constexpr Duration replicationTickInterval = std::chrono::milliseconds(100);
constexpr Duration directoryTickInterval = std::chrono::milliseconds(100);
//! Up to this many instances every node links to every other; above it each node links to a subset of peers.
constexpr std::size_t maxFullMeshInstances = 128;
constexpr int maxAdmissionPriority = 10;
//! Caller time-out of a request that carries no deadline.
constexpr Duration defaultCallerTimeout = std::chrono::seconds(30);
//! Records of finished calls only serve frames that are sent again over a new link, which happens within seconds.
constexpr std::size_t maxTicketRecords = 16384;
constexpr std::size_t maxTicketIssuers = 4096;
constexpr std::size_t maxTicketAnswerBytes = 2 * mebibyte;
constexpr Duration defaultLatencyObjective = std::chrono::seconds(1);
//! Upper bounds of the retry delay: the route's latency objective and the caller time-out, each over its divisor.
constexpr int retryObjectiveDivisor = 2;
constexpr int retryTimeoutDivisor = 3;
//! Lower bound of the retry delay as a fraction of its upper bound.
constexpr double minRetryDelayFraction = 0.3;
//! The clearing rank is published when it has changed by this step, and at this interval while it is above zero.
constexpr double clearingRankStep = 0.03;
constexpr Duration clearingRankInterval = std::chrono::milliseconds(500);
constexpr Duration clearingRankTickInterval = std::chrono::milliseconds(100);
constexpr std::size_t maxStoreResponseBytes = 4 * mebibyte;

HttpClient::Options storeOptions(const Endpoint &address)
{
    HttpClient::Options options;
    options.address = address;
    options.maxBodyBytes = maxStoreResponseBytes;
    options.maxIdleTime = maxStoreIdleTime;
    return options;
}

std::string toText(const ClientLimits &limits)
{
    const auto milliseconds = [](Duration duration) { return std::to_string(static_cast<std::int64_t>(toMilliseconds(duration))) + " ms"; };
    return "limits of clients: header " + std::to_string(limits.headerBytes) + " bytes in " + milliseconds(limits.headerTimeout) + ", body "
        + std::to_string(limits.bodyBytes) + " bytes, idle " + milliseconds(limits.idleTimeout);
}

//! Inverts the steps of the route, of which zero is the highest priority: admission prefers higher values.
Priority admissionPriority(const Route &route)
{
    return Priority(std::clamp(maxAdmissionPriority - route.stepsBelowTopPriority, minPriority, maxAdmissionPriority));
}

//! Retries at the root of a call tree come first: one of them saves the whole request, while a request saved deeper in the
//! tree may still fail at another call.
int urgencyOf(const CallContext &call)
{
    const int priority = static_cast<int>(call.rank);
    return call.depth == 0 ? maxAdmissionPriority + priority : priority;
}

} // namespace

MeshCore::MeshCore(boost::asio::io_context &context, const NodeSettings &settings, const PlatformProtocol &protocol, EventLog &log)
    : m_context(context)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_log(log)
    , m_clock(steadyClock())
    , m_random(entropySeed())
    , m_incarnation(randomIdentifier(m_random))
    , m_routes(std::make_shared<const RouteTable>())
    , m_trafficSplit(uniformFraction(m_random))
    , m_retryBudget(settings.retryBudget, m_clock)
    , m_responseMemory(std::make_shared<BodyMemory>(divideResources(settings.machine).responseBytes))
    , m_backend(context,
                settings.backend,
                protocol,
                m_clock,
                m_responseMemory,
                [this](RunId run, const BackendResult &result) { m_executor->completeRun(run, result); })
    , m_storeClient(context, storeOptions(settings.platform))
{
    makeControllers();
}

void MeshCore::makeControllers()
{
    m_transport = std::make_unique<PeerTransport>(m_context,
                                                  makeTransportHooks(m_clock, m_links, m_log),
                                                  m_responseMemory,
                                                  divideResources(m_settings.machine).unidentifiedPeerConnections);
    const TicketRegistry::Limits tickets{maxTicketRecords, maxTicketIssuers, maxTicketAnswerBytes};
    // Overload is handled by admission at the entry; prices along the call tree are switched off.
    PolicySwitches policy = m_settings.policy;
    policy.price = false;
    m_executor =
        std::make_unique<Executor>(Executor::Options{m_settings.instance, m_incarnation, initialSlots, policy, tickets}, executorHooks());
    m_executor->assumeOrphanedRuns();
    m_localCalls = std::make_unique<LocalCalls>(localCallsHooks());
    m_router = std::make_unique<Router>(Router::Options{m_settings.dataCentre, m_incarnation, policy, m_random()}, routerHooks());
    // Marked as draining until the instance list names this node's backend server, so that no calls are sent to it.
    const Candidate self{m_settings.instance, m_incarnation, m_settings.dataCentre, true, {}};
    PeerMessageHooks messageHooks{
        [this] { return hello(); }, [this] { return status(); }, [this](PeerEvent event) { handlePeerMessage(std::move(event)); }};
    m_links = std::make_unique<LinkController>(
        self, m_settings.service, makeLinkHooks(m_clock, *m_transport, *m_router, m_log, std::move(messageHooks)), m_random());
    m_replication =
        std::make_unique<StoreReplication>(StoreReplication::Options{{m_settings.instance, m_settings.dataCentre, m_settings.service, {}},
                                                                     m_protocol.configurationPrefix,
                                                                     m_protocol.instancesPrefix,
                                                                     m_random()},
                                           replicationHooks());
}

void MeshCore::onClientLimits(std::function<void(const ClientLimits &)> handler)
{
    m_clientLimitsHandler = std::move(handler);
}

std::error_code MeshCore::start()
{
    if (const std::error_code error = m_transport->listen(m_settings.peers); error) {
        return error;
    }
    m_replication->start();
    schedulePeriodically(m_context, executorTickInterval, [this] { m_executor->tick(); });
    schedulePeriodically(m_context, linkTickInterval, [this] { m_links->tick(); });
    schedulePeriodically(m_context, clearingRankTickInterval, [this] { publishClearingRank(); });
    schedulePeriodically(m_context, replicationTickInterval, [this] {
        m_replication->tick();
        requestNewerRoutes();
    });
    schedulePeriodically(m_context, directoryTickInterval, [this] {
        if (m_directory.expire(m_replication->instances().availableSince(), m_clock())) {
            applyInstances();
        }
    });
    return {};
}

StoreReplication::Hooks MeshCore::replicationHooks()
{
    StoreReplication::Hooks hooks;
    hooks.clock = m_clock;
    hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); };
    hooks.reader = m_protocol.storeReader(m_storeClient);
    hooks.send = [this](const InstanceId &instance, const PeerMessage &message) { m_links->sendOnAnyConnection(instance, message); };
    hooks.reply = [this](ConnectionId connection, const PeerMessage &message) { m_links->reply(connection, message); };
    hooks.sendStatus = [this](const InstanceId &instance) { m_links->sendStatus(instance); };
    hooks.configurationChanged = [this] { configurationChanged(); };
    hooks.instancesChanged = [this] { instancesChanged(); };
    hooks.isHeartbeat = [this](const StoreItem &previous, const StoreItem &next) { return isImmaterialChange(previous, next); };
    hooks.eraChanged = [this](const char *what, const StoreEraChange &change) { storeEraChanged(what, change); };
    hooks.availabilityChanged = [this](const char *what, bool isAvailable) {
        if (isAvailable) {
            m_log.info({"platform reachable", ResultCode::Success, {}, what});
        } else {
            m_log.warn({"platform unreachable", ResultCode::PlatformUnreachable, {}, what});
        }
    };
    hooks.requestTimedOut = [this](const char *what) { storeRequestTimedOut(what); };
    hooks.documentRejected = [this](const InstanceId &instance) {
        m_log.warn({"document of a peer ignored: it cannot be read", ResultCode::FrameMalformed, {}, instance.value()});
    };
    return hooks;
}

Executor::Hooks MeshCore::executorHooks()
{
    return {m_clock,
            [this](const Run &run) { m_backend.start(run); },
            [this](RunId run) { m_backend.cancel(run); },
            [this] { return m_admission.clearingRank(m_settings.service, m_clock()); },
            [this](const CallMessage &call) { return startRefusal(call); }};
}

LocalCalls::Hooks MeshCore::localCallsHooks()
{
    LocalCalls::Hooks hooks;
    hooks.clock = m_clock;
    hooks.post = [this](std::function<void()> action) { boost::asio::post(m_context, std::move(action)); };
    hooks.submit = [this](const CallMessage &call, Duration queueingDelay, Executor::Reply reply) {
        submit(call, queueingDelay, std::move(reply));
    };
    hooks.cancel = [this](const TicketId &ticket) { m_executor->cancel(ticket); };
    hooks.respond = [this](const ResponseMessage &response) { m_router->handleResponse(m_settings.instance, response); };
    return hooks;
}

Router::Hooks MeshCore::routerHooks()
{
    Router::Hooks hooks;
    hooks.clock = m_clock;
    hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); };
    hooks.candidates = [this](const ServiceName &service) -> const std::vector<Candidate> & { return m_links->candidates(service); };
    hooks.send = [this](const InstanceId &instance, const PeerMessage &message) { return sendToInstance(instance, message); };
    hooks.spendRetryBudget = [this](const CallContext &call) { return m_retryBudget.spend(serviceOf(call.operation), urgencyOf(call)); };
    return hooks;
}

void MeshCore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_counters.requests;
    const auto incoming = m_protocol.parseCall(exchange->mutableRequest(), m_settings.service);
    if (!incoming) {
        refuse(exchange, {}, ResultCode::Malformed, "request id missing or deadline invalid");
        return;
    }
    exchange->setRequestId(incoming->request);
    if (m_routes->revision().value() == 0) {
        refuse(exchange, incoming->request, ResultCode::NoConfiguration, {});
        return;
    }
    const Route *route = m_routes->match(incoming->host, incoming->head->target);
    if (route == nullptr) {
        refuse(exchange, incoming->request, ResultCode::UnknownOperation, incoming->host + incoming->head->target);
        return;
    }
    dispatch(exchange, *incoming, *route);
}

void MeshCore::handleClosedConnection(const ClosedConnection &closed)
{
    const auto reason = static_cast<std::size_t>(closed.reason);
    ++m_counters.closedConnections[reason];
    m_counters.unansweredRequests[reason] += leavesRequestUnanswered(closed) ? 1 : 0;
    logClosedConnection(m_log, closed);
}

void MeshCore::handleFailedHandler(const std::string &what)
{
    ++m_counters.failedHandlers;
    logFailedHandler(m_log, what);
}

void MeshCore::dispatch(const std::shared_ptr<HttpExchange> &exchange, const IncomingCall &incoming, const Route &route)
{
    const RouteTarget &target = m_trafficSplit.next(route);
    const Run *parentRun = incoming.parentRequest.isEmpty() ? nullptr : m_executor->findRun(incoming.parentRequest);
    const PendingRequest pending{exchange,
                                 incoming.request,
                                 &route,
                                 m_routes,
                                 target.operation,
                                 admissionPriority(route).value() + hashFraction(incoming.request.value()),
                                 m_clock(),
                                 incoming.callerTimeout.value_or(defaultCallerTimeout),
                                 parentRun != nullptr ? parentRun->id : RunId()};
    const auto isRetry = [this, &incoming, &route] {
        return incoming.callerTimeout && m_delayedRetries.isDelayedRetry(route.name, *incoming.callerTimeout, m_clock());
    };
    if (parentRun == nullptr && (refuseIfUnreachable(pending) || refuseIfOverloaded(pending, isRetry()))) {
        return;
    }
    OutboundCall outbound = makeOutboundCall(incoming, route, target, parentRun);
    const auto origin = parentRun != nullptr ? GracefulShutdown::CallOrigin::Run : GracefulShutdown::CallOrigin::Caller;
    const auto deadline = m_shutdown.admitCall(m_clock(), outbound.deadline, origin);
    if (!deadline) {
        completeRequest(pending, refusedResult(ResultCode::Leaving));
        return;
    }
    outbound.deadline = *deadline;
    m_retryBudget.recordRequest(target.service);
    if (outbound.context.branchMayHaveRun) {
        m_retryBudget.recordInheritedRetry(target.service);
    }
    outbound.payload.head = incoming.head;
    outbound.payload.body = std::make_shared<const std::string>(exchange->takeBody());
    // The call may end before its id is stored; cancelling it on disconnect then has no effect.
    const auto call = std::make_shared<CallId>();
    *call = m_router->call(std::move(outbound), [this, pending](const CallResult &result) { completeRequest(pending, result); });
    exchange->onDisconnect([this, call] {
        ++m_counters.callerDisconnects;
        m_router->cancel(*call);
    });
}

bool MeshCore::refuseIfOverloaded(const PendingRequest &pending, bool isRetry)
{
    const EntryAdmission::Request request{pending.operation, pending.rank, isRetry};
    const auto service = m_admission.overloadedService(request, m_clock());
    if (!service) {
        return false;
    }
    ++m_counters.overloaded;
    m_log.info({"request refused at the entry",
                ResultCode::Overloaded,
                pending.request,
                "route " + pending.route->name.value() + ", service " + service->value() + " is overloaded, clearing rank "
                    + std::to_string(m_admission.clearingRank(*service, m_clock())) + ", rank of the request "
                    + std::to_string(pending.rank) + (isRetry ? ", retry after refusal" : "")});
    respond(pending, refusedResult(ResultCode::Overloaded));
    return true;
}

bool MeshCore::refuseIfUnreachable(const PendingRequest &pending)
{
    const auto isReachable = [this](const ServiceName &service) {
        const auto &candidates = m_links->candidates(service);
        return std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return !candidate.draining; });
    };
    const auto service = m_admission.unreachableService(pending.operation, isReachable, m_clock());
    if (!service) {
        return false;
    }
    m_log.info({"request refused at the entry",
                ResultCode::NoInstance,
                pending.request,
                "route " + pending.route->name.value() + ", no reachable instance of service " + service->value() + ", instance list "
                    + toText(m_replication->instances().lastChange())});
    respond(pending, refusedResult(ResultCode::NoInstance));
    return true;
}

OutboundCall
MeshCore::makeOutboundCall(const IncomingCall &incoming, const Route &route, const RouteTarget &target, const Run *parentRun) const
{
    OutboundCall call;
    call.context.request = incoming.request;
    call.context.operation = target.operation;
    call.context.idempotent = route.idempotent;
    call.context.rank = admissionPriority(route).value() + hashFraction(incoming.request.value());
    call.deadline = m_clock() + std::min(incoming.callerTimeout.value_or(defaultCallerTimeout), route.timeout);
    if (parentRun != nullptr) {
        // All calls of a tree share the rank of the request. Deeper calls go first, as more work has been spent on them.
        call.context.rank = parentRun->call.context.rank;
        call.context.depth = parentRun->call.context.depth + 1;
        call.context.branchMayHaveRun = parentRun->call.context.branchMayHaveRun;
        call.deadline = std::min(call.deadline, parentRun->deadline);
    }
    call.allowance = std::make_shared<RetryAllowance>(std::max(0, route.maxAttempts - 1));
    call.freeReroutes = true;
    call.delegatesAllowance = false;
    return call;
}

void MeshCore::completeRequest(const PendingRequest &pending, const CallResult &result)
{
    if (pending.parentRun != RunId()) {
        m_executor->addCosts(pending.parentRun, result.costs);
    } else if (result.code == ResultCode::Done) {
        m_admission.recordCosts(pending.operation, admissionPriority(*pending.route).value(), result.costs);
    }
    if (result.code != ResultCode::Done) {
        logOutcome(pending, result);
    }
    respond(pending, result);
}

void MeshCore::respond(const PendingRequest &pending, const CallResult &result)
{
    const Duration latency = m_clock() - pending.arrived;
    switch (outcomeOf(result.code)) {
    case Outcome::Done:
        ++m_counters.served;
        m_counters.servedLatency.record(latency);
        break;
    case Outcome::NotRun:
        ++m_counters.refused;
        m_counters.refusedLatency.record(latency);
        break;
    case Outcome::Unknown:
        ++m_counters.failed;
        m_counters.failedLatency.record(latency);
        break;
    }
    pending.exchange->respond(m_protocol.callerResponse(pending.request, result, retryAfter(pending, result)));
}

void MeshCore::logOutcome(const PendingRequest &pending, const CallResult &result)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock() - pending.arrived);
    const std::string last = result.attempts == 0 ? std::string() : ", last executor " + result.executor.value();
    m_log.info({outcomeOf(result.code) == Outcome::NotRun ? "request refused" : "request failed",
                result.code,
                pending.request,
                "route " + pending.route->name.value() + ", operation " + pending.operation.value() + ", after "
                    + std::to_string(elapsed.count()) + " ms and " + std::to_string(result.attempts) + " attempts" + last
                    + ", configuration version " + std::to_string(pending.table->revision().value()) + ", instance list "
                    + toText(m_replication->instances().lastChange())});
}

//! The retry delay is random, so that refused callers do not return all at once. It is at most half of the route's latency
//! objective, so that the response can still be worth its full value, and at most a third of the caller time-out, which is as
//! long as callers wait before they retry.
std::optional<Duration> MeshCore::retryAfter(const PendingRequest &pending, const CallResult &result)
{
    if (outcomeOf(result.code) != Outcome::NotRun) {
        return std::nullopt;
    }
    const Duration objective = pending.route != nullptr ? pending.route->targetLatency : defaultLatencyObjective;
    Duration longest = objective / retryObjectiveDivisor;
    if (pending.callerTimeout > Duration::zero()) {
        longest = std::min(longest, pending.callerTimeout / retryTimeoutDivisor);
    }
    return fromSeconds(toSeconds(longest) * (minRetryDelayFraction + (1 - minRetryDelayFraction) * uniformFraction(m_random)));
}

void MeshCore::refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &request, ResultCode code, const std::string &detail)
{
    ++m_counters.refused;
    m_log.info({"request refused", code, request, detail});
    const CallResult result = refusedResult(code);
    exchange->respond(m_protocol.callerResponse(request, result, retryAfter({}, result)));
}

bool MeshCore::sendToInstance(const InstanceId &instance, const PeerMessage &message)
{
    if (instance != m_settings.instance) {
        return m_links->send(instance, message);
    }
    m_localCalls->send(message);
    return true;
}

void MeshCore::handlePeerMessage(PeerEvent event)
{
    if (auto *call = std::get_if<CallMessage>(&event.message); call != nullptr) {
        const ConnectionId connection = event.connection;
        m_links->adjustUnansweredCalls(connection, 1);
        submit(std::move(*call), event.queueingDelay, [this, connection](const ResponseMessage &response) {
            m_links->adjustUnansweredCalls(connection, -1);
            m_links->reply(connection, response);
        });
    } else if (const auto *response = std::get_if<ResponseMessage>(&event.message); response != nullptr) {
        m_router->handleResponse(event.instance, *response);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&event.message); cancel != nullptr) {
        m_executor->cancel(cancel->ticket);
    } else if (const auto *voided = std::get_if<VoidTicketMessage>(&event.message); voided != nullptr) {
        m_executor->voidTicket(voided->ticket);
    } else if (const auto *wantsRoutes = std::get_if<RoutesRequest>(&event.message); wantsRoutes != nullptr) {
        serveRoutes(event.connection, *wantsRoutes);
    } else if (const auto *routes = std::get_if<RoutesMessage>(&event.message); routes != nullptr) {
        handleRoutes(event.instance, *routes);
    } else {
        if (const auto *status = std::get_if<StatusMessage>(&event.message); status != nullptr) {
            setPeerClearingRank(event.instance, status->clearingRank);
            m_configurationFetch.recordVersion(event.instance, status->routesVersion, m_clock());
        }
        m_replication->received(event);
    }
}

//! Calls for a backend server that is leaving, has left or is not the one beside this node do not start, nor do calls of a peer
//! that are not HTTP requests.
std::optional<ResultCode> MeshCore::startRefusal(const CallMessage &call) const
{
    if (!call.payload.head) {
        return ResultCode::Malformed;
    }
    const bool isOtherBackend = m_ownInstance && m_ownInstance->backend != call.context.backend;
    const bool isLeaving = m_ownInstance && m_ownInstance->leaving;
    const bool isRefused = isOtherBackend || isLeaving || m_directory.hasLeft(call.context.backend);
    return isRefused ? std::optional<ResultCode>(ResultCode::Leaving) : std::nullopt;
}

void MeshCore::submit(CallMessage call, Duration queueingDelay, Executor::Reply reply)
{
    m_executor->submit(std::move(call), queueingDelay, std::move(reply));
    if (m_executor->incarnation() != m_incarnation) {
        m_incarnation = m_executor->incarnation();
        updateOwnCandidate();
    }
}

void MeshCore::publishClearingRank()
{
    const Rank rank = m_executor->clearingRank();
    const TimePoint now = m_clock();
    m_admission.recordClearingRank(m_settings.service, m_settings.instance, rank, now);
    const bool hasChanged = std::abs(rank - m_publishedClearingRank) >= clearingRankStep;
    const bool isDue = rank > 0 && now - m_clearingRankPublishedAt >= clearingRankInterval;
    if (hasChanged || isDue) {
        m_log.info({"clearing rank published",
                    ResultCode::Success,
                    {},
                    std::to_string(rank) + ", previously " + std::to_string(m_publishedClearingRank) + ", running "
                        + std::to_string(m_executor->running()) + " of " + std::to_string(m_executor->slotLimit()) + ", queued "
                        + std::to_string(m_executor->queued())});
        m_publishedClearingRank = rank;
        m_clearingRankPublishedAt = now;
        m_links->sendStatusToInstances();
    }
}

void MeshCore::setPeerClearingRank(const InstanceId &instance, Rank rank)
{
    const auto known = std::find_if(m_instances.begin(), m_instances.end(), [&instance](const auto &i) { return i.instance == instance; });
    if (known != m_instances.end()) {
        m_admission.recordClearingRank(known->service, instance, rank, m_clock());
    }
}

void MeshCore::storeEraChanged(const char *what, const StoreEraChange &change)
{
    ++m_counters.storeEraChanges;
    m_log.warn({"store restored from a copy",
                ResultCode::Success,
                {},
                std::string(what) + ", from " + toText(change.held) + " to " + toText(change.read) + ", " + std::to_string(change.kept)
                    + " items kept, " + std::to_string(change.changed) + " new or changed, " + std::to_string(change.removed)
                    + " missing"});
}

void MeshCore::storeRequestTimedOut(const char *what)
{
    ++m_counters.storeTimeouts;
    m_log.warn({"platform did not answer in time", ResultCode::PlatformUnreachable, {}, what});
}

void MeshCore::configurationChanged()
{
    for (const auto &[key, item] : m_replication->configuration().items()) {
        if (StorePosition &decoded = m_decodedConfigurations[key]; decoded < item.position()) {
            decoded = item.position();
            applyConfiguration(item, "store " + toText(item.position()));
        }
    }
}

//! Puts a configuration in force if it is valid and newer. `source` says where it comes from.
bool MeshCore::applyConfiguration(const StoreItem &item, const std::string &source)
{
    std::string reason;
    auto table = m_protocol.decodeRoutes(item, reason);
    if (!table) {
        m_log.warn({"configuration rejected", ResultCode::PlatformMalformed, {}, item.key + ", " + source + ": " + reason});
        return false;
    }
    // Versions never go back, whatever order they arrive in.
    if (!(m_routes->revision() < table->revision())) {
        return false;
    }
    m_routes = std::make_shared<const RouteTable>(std::move(*table));
    m_log.info({"configuration applied",
                ResultCode::Success,
                {},
                "version " + std::to_string(m_routes->revision().value()) + ", " + std::to_string(m_routes->routes().size()) + " routes, "
                    + source + ", " + toText(m_routes->limits())});
    if (m_clientLimitsHandler) {
        m_clientLimitsHandler(m_routes->limits());
    }
    if (m_replication->instances().hasContent()) {
        instancesChanged();
    }
    return true;
}

//! Whether an entry only counts on, or names no instance before and after the change.
bool MeshCore::isImmaterialChange(const StoreItem &previous, const StoreItem &next) const
{
    std::string ignored;
    const auto isInvalid = [&](const StoreItem &item) { return !m_protocol.decodeInstance(item, ignored); };
    return (m_protocol.isHeartbeat(previous, next) && !awaitsWrite(previous.key)) || (isInvalid(previous) && isInvalid(next));
}

void MeshCore::requestNewerRoutes()
{
    if (const auto peer = m_configurationFetch.nextPeer(m_routes->revision(), m_clock()); peer) {
        m_links->sendOnAnyConnection(*peer, RoutesRequest{m_routes->revision()});
    }
}

void MeshCore::serveRoutes(ConnectionId connection, const RoutesRequest &request)
{
    if (request.heldVersion < m_routes->revision()) {
        m_links->reply(connection, RoutesMessage{m_routes->document()});
    }
}

void MeshCore::handleRoutes(const InstanceId &peer, const RoutesMessage &message)
{
    const StoreItem item{m_protocol.configurationPrefix, message.document, {}};
    const bool isApplied = applyConfiguration(item, "taken from peer " + peer.value());
    m_configurationFetch.answered(peer, isApplied, m_clock());
}

void MeshCore::instancesChanged()
{
    const auto &items = m_replication->instances().items();
    std::vector<InstanceDirectory::Entry> entries;
    for (const auto &[key, item] : items) {
        if (const auto &entry = decodeEntry(key, item); entry) {
            entries.push_back(*entry);
            entries.back().writtenAt = item.position();
        }
    }
    for (auto decoded = m_decodedEntries.begin(); decoded != m_decodedEntries.end();) {
        decoded = items.count(decoded->first) == 0 ? m_decodedEntries.erase(decoded) : std::next(decoded);
    }
    removeUnknownServices(entries);
    const PrefixMirror &mirror = m_replication->instances();
    if (mirror.synced().era != std::exchange(m_instancesEra, mirror.synced().era)) {
        m_directory.storeRestored(m_clock());
    }
    m_directory.update(entries, mirror.availableSince(), m_clock());
    applyInstances();
}

//! Whether the next write of an instance entry is to be reported even if it is a heartbeat.
bool MeshCore::awaitsWrite(const std::string &key) const
{
    const auto decoded = m_decodedEntries.find(key);
    return decoded != m_decodedEntries.end() && decoded->second.entry && m_directory.awaitsWrite(decoded->second.entry->instance.backend);
}

//! Removes the entries of services that the configuration does not name, where an entry of a service that it names has the same
//! instance: the one that started last replaces the others.
void MeshCore::removeUnknownServices(std::vector<InstanceDirectory::Entry> &entries) const
{
    std::set<ServiceName> known = {m_settings.service};
    for (const ServiceName &service : m_routes->services()) {
        known.insert(service);
    }
    std::set<InstanceId> instances;
    for (const InstanceDirectory::Entry &entry : entries) {
        if (known.count(entry.instance.service) != 0) {
            instances.insert(entry.instance.instance);
        }
    }
    const auto isReplaced = [&](const InstanceDirectory::Entry &entry) {
        return known.count(entry.instance.service) == 0 && instances.count(entry.instance.instance) != 0;
    };
    entries.erase(std::remove_if(entries.begin(), entries.end(), isReplaced), entries.end());
}

const std::optional<InstanceDirectory::Entry> &MeshCore::decodeEntry(const std::string &key, const StoreItem &item)
{
    DecodedEntry &decoded = m_decodedEntries[key];
    if (decoded.position < item.position()) {
        std::string reason;
        decoded.position = item.position();
        decoded.entry = m_protocol.decodeInstance(item, reason);
        if (decoded.entry) {
            reason.clear();
            decoded.entry->instance.peerAddress = {decoded.entry->instance.instance.value(), m_settings.peers.port};
        } else if (reason != decoded.reason) {
            reportInvalidEntry(key, reason);
        }
        decoded.reason = std::move(reason);
    }
    return decoded.entry;
}

void MeshCore::reportInvalidEntry(const std::string &key, const std::string &reason)
{
    ++m_counters.invalidInstanceEntries;
    m_log.warn({"instance entry ignored", ResultCode::PlatformMalformed, {}, key + ": " + reason});
}

void MeshCore::applyInstances()
{
    m_instances = m_directory.instances();
    m_retryBudget.setNodeCount(m_instances.size());
    std::set<InstanceId> instanceIds;
    for (const PublishedInstance &instance : m_instances) {
        instanceIds.insert(instance.instance);
        m_router->setBackend(instance.instance, instance.backend);
    }
    m_admission.retainInstances(instanceIds);
    const auto own =
        std::find_if(m_instances.begin(), m_instances.end(), [this](const auto &i) { return i.instance == m_settings.instance; });
    const std::optional<PublishedInstance> previous = m_ownInstance;
    m_ownInstance = own == m_instances.end() ? std::optional<PublishedInstance>() : *own;
    if (m_ownInstance) {
        m_executor->setSlots(m_ownInstance->slots);
        if (!previous || previous->backend != m_ownInstance->backend) {
            m_log.info({"instance list names this node's backend server", ResultCode::Success, {}, m_ownInstance->backend.value()});
        }
    }
    InstanceList list;
    list.instances = m_instances;
    m_replication->setInstances(list);
    std::vector<PublishedInstance> desiredPeers;
    if (m_instances.size() <= maxFullMeshInstances) {
        desiredPeers = m_instances;
    } else {
        LocalNode localNode{m_settings.instance, m_settings.dataCentre, m_settings.service, {}};
        for (const ServiceName &service : m_routes->services()) {
            localNode.calledServices.insert(service);
        }
        desiredPeers = selectPeers(list, localNode);
    }
    m_links->setDesiredPeers(desiredPeers);
    updateOwnCandidate();
    std::size_t leaving = 0;
    for (const PublishedInstance &instance : m_instances) {
        leaving += instance.leaving ? 1 : 0;
    }
    m_log.info({"instance list applied",
                ResultCode::Success,
                {},
                toText(m_replication->instances().lastChange()) + ", " + std::to_string(m_instances.size()) + " instances, "
                    + std::to_string(leaving) + " leaving, " + std::to_string(m_directory.retainedCount()) + " missing but retained, "
                    + std::to_string(m_directory.unconfirmedCount()) + " unconfirmed"});
}

void MeshCore::updateOwnCandidate()
{
    const bool takesWork =
        m_ownInstance && m_ownInstance->service == m_settings.service && !m_ownInstance->leaving && !m_shutdown.hasStarted();
    const BackendId backend = m_ownInstance ? m_ownInstance->backend : BackendId();
    m_links->setOwnCandidate({m_settings.instance, m_incarnation, m_settings.dataCentre, !takesWork, backend});
}

bool MeshCore::isReady() const
{
    return !m_shutdown.hasStarted() && m_routes->revision().value() != 0 && m_replication->instances().hasContent();
}

void MeshCore::beginShutdown()
{
    m_shutdown.start(m_clock(), m_settings.shutdownGracePeriod);
    m_executor->drain();
    updateOwnCandidate();
    m_links->broadcastStatus();
}

bool MeshCore::isShuttingDown() const
{
    return m_shutdown.hasStarted();
}

bool MeshCore::isShutdownComplete(bool isIdle) const
{
    return m_shutdown.isComplete(m_clock(), isIdle);
}

bool MeshCore::isIdle() const
{
    return m_executor->running() == 0 && m_router->outstanding() == 0;
}

void MeshCore::beginClosing()
{
    m_shutdown.beginClosing();
    m_router->abandonCalls(ResultCode::NodeStopped);
    m_transport->shutdown();
}

bool MeshCore::isExitDue() const
{
    return m_clock() >= m_shutdown.latestExit();
}

HelloMessage MeshCore::hello() const
{
    HelloMessage hello;
    hello.instance = m_settings.instance;
    hello.incarnation = m_executor->incarnation();
    hello.service = m_settings.service;
    hello.dataCentre = m_settings.dataCentre;
    hello.slots = m_ownInstance ? m_ownInstance->slots : initialSlots;
    return hello;
}

StatusMessage MeshCore::status() const
{
    StatusMessage status;
    status.draining = m_shutdown.hasStarted();
    status.incarnation = m_executor->incarnation();
    const StorePosition configuration = m_replication->configuration().lastChange();
    const StorePosition instances = m_replication->instances().lastChange();
    status.configurationRevision = configuration.revision;
    status.configurationEra = configuration.era;
    status.instancesRevision = instances.revision;
    status.instancesEra = instances.era;
    status.clearingRank = m_executor->clearingRank();
    status.storeAvailableFor = m_replication->storeAvailableFor();
    status.routesVersion = m_routes->revision();
    return status;
}

const MeshCounters &MeshCore::counters() const
{
    return m_counters;
}

const Executor &MeshCore::executor() const
{
    return *m_executor;
}

const Router &MeshCore::router() const
{
    return *m_router;
}

const LinkController &MeshCore::links() const
{
    return *m_links;
}

const PeerTransport &MeshCore::transport() const
{
    return *m_transport;
}

const RouteTable &MeshCore::routes() const
{
    return *m_routes;
}

const std::shared_ptr<BodyMemory> &MeshCore::responseMemory() const
{
    return m_responseMemory;
}

const StoreReplication &MeshCore::replication() const
{
    return *m_replication;
}

} // namespace chervilpaddle
