#include <chervilpaddle/mesh/meshcore.h>

#include <chervilpaddle/contract/contract.h>
#include <chervilpaddle/controllers/peerselection.h>
#include <chervilpaddle/node/callresponse.h>
#include <chervilpaddle/node/peerwiring.h>
#include <chervilpaddle/transport/timers.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>

namespace chervilpaddle {

namespace {

//! Slots assumed while the platform's list has not said.
constexpr int slotsBeforeList = 16;
constexpr Duration executorTick = std::chrono::milliseconds(10);
constexpr Duration linkTick = std::chrono::milliseconds(50);
constexpr Duration directoryTick = std::chrono::milliseconds(100);
//! Up to this many instances every node keeps a link to every other; more are divided into subsets.
constexpr std::size_t largestFullMesh = 128;
constexpr int highestWorth = 10;
//! The longest time given to a request whose caller names none.
constexpr Duration defaultPatience = std::chrono::seconds(30);
//! Records of finished calls serve only frames that a new link repeats, which come within seconds.
constexpr std::size_t mostTicketRecords = 16384;
constexpr std::size_t mostTicketMinters = 4096;
constexpr std::size_t mostTicketAnswerBytes = 2 * mebibyte;
//! What a fresh request may have lost of its time on the way.
constexpr Duration patienceSlack = std::chrono::milliseconds(60);
constexpr Duration defaultObjective = std::chrono::seconds(1);
//! Callers told to come back do so within this part of their objective, and of the time that they have left.
constexpr int returnDivisor = 2;
constexpr int longestWaitDivisor = 3;
constexpr double earliestReturn = 0.3;
//! The clearing rank is told to all when it has moved by this much, and as long as there is one, this often.
constexpr double clearingStep = 0.03;
constexpr Duration clearingInterval = std::chrono::milliseconds(500);
constexpr Duration clearingTick = std::chrono::milliseconds(100);
constexpr std::size_t largestStoreAnswer = 4 * mebibyte;

HttpClient::Options storeOptions(const Endpoint &address)
{
    HttpClient::Options options;
    options.address = address;
    options.largestBody = largestStoreAnswer;
    return options;
}

Worth worthOf(const Route &route)
{
    return Worth(std::clamp(highestWorth - route.priority, minimumWorth, highestWorth));
}

//! The repeat of a caller's own call rescues a whole request; below it, other calls of the tree may fail as well.
int urgencyOf(const CallContext &call)
{
    const int worth = static_cast<int>(call.rank);
    return call.depth == 0 ? highestWorth + worth : worth;
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
    , m_split(uniformFraction(m_random))
    , m_repeats(settings.repeats, m_clock)
    , m_backend(context,
                settings.backend,
                protocol,
                m_clock,
                [this](RunId run, const BackendResult &result) { m_executor->finished(run, result); })
    , m_storeClient(context, storeOptions(settings.platform))
{
    makeControllers();
}

void MeshCore::makeControllers()
{
    m_transport = std::make_unique<PeerTransport>(m_context, transportHooksFor(m_clock, m_links, m_log));
    const TicketRegistry::Limits tickets{mostTicketRecords, mostTicketMinters, mostTicketAnswerBytes};
    // Work is refused by pressure at the entry, not by a price on the way.
    PolicySwitches policy = m_settings.policy;
    policy.price = false;
    m_executor = std::make_unique<Executor>(Executor::Options{m_settings.instance, m_incarnation, slotsBeforeList, policy, tickets},
                                            executorHooks());
    m_executor->beginCautiously();
    m_router = std::make_unique<Router>(Router::Options{m_settings.dataCentre, m_incarnation, policy, m_random()}, routerHooks());
    // Until the platform's list names the backend server beside this node, nothing is sent to it.
    const Candidate self{m_settings.instance, m_incarnation, m_settings.dataCentre, true, {}};
    PeerConversation conversation{
        [this] { return hello(); }, [this] { return status(); }, [this](const PeerEvent &event) { receivedFromPeer(event); }};
    m_links = std::make_unique<LinkController>(
        self, m_settings.service, linkHooksFor(m_clock, *m_transport, *m_router, m_log, std::move(conversation)), m_random());
    m_configurationMirror = std::make_unique<PrefixMirror>(
        m_protocol.configurationPrefix, mirrorHooks("configuration", [this] { configurationChanged(); }), m_random());
    m_instancesMirror =
        std::make_unique<PrefixMirror>(m_protocol.instancesPrefix, mirrorHooks("instances", [this] { instancesChanged(); }), m_random());
}

std::error_code MeshCore::start()
{
    if (const std::error_code error = m_transport->listen(m_settings.peers); error) {
        return error;
    }
    m_configurationMirror->start();
    m_instancesMirror->start();
    repeatOn(m_context, executorTick, [this] { m_executor->tick(); });
    repeatOn(m_context, linkTick, [this] { m_links->tick(); });
    repeatOn(m_context, clearingTick, [this] { publishClearing(); });
    repeatOn(m_context, directoryTick, [this] {
        if (m_directory.expire(m_instancesMirror->answeringSince(), m_clock())) {
            applyInstances();
        }
    });
    return {};
}

PrefixMirror::Hooks MeshCore::mirrorHooks(const char *what, std::function<void()> changed)
{
    PrefixMirror::Hooks hooks;
    hooks.clock = m_clock;
    hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); };
    hooks.reader = m_protocol.storeReader(m_storeClient);
    hooks.changed = std::move(changed);
    hooks.availability = [this, what](bool isAnswering) {
        if (isAnswering) {
            m_log.info({"the platform answers", ResultCode::Success, {}, what});
        } else {
            m_log.warn({"the platform does not answer", ResultCode::PlatformUnreachable, {}, what});
        }
    };
    return hooks;
}

Executor::Hooks MeshCore::executorHooks()
{
    return {m_clock,
            [this](const Run &run) { m_backend.start(run); },
            [this](RunId run) { m_backend.cancel(run); },
            [this] { return m_admission.clearing(m_settings.service, m_clock()); }};
}

Router::Hooks MeshCore::routerHooks()
{
    Router::Hooks hooks;
    hooks.clock = m_clock;
    hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(m_context, delay, std::move(action)); };
    hooks.candidates = [this](const ServiceName &service) -> const std::vector<Candidate> & { return m_links->candidates(service); };
    hooks.send = [this](const InstanceId &instance, const PeerMessage &message) { return sendToInstance(instance, message); };
    hooks.payRepeat = [this](const CallContext &call) { return m_repeats.spend(serviceOf(call.operation), urgencyOf(call)); };
    return hooks;
}

