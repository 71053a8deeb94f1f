#include "linkednodes.h"

#include <algorithm>

namespace chervilpaddle::support {

namespace {

constexpr Duration latency = std::chrono::milliseconds(2);
constexpr Duration retransmissionDelay = std::chrono::milliseconds(200);
constexpr Duration closeTimeout = std::chrono::milliseconds(500);
constexpr Duration executorTickPeriod = std::chrono::milliseconds(10);
constexpr Duration linkTickPeriod = std::chrono::milliseconds(50);
constexpr Duration serviceTime = std::chrono::milliseconds(20);
constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr int slots = 16;
const ServiceName service("x");
const DataCentreName dataCentre("a");

std::string nameOf(std::size_t node)
{
    return "x-" + std::to_string(node);
}

std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(2));
}

} // namespace

struct LinkedNodes::Node
{
    std::size_t index = 0;
    Incarnation incarnation;
    bool isAlive = true;
    TimePoint pausedUntil;
    std::vector<std::pair<Source, std::function<void()>>> backlog;
    std::set<RunId> runs;
    std::unique_ptr<Executor> executor;
    std::unique_ptr<Router> router;
    std::unique_ptr<LinkController> links;
};

struct LinkedNodes::Connection
{
    struct End
    {
        std::shared_ptr<Node> node;
        ConnectionId id;
        bool isOpen = false;
        bool isClosing = false;
        bool isEnded = false;
        //! When the last frame sent to this end arrives.
        TimePoint lastArrival;
    };
    std::array<End, 2> ends;
};

LinkedNodes::LinkedNodes(VirtualTime &time, std::size_t nodes, std::uint64_t seed)
    : m_time(time)
    , m_random(seed)
{
    for (std::size_t index = 0; index < nodes; ++index) {
        m_nodes.push_back(makeNode(index));
    }
    publish();
}

LinkedNodes::~LinkedNodes() = default;

std::shared_ptr<LinkedNodes::Node> LinkedNodes::makeNode(std::size_t index)
{
    auto node = std::make_shared<Node>();
    const std::weak_ptr<Node> weak = node;
    node->index = index;
    node->incarnation = Incarnation(++m_lastIncarnation);
    const InstanceId instance(nameOf(index));
    const Candidate self{instance, node->incarnation, dataCentre, false};
    const PolicySwitches policy = fullPolicy();

    Executor::Hooks executorHooks;
    executorHooks.clock = m_time.clock();
    executorHooks.start = [this, weak](const Run &run) { startRun(weak.lock(), run); };
    executorHooks.cancelRun = [this, weak](RunId run) { endRun(weak.lock(), run, ResultCode::CancelledWhileRunning, Duration::zero()); };
    node->executor = std::make_unique<Executor>(Executor::Options{instance, node->incarnation, slots, policy, {}}, executorHooks);

    Router::Hooks routerHooks;
    routerHooks.clock = m_time.clock();
    routerHooks.schedule = [this, weak](Duration delay, std::function<void()> action) {
        onNode(weak.lock(), delay, Source::Timer, std::move(action));
    };
    routerHooks.candidates = [weak](const ServiceName &name) -> const std::vector<Candidate> & {
        return weak.lock()->links->candidates(name);
    };
    routerHooks.send = [this, weak](const InstanceId &to, const PeerMessage &message) { return sendToInstance(weak.lock(), to, message); };
    node->router = std::make_unique<Router>(Router::Options{dataCentre, node->incarnation, policy, m_random()}, routerHooks);

    LinkController::Hooks linkHooks;
    linkHooks.clock = m_time.clock();
    linkHooks.dial = [this, weak](const Endpoint &address) { return dial(weak.lock(), indexOf(address.host)); };
    linkHooks.send = [this, weak](ConnectionId id, const PeerMessage &message) { send(weak.lock(), id, message); };
    linkHooks.close = [this, weak](ConnectionId id) { close(weak.lock(), id); };
    linkHooks.hello = [weak, instance] {
        HelloMessage hello;
        hello.instance = instance;
        hello.incarnation = weak.lock()->executor->incarnation();
        return hello;
    };
    linkHooks.status = [weak] {
        StatusMessage status;
        status.incarnation = weak.lock()->executor->incarnation();
        return status;
    };
    linkHooks.hasOutstanding = [weak](const InstanceId &peer) { return weak.lock()->router->hasOutstanding(peer); };
    linkHooks.unreachable = [weak](const InstanceId &peer) { weak.lock()->router->handleInstanceUnreachable(peer); };
    linkHooks.incarnationChanged = [weak](const InstanceId &peer, Incarnation current) {
        weak.lock()->router->handleInstanceReplaced(peer, current);
    };
    linkHooks.linkEstablished = [weak](const InstanceId &peer) { weak.lock()->router->handleInstanceReconnected(peer); };
    linkHooks.received = [this, weak](PeerEvent event) { receive(*weak.lock(), std::move(event)); };
    node->links = std::make_unique<LinkController>(self, service, linkHooks, m_random());

    repeat(node, executorTickPeriod, [weak] { weak.lock()->executor->tick(); });
    repeat(node, linkTickPeriod, [weak] { weak.lock()->links->tick(); });
    return node;
}

