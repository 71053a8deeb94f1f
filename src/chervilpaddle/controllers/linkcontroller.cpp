#include <chervilpaddle/controllers/linkcontroller.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

constexpr Duration busyHeartbeat = std::chrono::milliseconds(100);
constexpr Duration idleHeartbeat = std::chrono::seconds(5);
//! Three heartbeats of a busy link. With one tick more and the new link, a call of 400 ms is still carried over in time.
constexpr Duration busySilence = std::chrono::milliseconds(300);
constexpr Duration idleSilence = std::chrono::seconds(16);
//! Many times what a link across regions takes; calls that may be repeated are given up when it has passed.
constexpr Duration helloTimeout = std::chrono::milliseconds(250);
constexpr Duration firstRedial = std::chrono::milliseconds(50);
constexpr Duration seedRedial = std::chrono::milliseconds(500);
//! A peer behind a cut is dialled about twice a second.
constexpr int mostDoublings = 3;
//! A longer gap between two ticks means that this process was paused.
constexpr Duration pauseGap = std::chrono::milliseconds(250);

} // namespace

LinkController::LinkController(Candidate self, ServiceName ownService, Hooks hooks, std::uint64_t seed)
    : m_self(std::move(self))
    , m_ownService(std::move(ownService))
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_lastTick(m_hooks.clock())
{
}

void LinkController::setDesiredPeers(const std::vector<PublishedInstance> &wanted)
{
    for (auto &[instance, peer] : m_peers) {
        peer.wanted = false;
    }
    for (const PublishedInstance &published : wanted) {
        if (published.instance == m_self.instance) {
            continue;
        }
        Peer &peer = m_peers[published.instance];
        if (!(peer.published.peerAddress == published.peerAddress)) {
            peer.failures = 0;
            peer.nextDial = TimePoint();
        }
        peer.published = published;
        peer.wanted = true;
    }
    m_candidatesStale = true;
    dropUnwanted();
}

void LinkController::setSeeds(const std::vector<Endpoint> &seeds)
{
    m_seeds = seeds;
}

void LinkController::opened(ConnectionId id, bool inbound)
{
    const TimePoint now = m_hooks.clock();
    Connection &connection = m_connections[id];
    connection.inbound = inbound;
    connection.created = now;
    connection.lastHeard = now;
    if (!inbound) {
        sendOver(id, connection, m_hooks.hello());
    }
}

void LinkController::received(ConnectionId id, const PeerFrame &frame)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const TimePoint now = m_hooks.clock();
    Connection &connection = found->second;
    connection.lastHeard = now;
    const Duration queueingDelay = connection.queueingDelayEstimator.queueingDelay(frame.sentAt, now);
    if (const auto *hello = std::get_if<HelloMessage>(&frame.message); hello != nullptr) {
        introduce(id, connection, *hello);
        return;
    }
    if (!connection.introduced) {
        drop(id);
        return;
    }
    if (const auto *status = std::get_if<StatusMessage>(&frame.message); status != nullptr) {
        takeStatus(id, connection, *status);
    }
    m_hooks.received({id, connection.instance, frame.message, queueingDelay});
}

void LinkController::introduce(ConnectionId id, Connection &connection, const HelloMessage &hello)
{
    connection.instance = hello.instance;
    connection.incarnation = hello.incarnation;
    connection.introduced = true;
    if (connection.inbound) {
        sendOver(id, connection, m_hooks.hello());
        sendOver(id, connection, statusFor(connection));
        return;
    }
    Peer *peer = peerDialing(id);
    if (peer == nullptr) {
        m_seedDials.erase(id);
        return;
    }
    if (hello.instance != peer->published.instance) {
        // Somebody else has taken over the address.
        drop(id);
        dialFailed(*peer, m_hooks.clock());
        return;
    }
    adopt(*peer, id, hello);
}

void LinkController::adopt(Peer &peer, ConnectionId id, const HelloMessage &hello)
{
    const std::optional<ConnectionId> old = peer.current;
    const bool isReplacement = peer.incarnation.value() != 0 && peer.incarnation != hello.incarnation;
    peer.current = id;
    peer.dialing.reset();
    peer.doubtSince.reset();
    peer.failures = 0;
    peer.incarnation = hello.incarnation;
    if (isReplacement) {
        peer.draining = false;
    }
    m_candidatesStale = true;
    if (old && *old != id) {
        drop(*old);
    }
    const InstanceId instance = peer.published.instance;
    if (isReplacement) {
        m_hooks.incarnationChanged(instance, hello.incarnation);
    } else {
        m_hooks.linkEstablished(instance);
    }
}