void MeshCore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_counters.requests;
    const auto incoming = m_protocol.parseCall(exchange->mutableRequest(), m_settings.service);
    if (!incoming) {
        refuse(exchange, {}, ResultCode::Malformed, "the request has no id or an unreadable deadline");
        return;
    }
    if (m_routes->revision().value() == 0) {
        refuse(exchange, incoming->request, ResultCode::NoConfiguration, {});
        return;
    }
    const Route *route = m_routes->match(incoming->host, incoming->head->target);
    if (route == nullptr) {
        refuse(exchange, incoming->request, ResultCode::UnknownOperation, incoming->host + incoming->head->target);
        return;
    }
    enter(exchange, *incoming, *route);
}

void MeshCore::enter(const std::shared_ptr<HttpExchange> &exchange, const IncomingCall &incoming, const Route &route)
{
    const RouteTarget &target = m_split.next(route);
    const Run *parent = incoming.parent.isEmpty() ? nullptr : m_executor->findRun(incoming.parent);
    const Entered entered{exchange,
                          incoming.request,
                          &route,
                          m_routes,
                          target.operation,
                          worthOf(route).value() + hashFraction(incoming.request.value()),
                          m_clock(),
                          incoming.callerTimeout.value_or(defaultPatience),
                          parent != nullptr ? parent->id : RunId()};
    if (parent == nullptr && (isRefusedAsUnreachable(entered) || isRefusedAtEntry(entered, hasReturned(incoming, route)))) {
        return;
    }
    OutboundCall outbound = outboundFor(incoming, route, target, parent);
    if (!m_stop.admits(m_clock(), outbound.deadline)) {
        ended(entered, refusal(ResultCode::Leaving));
        return;
    }
    m_repeats.recordRequest(target.service);
    if (outbound.context.branchRepeated) {
        m_repeats.recordInherited(target.service);
    }
    outbound.payload.head = incoming.head;
    outbound.payload.body = std::make_shared<const std::string>(exchange->takeBody());
    // A call may end before its number is known here; the caller's leaving then finds nothing to cancel.
    const auto call = std::make_shared<CallId>();
    *call = m_router->call(std::move(outbound), [this, entered](const CallResult &result) { ended(entered, result); });
    exchange->onDisconnect([this, call, request = incoming.request] {
        ++m_counters.left;
        m_log.debug({"the caller has gone", ResultCode::CancelledWhileRunning, request, {}});
        m_router->cancel(*call);
    });
}