void LinkedNodes::publish()
{
    std::vector<PublishedInstance> instances;
    for (const auto &node : m_nodes) {
        if (m_unpublished.count(node->index) == 0) {
            PublishedInstance instance;
            instance.instance = InstanceId(nameOf(node->index));
            instance.service = service;
            instance.dataCentre = dataCentre;
            instance.peerAddress = {nameOf(node->index), 9000};
            instances.push_back(instance);
        }
    }
    for (const auto &node : m_nodes) {
        onNode(node, Duration::zero(), Source::Socket, [node, instances] { node->links->setDesiredPeers(instances); });
    }
}

void LinkedNodes::onNode(const std::shared_ptr<Node> &node, Duration delay, Source source, std::function<void()> action)
{
    m_time.after(delay, [this, node, source, action = std::move(action)] {
        if (!node->isAlive) {
            return;
        }
        if (m_time.now() < node->pausedUntil) {
            node->backlog.emplace_back(source, action);
        } else {
            action();
        }
    });
}

void LinkedNodes::repeat(const std::shared_ptr<Node> &node, Duration period, std::function<void()> action)
{
    onNode(node, period, Source::Timer, [this, node, period, action = std::move(action)] {
        action();
        repeat(node, period, action);
    });
}

void LinkedNodes::call(std::size_t caller, bool isIdempotent)
{
    const std::size_t number = m_calls.size();
    const auto node = m_nodes[caller];
    m_calls.push_back({caller, isIdempotent, m_time.now(), 0, {}, !node->isAlive});
    onNode(node, Duration::zero(), Source::Socket, [this, node, number, isIdempotent] {
        OutboundCall call;
        call.context.request = RequestId(std::to_string(number));
        call.context.operation = OperationName("x.run");
        call.context.idempotent = isIdempotent;
        call.context.rank = 100;
        call.deadline = m_time.now() + callTimeout;
        call.allowance = std::make_shared<RetryAllowance>(2);
        call.freeReroutes = true;
        call.delegatesAllowance = false;
        node->router->call(std::move(call), [this, number](const CallResult &result) { m_calls[number].results.push_back(result.code); });
    });
}

void LinkedNodes::pause(std::size_t index, Duration length)
{
    const auto node = m_nodes[index];
    node->pausedUntil = std::max(node->pausedUntil, m_time.now() + length);
    m_time.at(node->pausedUntil, [this, node] {
        if (m_time.now() < node->pausedUntil || !node->isAlive) {
            return;
        }
        auto backlog = std::exchange(node->backlog, {});
        const Source first = uniformIndex(m_random, 2) == 0 ? Source::Timer : Source::Socket;
        std::stable_partition(backlog.begin(), backlog.end(), [first](const auto &event) { return event.first == first; });
        for (const auto &[source, action] : backlog) {
            action();
        }
    });
}

void LinkedNodes::partition(std::size_t a, std::size_t b, Duration length)
{
    m_partitionedUntil[std::minmax(a, b)] = m_time.now() + length;
}

bool LinkedNodes::isPartitioned(std::size_t a, std::size_t b) const
{
    const auto until = m_partitionedUntil.find(std::minmax(a, b));
    return until != m_partitionedUntil.end() && m_time.now() < until->second;
}