void LinkController::takeStatus(ConnectionId id, Connection &connection, const StatusMessage &status)
{
    connection.drainSeen = status.drainSeen;
    const auto peer = m_peers.find(connection.instance);
    if (peer == m_peers.end()) {
        return;
    }
    const bool sameIncarnation = peer->second.incarnation == connection.incarnation || peer->second.incarnation.value() == 0;
    if (sameIncarnation && peer->second.draining != status.draining) {
        peer->second.draining = status.draining;
        m_candidatesStale = true;
    }
    // Confirmed on every connection: calls sent before this frame are ahead of it there, and none follows.
    if (sameIncarnation && status.draining != connection.drainConfirmed) {
        connection.drainConfirmed = status.draining;
        sendOver(id, connection, statusFor(connection));
    }
    if (peer->second.incarnation == connection.incarnation && status.incarnation != connection.incarnation) {
        // The peer has renewed its incarnation without a restart.
        peer->second.incarnation = status.incarnation;
        m_candidatesStale = true;
        m_hooks.incarnationChanged(connection.instance, status.incarnation);
    }
}

void LinkController::closed(ConnectionId id)
{
    const TimePoint now = m_hooks.clock();
    m_seedDials.erase(id);
    m_connections.erase(id);
    for (auto &[instance, peer] : m_peers) {
        if (peer.dialing == id) {
            peer.dialing.reset();
            dialFailed(peer, now);
            return;
        }
        if (peer.current == id) {
            peer.current.reset();
            m_candidatesStale = true;
            if (peer.wanted && !peer.dialing) {
                startDial(peer, now);
            }
            return;
        }
    }
}

void LinkController::tick()
{
    const TimePoint now = m_hooks.clock();
    forgiveGap(now);
    std::vector<InstanceId> instances;
    for (const auto &[instance, peer] : m_peers) {
        instances.push_back(instance);
    }
    for (const InstanceId &instance : instances) {
        if (const auto peer = m_peers.find(instance); peer != m_peers.end()) {
            checkPeer(peer->second, now);
        }
    }
    if (m_peers.empty() && m_seedDials.empty() && now >= m_nextSeedDial) {
        m_nextSeedDial = now + seedRedial;
        for (const Endpoint &seed : m_seeds) {
            m_seedDials.insert(m_hooks.dial(seed));
        }
    }
    sendHeartbeats(now);
    dropUnwanted();
    m_lastTick = now;
}

//! A paused process has heard nothing, but that was not its peers' doing.
void LinkController::forgiveGap(TimePoint now)
{
    const Duration gap = now - m_lastTick;
    if (gap < pauseGap) {
        return;
    }
    for (auto &[id, connection] : m_connections) {
        connection.lastHeard = std::max(connection.lastHeard, now);
        connection.created = std::max(connection.created, now);
    }
}

void LinkController::checkPeer(Peer &peer, TimePoint now)
{
    if (peer.dialing) {
        const auto connection = m_connections.find(*peer.dialing);
        const TimePoint since = connection != m_connections.end() ? connection->second.created : peer.nextDial;
        if (now - since > helloTimeout) {
            drop(*peer.dialing);
            dialFailed(peer, now);
        }
        return;
    }
    if (peer.current) {
        checkSilence(peer, now);
        return;
    }
    if (peer.wanted && now >= peer.nextDial) {
        startDial(peer, now);
    }
}

void LinkController::checkSilence(Peer &peer, TimePoint now)
{
    const auto connection = m_connections.find(*peer.current);
    if (connection == m_connections.end()) {
        return;
    }
    const bool busy = m_hooks.hasOutstanding(peer.published.instance);
    peer.busySince = busy ? peer.busySince.value_or(now) : std::optional<TimePoint>();
    const TimePoint lastHeard = connection->second.lastHeard;
    const bool silentWhileBusy = busy && now - std::max(lastHeard, *peer.busySince) > busySilence;
    const bool isSilent = silentWhileBusy || now - lastHeard > idleSilence;
    // That nothing waits any more does not mean that the link works: only what is heard takes the doubt away.
    const bool hasSpoken = peer.doubtSince && lastHeard > *peer.doubtSince;
    if (isSilent && !peer.doubtSince) {
        peer.doubtSince = now;
        m_candidatesStale = true;
    } else if (!isSilent && hasSpoken) {
        peer.doubtSince.reset();
        m_candidatesStale = true;
    }
    if (peer.doubtSince && now >= peer.nextDial) {
        startDial(peer, now);
    }
}

void LinkController::startDial(Peer &peer, TimePoint now)
{
    peer.nextDial = now;
    const ConnectionId id = m_hooks.dial(peer.published.peerAddress);
    peer.dialing = id;
    Connection &connection = m_connections[id];
    connection.created = now;
    connection.lastHeard = now;
}

void LinkController::dialFailed(Peer &peer, TimePoint now)
{
    peer.dialing.reset();
    const Duration wait = firstRedial * (1 << std::min(peer.failures, mostDoublings));
    ++peer.failures;
    peer.nextDial = now + wait + fromSeconds(toSeconds(wait) * uniformFraction(m_random));
    if (m_hooks.hasOutstanding(peer.published.instance)) {
        m_hooks.unreachable(peer.published.instance);
    }
}

bool LinkController::send(const InstanceId &instance, const PeerMessage &message)
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end() || !peer->second.current) {
        return false;
    }
    const auto connection = m_connections.find(*peer->second.current);
    if (connection == m_connections.end()) {
        return false;
    }
    if (std::holds_alternative<CallMessage>(message)) {
        peer->second.busySince = peer->second.busySince.value_or(m_hooks.clock());
    }
    sendOver(connection->first, connection->second, message);
    return true;
}