//! A caller that was told when to come back has less time left than the others of its route.
bool MeshCore::hasReturned(const IncomingCall &incoming, const Route &route)
{
    if (!incoming.callerTimeout) {
        return false;
    }
    Duration &full = m_fullPatience[route.name];
    full = std::max(full, *incoming.callerTimeout);
    return *incoming.callerTimeout < full - patienceSlack;
}

bool MeshCore::isRefusedAtEntry(const Entered &entered, bool hasReturned)
{
    const EntryAdmission::Request request{entered.operation, entered.rank, hasReturned};
    const auto service = m_admission.refusedBy(request, m_clock());
    if (!service) {
        return false;
    }
    ++m_counters.overloaded;
    m_log.info({"request refused at the entry",
                ResultCode::Overloaded,
                entered.request,
                "route " + entered.route->name.value() + ", no room at " + service->value() + ", clearing rank "
                    + std::to_string(m_admission.clearing(*service, m_clock())) + ", request's rank " + std::to_string(entered.rank)
                    + (hasReturned ? ", returned" : "")});
    answer(entered, refusal(ResultCode::Overloaded));
    return true;
}

bool MeshCore::isRefusedAsUnreachable(const Entered &entered)
{
    const auto isReachable = [this](const ServiceName &service) {
        const auto &candidates = m_links->candidates(service);
        return std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return !candidate.draining; });
    };
    const auto service = m_admission.unreachable(entered.operation, isReachable);
    if (!service) {
        return false;
    }
    m_log.info({"request refused at the entry",
                ResultCode::NoInstance,
                entered.request,
                "route " + entered.route->name.value() + ", no instance of " + service->value() + " can be reached, instances "
                    + std::to_string(m_instancesMirror->lastChange().value())});
    answer(entered, refusal(ResultCode::NoInstance));
    return true;
}

OutboundCall MeshCore::outboundFor(const IncomingCall &incoming, const Route &route, const RouteTarget &target, const Run *parent) const
{
    OutboundCall call;
    call.context.request = incoming.request;
    call.context.operation = target.operation;
    call.context.idempotent = route.idempotent;
    call.context.rank = worthOf(route).value() + hashFraction(incoming.request.value());
    call.deadline = m_clock() + std::min(incoming.callerTimeout.value_or(defaultPatience), route.timeout);
    if (parent != nullptr) {
        // A request ranks the same in all queues of its tree; the deeper calls go first, as more has been spent on them.
        call.context.rank = parent->call.context.rank;
        call.context.depth = parent->call.context.depth + 1;
        call.context.branchRepeated = parent->call.context.branchRepeated;
        call.deadline = std::min(call.deadline, parent->deadline);
    }
    call.allowance = std::make_shared<Allowance>(std::max(0, route.attempts - 1));
    call.freeMoves = true;
    call.lendsAllowance = false;
    return call;
}

void MeshCore::ended(const Entered &entered, const CallResult &result)
{
    if (entered.parent != RunId()) {
        m_executor->addCosts(entered.parent, result.costs);
    } else if (result.code == ResultCode::Done) {
        m_admission.recordCosts(entered.operation, worthOf(*entered.route).value(), result.costs);
    }
    if (result.code != ResultCode::Done) {
        logOutcome(entered, result);
    }
    answer(entered, result);
}