void LinkedNodes::resetConnections(const std::function<bool(const Connection &)> &isReset)
{
    std::set<std::shared_ptr<Connection>> reset;
    for (const auto &[id, place] : m_connections) {
        if (isReset(*place.first)) {
            reset.insert(place.first);
        }
    }
    for (const auto &connection : reset) {
        for (const std::size_t side : {0, 1}) {
            if (const auto node = connection->ends.at(side).node; node) {
                onNode(node, latency, Source::Socket, [this, connection, side = side] { end(connection, side); });
            }
        }
    }
}

void LinkedNodes::reset(std::size_t a, std::size_t b)
{
    resetConnections([a, b](const Connection &connection) {
        return connection.ends[1].node && std::minmax(connection.ends[0].node->index, connection.ends[1].node->index) == std::minmax(a, b);
    });
}

void LinkedNodes::restart(std::size_t index, Duration delay)
{
    const auto old = m_nodes[index];
    old->isAlive = false;
    for (TracedCall &call : m_calls) {
        call.isCallerKilled = call.isCallerKilled || (call.caller == index && call.results.empty());
    }
    resetConnections([&old](const Connection &connection) { return connection.ends[0].node == old || connection.ends[1].node == old; });
    m_time.after(delay, [this, index] {
        m_nodes[index] = makeNode(index);
        publish();
    });
}

void LinkedNodes::setPublished(std::size_t node, bool isPublished)
{
    isPublished ? static_cast<void>(m_unpublished.erase(node)) : static_cast<void>(m_unpublished.insert(node));
    publish();
}

ConnectionId LinkedNodes::dial(const std::shared_ptr<Node> &from, std::size_t to)
{
    const auto connection = std::make_shared<Connection>();
    const ConnectionId id(++m_lastConnection);
    connection->ends[0].node = from;
    connection->ends[0].id = id;
    m_connections[id] = {connection, 0};
    const std::shared_ptr<Node> target = m_nodes[to];
    if (isPartitioned(from->index, to)) {
        return id;
    }
    if (!target->isAlive) {
        onNode(from, 2 * latency, Source::Socket, [this, connection] { end(connection, 0); });
        return id;
    }
    onNode(target, latency, Source::Socket, [this, connection, target, from] {
        if (connection->ends[0].isEnded) {
            return;
        }
        Connection::End &end = connection->ends[1];
        end.node = target;
        end.id = ConnectionId(++m_lastConnection);
        end.isOpen = true;
        m_connections[end.id] = {connection, 1};
        target->links->opened(end.id, true);
        transmit(connection, 0, [connection, from] {
            if (!connection->ends[0].isClosing && !connection->ends[0].isEnded) {
                connection->ends[0].isOpen = true;
                from->links->opened(connection->ends[0].id, false);
            }
        });
    });
    return id;
}

//! The time until what is sent now arrives at one end, after all that was sent before.
Duration LinkedNodes::transitTime(const Connection &connection, std::size_t side)
{
    TimePoint arrival = m_time.now() + latency;
    const auto nodes = std::minmax(connection.ends[0].node->index, connection.ends[1].node->index);
    if (isPartitioned(nodes.first, nodes.second)) {
        arrival = m_partitionedUntil[nodes] + retransmissionDelay;
    }
    return std::max(arrival, connection.ends.at(side).lastArrival) - m_time.now();
}

void LinkedNodes::transmit(const std::shared_ptr<Connection> &connection, std::size_t side, std::function<void()> action)
{
    const Duration delay = transitTime(*connection, side);
    connection->ends.at(side).lastArrival = m_time.now() + delay;
    onNode(connection->ends.at(side).node, delay, Source::Socket, std::move(action));
}

void LinkedNodes::send(const std::shared_ptr<Node> &from, ConnectionId id, const PeerMessage &message)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const auto &[connection, side] = found->second;
    const Connection::End &own = connection->ends.at(side);
    if (!own.isOpen || own.isClosing || own.isEnded) {
        return;
    }
    const TimePoint sentAt = m_time.now();
    transmit(connection, 1 - side, [connection = connection, side = 1 - side, message, sentAt] {
        const Connection::End &other = connection->ends.at(side);
        if (!other.isClosing && !other.isEnded) {
            other.node->links->received(other.id, {message, sentAt});
        }
    });
    static_cast<void>(from);
}