void LinkController::reply(ConnectionId id, const PeerMessage &message)
{
    if (const auto connection = m_connections.find(id); connection != m_connections.end()) {
        sendOver(id, connection->second, message);
    }
}

void LinkController::broadcastStatus()
{
    for (auto &[id, connection] : m_connections) {
        if (connection.introduced) {
            sendOver(id, connection, statusFor(connection));
        }
    }
}

StatusMessage LinkController::statusFor(const Connection &connection) const
{
    StatusMessage status = m_hooks.status();
    const auto peer = m_peers.find(connection.instance);
    status.drainSeen = peer != m_peers.end() && peer->second.draining && peer->second.incarnation == connection.incarnation;
    return status;
}

std::vector<InstanceId> LinkController::drainUnacknowledgedBy() const
{
    std::vector<InstanceId> instances;
    for (const auto &[id, connection] : m_connections) {
        if (connection.inbound && connection.introduced && !connection.drainSeen) {
            instances.push_back(connection.instance);
        }
    }
    return instances;
}

void LinkController::adjustUnansweredCalls(ConnectionId id, int change)
{
    if (const auto connection = m_connections.find(id); connection != m_connections.end()) {
        Connection &busy = connection->second;
        if (busy.unanswered == 0) {
            busy.unansweredSince = m_hooks.clock();
        }
        busy.unanswered += change;
    }
}

void LinkController::sendHeartbeats(TimePoint now)
{
    for (auto &[id, connection] : m_connections) {
        if (!connection.introduced) {
            continue;
        }
        // Most calls are answered sooner than the busy heartbeat is due, and need none.
        const bool busyDue = connection.unanswered > 0 && now - std::max(connection.lastSent, connection.unansweredSince) >= busyHeartbeat;
        if (busyDue || now - connection.lastSent >= idleHeartbeat) {
            sendOver(id, connection, statusFor(connection));
        }
    }
}

void LinkController::sendOver(ConnectionId id, Connection &connection, const PeerMessage &message)
{
    connection.lastSent = m_hooks.clock();
    m_hooks.send(id, message);
}

const std::vector<Candidate> &LinkController::candidates(const ServiceName &service)
{
    if (m_candidatesStale) {
        m_candidatesStale = false;
        for (auto &[name, list] : m_candidates) {
            list.clear();
        }
        m_candidates[m_ownService].push_back(m_self);
        for (const auto &[instance, peer] : m_peers) {
            if (peer.current && !peer.doubtSince) {
                const bool draining = peer.draining || peer.published.leaving;
                m_candidates[peer.published.service].push_back(
                    {instance, peer.incarnation, peer.published.dataCentre, draining, peer.published.backend});
            }
        }
    }
    return m_candidates[service];
}

void LinkController::setSelf(const Candidate &self)
{
    m_self = self;
    m_candidatesStale = true;
}

std::size_t LinkController::connectionCount() const
{
    return m_connections.size();
}

std::size_t LinkController::linkCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.current.has_value(); }));
}

std::vector<LinkState> LinkController::linkStates() const
{
    std::vector<LinkState> states;
    for (const auto &[instance, peer] : m_peers) {
        LinkState state{
            instance, peer.incarnation, peer.current.has_value(), peer.doubtSince.has_value(), peer.draining, peer.failures, {}};
        if (peer.current) {
            if (const auto connection = m_connections.find(*peer.current); connection != m_connections.end()) {
                state.timeSinceReceived = m_hooks.clock() - connection->second.lastHeard;
            }
        }
        states.push_back(state);
    }
    return states;
}

std::optional<TimePoint> LinkController::lastReceivedFrom(const std::vector<InstanceId> &instances) const
{
    std::optional<TimePoint> last;
    for (const InstanceId &instance : instances) {
        const auto peer = m_peers.find(instance);
        if (peer == m_peers.end() || !peer->second.current) {
            continue;
        }
        if (const auto connection = m_connections.find(*peer->second.current); connection != m_connections.end()) {
            last = std::max(last.value_or(TimePoint()), connection->second.lastHeard);
        }
    }
    return last;
}

void LinkController::drop(ConnectionId id)
{
    m_connections.erase(id);
    m_hooks.close(id);
}

void LinkController::dropUnwanted()
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const Peer &peer = entry->second;
        if (peer.wanted || m_hooks.hasOutstanding(entry->first)) {
            ++entry;
            continue;
        }
        if (peer.current) {
            drop(*peer.current);
        }
        if (peer.dialing) {
            drop(*peer.dialing);
        }
        entry = m_peers.erase(entry);
        m_candidatesStale = true;
    }
}

LinkController::Peer *LinkController::peerDialing(ConnectionId id)
{
    for (auto &[instance, peer] : m_peers) {
        if (peer.dialing == id) {
            return &peer;
        }
    }
    return nullptr;
}

} // namespace chervilpaddle