void MeshCore::answer(const Entered &entered, const CallResult &result)
{
    const Duration latency = m_clock() - entered.arrived;
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
    entered.exchange->respond(m_protocol.callerResponse(entered.request, result, comeBackAfter(entered, result)));
}

void MeshCore::logOutcome(const Entered &entered, const CallResult &result)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock() - entered.arrived);
    const std::string last = result.attempts == 0 ? std::string() : ", the last at " + result.executor.value();
    m_log.info({outcomeOf(result.code) == Outcome::NotRun ? "request refused" : "request failed",
                result.code,
                entered.request,
                "route " + entered.route->name.value() + ", operation " + entered.operation.value() + ", after "
                    + std::to_string(elapsed.count()) + " ms and " + std::to_string(result.attempts) + " attempts" + last
                    + ", configuration " + std::to_string(entered.table->revision().value()) + ", instances "
                    + std::to_string(m_instancesMirror->lastChange().value())});
}

//! Spread over the time in which an answer is still worth its whole, within the third of its time that a caller waits.
std::optional<Duration> MeshCore::comeBackAfter(const Entered &entered, const CallResult &result)
{
    if (outcomeOf(result.code) != Outcome::NotRun) {
        return std::nullopt;
    }
    const Duration objective = entered.route != nullptr ? entered.route->objective : defaultObjective;
    Duration longest = objective / returnDivisor;
    if (entered.patience > Duration::zero()) {
        longest = std::min(longest, entered.patience / longestWaitDivisor);
    }
    return fromSeconds(toSeconds(longest) * (earliestReturn + (1 - earliestReturn) * uniformFraction(m_random)));
}

void MeshCore::refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &request, ResultCode code, const std::string &detail)
{
    ++m_counters.refused;
    m_log.info({"request refused", code, request, detail});
    const CallResult result = refusal(code);
    exchange->respond(m_protocol.callerResponse(request, result, comeBackAfter({}, result)));
}

bool MeshCore::sendToInstance(const InstanceId &instance, const PeerMessage &message)
{
    if (instance != m_settings.instance) {
        return m_links->send(instance, message);
    }
    boost::asio::post(m_context, [this, message] { submitLocally(message); });
    return true;
}

void MeshCore::submitLocally(const PeerMessage &message)
{
    if (const auto *call = std::get_if<CallMessage>(&message); call != nullptr) {
        submit(*call, Duration::zero(), [this](const AnswerMessage &answer) {
            boost::asio::post(m_context, [this, answer] { m_router->answered(m_settings.instance, answer); });
        });
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message); cancel != nullptr) {
        m_executor->cancel(cancel->ticket);
    }
}

void MeshCore::receivedFromPeer(const PeerEvent &event)
{
    if (const auto *call = std::get_if<CallMessage>(&event.message); call != nullptr) {
        const ConnectionId connection = event.connection;
        m_links->addUnanswered(connection, 1);
        submit(*call, event.waited, [this, connection](const AnswerMessage &answer) {
            m_links->addUnanswered(connection, -1);
            m_links->reply(connection, answer);
        });
    } else if (const auto *answer = std::get_if<AnswerMessage>(&event.message); answer != nullptr) {
        m_router->answered(event.instance, *answer);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&event.message); cancel != nullptr) {
        m_executor->cancel(cancel->ticket);
    } else if (const auto *voided = std::get_if<VoidMessage>(&event.message); voided != nullptr) {
        m_executor->voidTicket(voided->ticket);
    } else {
        exchangeDocuments(event);
    }
}

//! A call for a backend server that is known to leave is refused before it can start there.
void MeshCore::submit(const CallMessage &call, Duration waited, Executor::Reply reply)
{
    const bool isOther = m_ownBackend && m_ownBackend->backend != call.context.backend;
    const bool isLeaving = m_ownBackend && m_ownBackend->leaving;
    if (isOther || isLeaving || m_directory.hasLeft(call.context.backend)) {
        AnswerMessage answer;
        answer.ticket = call.ticket.id;
        answer.code = ResultCode::Leaving;
        answer.allowance = call.allowance;
        reply(answer);
        return;
    }
    m_executor->submit(call, waited, std::move(reply));
    if (m_executor->incarnation() != m_incarnation) {
        m_incarnation = m_executor->incarnation();
        refreshSelf();
    }
}