void LinkedNodes::close(const std::shared_ptr<Node> &node, ConnectionId id)
{
    onNode(node, Duration::zero(), Source::Socket, [this, node, id] {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        const auto [connection, side] = found->second;
        Connection::End &own = connection->ends.at(side);
        if (own.isClosing || own.isEnded) {
            return;
        }
        own.isClosing = true;
        const auto endOwn = [this, connection = connection, side = side] { end(connection, side); };
        if (!own.isOpen) {
            if (connection->ends[1].node) {
                transmit(connection, 1 - side, [this, connection = connection, side = 1 - side] { end(connection, side); });
            }
            endOwn();
            return;
        }
        onNode(node, closeTimeout, Source::Timer, endOwn);
        transmit(connection, 1 - side, [this, connection = connection, side = side, endOwn] {
            end(connection, 1 - side);
            transmit(connection, side, endOwn);
        });
    });
}

void LinkedNodes::end(const std::shared_ptr<Connection> &connection, std::size_t side)
{
    Connection::End &own = connection->ends.at(side);
    if (!own.isEnded) {
        own.isEnded = true;
        m_connections.erase(own.id);
        own.node->links->closed(own.id);
    }
}

bool LinkedNodes::sendToInstance(const std::shared_ptr<Node> &from, const InstanceId &to, const PeerMessage &message)
{
    if (indexOf(to.value()) != from->index) {
        return from->links->send(to, message);
    }
    onNode(from, Duration::zero(), Source::Socket, [this, from, to, message] {
        if (const auto *call = std::get_if<CallMessage>(&message); call != nullptr) {
            from->executor->submit(*call, Duration::zero(), [this, from, to](const ResponseMessage &response) {
                onNode(from, Duration::zero(), Source::Socket, [from, to, response] { from->router->handleResponse(to, response); });
            });
        } else if (const auto *cancel = std::get_if<CancelMessage>(&message); cancel != nullptr) {
            from->executor->cancel(cancel->ticket);
        }
    });
    return true;
}

void LinkedNodes::receive(Node &node, PeerEvent event)
{
    if (auto *call = std::get_if<CallMessage>(&event.message); call != nullptr) {
        const ConnectionId connection = event.connection;
        node.links->adjustUnansweredCalls(connection, 1);
        node.executor->submit(std::move(*call), event.queueingDelay, [&node, connection](const ResponseMessage &response) {
            node.links->adjustUnansweredCalls(connection, -1);
            node.links->reply(connection, response);
        });
    } else if (const auto *response = std::get_if<ResponseMessage>(&event.message); response != nullptr) {
        node.router->handleResponse(event.instance, *response);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&event.message); cancel != nullptr) {
        node.executor->cancel(cancel->ticket);
    }
}

//! The backend server goes on while its node is suspended; the node reads the end of the run afterwards.
void LinkedNodes::startRun(const std::shared_ptr<Node> &node, const Run &run)
{
    ++m_calls[std::stoul(run.call.context.request.value())].starts;
    node->runs.insert(run.id);
    const Duration length = randomDuration(m_random, serviceTime / 2, 2 * serviceTime);
    endRun(node, run.id, ResultCode::Done, length);
}

void LinkedNodes::endRun(const std::shared_ptr<Node> &node, RunId run, ResultCode code, Duration delay)
{
    onNode(node, delay, Source::Socket, [node, run, code] {
        if (node->runs.erase(run) != 0) {
            BackendResult result;
            result.code = code;
            node->executor->completeRun(run, result);
        }
    });
}

const std::vector<TracedCall> &LinkedNodes::calls() const
{
    return m_calls;
}

Executor &LinkedNodes::executor(std::size_t node)
{
    return *m_nodes[node]->executor;
}

Router &LinkedNodes::router(std::size_t node)
{
    return *m_nodes[node]->router;
}

LinkController &LinkedNodes::links(std::size_t node)
{
    return *m_nodes[node]->links;
}

} // namespace chervilpaddle::support