void MeshCore::publishClearing()
{
    const Rank clearing = m_executor->clearingRank();
    const TimePoint now = m_clock();
    m_admission.setClearing(m_settings.service, m_settings.instance, clearing, now);
    const bool hasMoved = std::abs(clearing - m_publishedClearing) >= clearingStep;
    const bool isDue = clearing > 0 && now - m_clearingPublishedAt >= clearingInterval;
    if (hasMoved || isDue) {
        m_log.info({"clearing rank published",
                    ResultCode::Success,
                    {},
                    std::to_string(clearing) + ", before " + std::to_string(m_publishedClearing) + ", running "
                        + std::to_string(m_executor->running()) + " of " + std::to_string(m_executor->slotLimit()) + ", queued "
                        + std::to_string(m_executor->queued())});
        m_publishedClearing = clearing;
        m_clearingPublishedAt = now;
        m_links->broadcastStatus();
    }
}

//! Peers tell each other what they have read; who is behind asks for it.
void MeshCore::exchangeDocuments(const PeerEvent &event)
{
    if (const auto *status = std::get_if<StatusMessage>(&event.message); status != nullptr) {
        takeClearing(event.instance, status->clearing);
        if (m_configurationMirror->isBehind(status->configuration)) {
            m_links->reply(event.connection, ConfigurationRequest{m_configurationMirror->lastChange(), {}});
        }
        if (m_instancesMirror->isBehind(status->instances)) {
            m_links->reply(event.connection, InstancesRequest{m_instancesMirror->lastChange()});
        }
    } else if (std::holds_alternative<ConfigurationRequest>(event.message)) {
        m_links->reply(event.connection, ConfigurationMessage{m_configurationMirror->document(), {}});
    } else if (std::holds_alternative<InstancesRequest>(event.message)) {
        m_links->reply(event.connection, InstancesMessage{m_instancesMirror->document()});
    } else if (const auto *configuration = std::get_if<ConfigurationMessage>(&event.message); configuration != nullptr) {
        m_configurationMirror->adopt(configuration->manifest);
    } else if (const auto *instances = std::get_if<InstancesMessage>(&event.message); instances != nullptr) {
        m_instancesMirror->adopt(instances->document);
    }
}

void MeshCore::takeClearing(const InstanceId &instance, Rank clearing)
{
    const auto known = std::find_if(m_instances.begin(), m_instances.end(), [&instance](const auto &i) { return i.instance == instance; });
    if (known != m_instances.end()) {
        m_admission.setClearing(known->service, instance, clearing, m_clock());
    }
}

void MeshCore::configurationChanged()
{
    for (const auto &[key, item] : m_configurationMirror->items()) {
        std::string reason;
        auto table = m_protocol.decodeRoutes(item, reason);
        if (!table) {
            m_log.warn({"configuration refused", ResultCode::PlatformMalformed, {}, reason});
            continue;
        }
        // Versions only go up, whatever order they are heard in.
        if (!(m_routes->revision() < table->revision())) {
            continue;
        }
        m_routes = std::make_shared<const RouteTable>(std::move(*table));
        m_log.info({"configuration is in force",
                    ResultCode::Success,
                    {},
                    "version " + std::to_string(m_routes->revision().value()) + ", " + std::to_string(m_routes->routes().size())
                        + " routes, store revision " + std::to_string(item.revision.value())});
    }
    m_links->broadcastStatus();
}

void MeshCore::instancesChanged()
{
    std::vector<InstanceDirectory::Entry> entries;
    for (const auto &[key, item] : m_instancesMirror->items()) {
        std::string reason;
        auto entry = m_protocol.decodeInstance(item, reason);
        if (!entry) {
            ignoreEntry(key, reason);
            continue;
        }
        entry->instance.peerAddress = {entry->instance.instance.value(), m_settings.peers.port};
        entries.push_back(std::move(*entry));
    }
    m_directory.update(entries, m_instancesMirror->answeringSince(), m_clock());
    applyInstances();
    m_links->broadcastStatus();
}

void MeshCore::ignoreEntry(const std::string &key, const std::string &reason)
{
    ++m_counters.unreadableEntries;
    m_log.warn({"instance entry ignored", ResultCode::PlatformMalformed, {}, key + ": " + reason});
}

void MeshCore::applyInstances()
{
    m_instances = m_directory.instances();
    m_repeats.setNodes(m_instances.size());
    std::set<InstanceId> known;
    for (const PublishedInstance &instance : m_instances) {
        known.insert(instance.instance);
    }
    m_admission.retain(known);
    const auto own =
        std::find_if(m_instances.begin(), m_instances.end(), [this](const auto &i) { return i.instance == m_settings.instance; });
    const std::optional<PublishedInstance> before = m_ownBackend;
    m_ownBackend = own == m_instances.end() ? std::optional<PublishedInstance>() : *own;
    if (m_ownBackend) {
        m_executor->setSlots(m_ownBackend->slots);
        if (!before || before->backend != m_ownBackend->backend) {
            m_log.info({"backend server is listed", ResultCode::Success, {}, m_ownBackend->backend.value()});
        }
    }
    std::vector<PublishedInstance> wanted;
    if (m_instances.size() <= largestFullMesh) {
        wanted = m_instances;
    } else {
        SelectionBase base{m_settings.instance, m_settings.dataCentre, m_settings.service, {}};
        for (const ServiceName &service : m_routes->services()) {
            base.calledServices.insert(service);
        }
        InstanceList list;
        list.instances = m_instances;
        wanted = selectPeers(list, base);
    }
    m_links->setWanted(wanted);
    refreshSelf();
    std::size_t leaving = 0;
    for (const PublishedInstance &instance : m_instances) {
        leaving += instance.leaving ? 1 : 0;
    }
    m_log.info({"instance list is in force",
                ResultCode::Success,
                {},
                "change " + std::to_string(m_instancesMirror->lastChange().value()) + ", " + std::to_string(m_instances.size())
                    + " instances, " + std::to_string(leaving) + " leaving"});
}

void MeshCore::refreshSelf()
{
    const bool takesWork = m_ownBackend && m_ownBackend->service == m_settings.service && !m_ownBackend->leaving && !m_stop.hasBegun();
    const BackendId backend = m_ownBackend ? m_ownBackend->backend : BackendId();
    m_links->setSelf({m_settings.instance, m_incarnation, m_settings.dataCentre, !takesWork, backend});
}

bool MeshCore::isReady() const
{
    return !m_stop.hasBegun() && m_routes->revision().value() != 0 && m_instancesMirror->hasContent();
}

void MeshCore::beginStop()
{
    m_stop.begin(m_clock(), m_settings.stopGrace);
    m_executor->drain();
    refreshSelf();
    m_links->broadcastStatus();
}

bool MeshCore::isStopping() const
{
    return m_stop.hasBegun();
}

bool MeshCore::isStopOver(bool isIdle) const
{
    return m_stop.isOver(m_clock(), isIdle);
}

bool MeshCore::isIdle() const
{
    return m_executor->running() == 0 && m_router->outstanding() == 0;
}

void MeshCore::shutdown()
{
    m_transport->shutdown();
}

HelloMessage MeshCore::hello() const
{
    HelloMessage hello;
    hello.instance = m_settings.instance;
    hello.incarnation = m_executor->incarnation();
    hello.service = m_settings.service;
    hello.dataCentre = m_settings.dataCentre;
    hello.slots = m_ownBackend ? m_ownBackend->slots : slotsBeforeList;
    return hello;
}

StatusMessage MeshCore::status() const
{
    StatusMessage status;
    status.draining = m_stop.hasBegun();
    status.incarnation = m_executor->incarnation();
    status.configuration = m_configurationMirror->lastChange();
    status.instances = m_instancesMirror->lastChange();
    status.clearing = m_executor->clearingRank();
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

const PrefixMirror &MeshCore::configuration() const
{
    return *m_configurationMirror;
}

const PrefixMirror &MeshCore::instances() const
{
    return *m_instancesMirror;
}

} // namespace chervilpaddle
