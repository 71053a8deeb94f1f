#include <chervilpaddle/controllers/linkcontroller.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

namespace {

constexpr Duration activeHeartbeatInterval = std::chrono::milliseconds(100);
constexpr Duration idleHeartbeatInterval = std::chrono::seconds(5);
//! Three heartbeat intervals. After the timeout, one tick and a new connection, a call with a deadline of 400 ms can still be
//! resent and run in time.
constexpr Duration activeLinkTimeout = std::chrono::milliseconds(300);
constexpr Duration idleLinkTimeout = std::chrono::seconds(16);
//! Many round-trip times of a cross-region link. When it expires, outstanding calls that may be retried are given up.
constexpr Duration helloTimeout = std::chrono::milliseconds(250);
constexpr Duration initialRedialDelay = std::chrono::milliseconds(50);
constexpr Duration seedRedialInterval = std::chrono::milliseconds(500);
//! Limits the back-off to 400 ms plus jitter, so that an unreachable peer is dialled about twice a second.
constexpr int maxBackoffDoublings = 3;
//! Time between two ticks that counts as silence of a link if more has passed, since messages were not read in the rest of it.
constexpr Duration countedTickInterval = std::chrono::milliseconds(50);
//! A longer interval between two ticks means that this process was suspended or busy.
constexpr Duration maxTickInterval = std::chrono::milliseconds(100);

} // namespace

LinkController::LinkController(Candidate ownCandidate, ServiceName ownService, Hooks hooks, std::uint64_t seed)
    : m_ownCandidate(std::move(ownCandidate))
    , m_ownService(std::move(ownService))
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_lastTickAt(m_hooks.clock())
{
}

void LinkController::setDesiredPeers(const std::vector<PublishedInstance> &peers)
{
    for (auto &[instance, peer] : m_peers) {
        peer.isDesired = false;
    }
    for (const PublishedInstance &published : peers) {
        if (published.instance == m_ownCandidate.instance) {
            continue;
        }
        Peer &peer = m_peers[published.instance];
        if (!(peer.published.peerAddress == published.peerAddress)) {
            peer.failedDials = 0;
            peer.nextDialAt = TimePoint();
        }
        peer.published = published;
        peer.isDesired = true;
    }
    m_candidatesStale = true;
    removeUndesiredPeers();
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
    connection.createdAt = now;
    connection.lastReceivedAt = now;
    if (!inbound) {
        sendOn(id, connection, m_hooks.hello());
    }
}

void LinkController::received(ConnectionId id, PeerFrame frame)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const TimePoint now = m_hooks.clock();
    Connection &connection = found->second;
    connection.lastReceivedAt = now;
    const Duration queueingDelay = connection.queueingDelayEstimator.queueingDelay(frame.sentAt, now);
    if (const auto *hello = std::get_if<HelloMessage>(&frame.message); hello != nullptr) {
        handleHello(id, connection, *hello);
        return;
    }
    if (!connection.helloReceived) {
        closeConnection(id);
        return;
    }
    if (const auto *status = std::get_if<StatusMessage>(&frame.message); status != nullptr) {
        handleStatus(id, connection, *status);
    }
    m_hooks.received({id, connection.instance, std::move(frame.message), queueingDelay});
}

void LinkController::handleHello(ConnectionId id, Connection &connection, const HelloMessage &hello)
{
    connection.instance = hello.instance;
    connection.incarnation = hello.incarnation;
    connection.helloReceived = true;
    if (connection.inbound) {
        sendOn(id, connection, m_hooks.hello());
        sendOn(id, connection, statusFor(connection));
        return;
    }
    Peer *peer = findDialingPeer(id);
    if (peer == nullptr) {
        m_seedDials.erase(id);
        return;
    }
    if (hello.instance != peer->published.instance) {
        // The address now belongs to another instance.
        closeConnection(id);
        dialFailed(*peer, m_hooks.clock());
        return;
    }
    establishLink(*peer, id, hello);
}

void LinkController::establishLink(Peer &peer, ConnectionId id, const HelloMessage &hello)
{
    const std::optional<ConnectionId> previous = peer.activeConnection;
    const bool incarnationChanged = peer.incarnation.value() != 0 && peer.incarnation != hello.incarnation;
    peer.activeConnection = id;
    peer.dialingConnection.reset();
    peer.suspectedSince.reset();
    peer.failedDials = 0;
    peer.incarnation = hello.incarnation;
    if (incarnationChanged) {
        peer.draining = false;
    }
    m_candidatesStale = true;
    if (previous && *previous != id) {
        closeConnection(*previous);
    }
    const InstanceId instance = peer.published.instance;
    if (incarnationChanged) {
        m_hooks.incarnationChanged(instance, hello.incarnation);
    } else {
        m_hooks.linkEstablished(instance);
    }
}

void LinkController::handleStatus(ConnectionId id, Connection &connection, const StatusMessage &status)
{
    connection.drainAcknowledged = status.drainAcknowledged;
    const Incarnation previous = std::exchange(connection.incarnation, status.incarnation);
    const auto peer = m_peers.find(connection.instance);
    if (peer == m_peers.end()) {
        return;
    }
    // The peer has changed its incarnation without a restart.
    const bool isRenewed = peer->second.incarnation == previous && status.incarnation != previous;
    if (isRenewed) {
        peer->second.incarnation = status.incarnation;
        m_candidatesStale = true;
    }
    const bool sameIncarnation = peer->second.incarnation == status.incarnation || peer->second.incarnation.value() == 0;
    if (sameIncarnation && peer->second.draining != status.draining) {
        peer->second.draining = status.draining;
        m_candidatesStale = true;
    }
    // Acknowledged on every connection: on each, the calls sent before the acknowledgement arrive before it, and none follows.
    if (sameIncarnation && status.draining != connection.drainAcknowledgementSent) {
        connection.drainAcknowledgementSent = status.draining;
        sendOn(id, connection, statusFor(connection));
    }
    if (isRenewed) {
        m_hooks.incarnationChanged(connection.instance, status.incarnation);
    }
}

void LinkController::closed(ConnectionId id)
{
    const TimePoint now = m_hooks.clock();
    m_seedDials.erase(id);
    m_connections.erase(id);
    for (auto &[instance, peer] : m_peers) {
        if (peer.dialingConnection == id) {
            peer.dialingConnection.reset();
            dialFailed(peer, now);
            return;
        }
        if (peer.activeConnection == id) {
            peer.activeConnection.reset();
            m_candidatesStale = true;
            if (isNeeded(peer) && !peer.dialingConnection) {
                startDial(peer, now);
            }
            return;
        }
    }
}

void LinkController::tick()
{
    const TimePoint now = m_hooks.clock();
    excludePause(now);
    std::vector<InstanceId> instances;
    for (const auto &[instance, peer] : m_peers) {
        instances.push_back(instance);
    }
    for (const InstanceId &instance : instances) {
        if (const auto peer = m_peers.find(instance); peer != m_peers.end()) {
            checkPeer(peer->second, now);
        }
    }
    if (m_peers.empty() && m_seedDials.empty() && now >= m_nextSeedDialAt) {
        m_nextSeedDialAt = now + seedRedialInterval;
        for (const Endpoint &seed : m_seeds) {
            m_seedDials.insert(m_hooks.dial(seed));
        }
    }
    closeSilentConnections(now);
    sendHeartbeats(now);
    removeUndesiredPeers();
    m_lastTickAt = now;
}

//! Messages are not read while the process is suspended or busy, and a tick that was due before may run before they are read.
//! Without this, all links would time out. A part of the time still counts, so that a silent link is detected although each tick
//! is late.
void LinkController::excludePause(TimePoint now)
{
    const Duration gap = now - m_lastTickAt;
    if (gap <= maxTickInterval) {
        return;
    }
    const auto shift = [now, pause = gap - countedTickInterval](TimePoint &time) { time = std::min(now, time + pause); };
    for (auto &[id, connection] : m_connections) {
        shift(connection.lastReceivedAt);
        shift(connection.createdAt);
    }
    for (auto &[instance, peer] : m_peers) {
        if (peer.outstandingSince) {
            shift(*peer.outstandingSince);
        }
        if (peer.suspectedSince) {
            shift(*peer.suspectedSince);
        }
    }
}

void LinkController::checkPeer(Peer &peer, TimePoint now)
{
    if (peer.dialingConnection) {
        const auto connection = m_connections.find(*peer.dialingConnection);
        const TimePoint since = connection != m_connections.end() ? connection->second.createdAt : peer.nextDialAt;
        if (now - since > helloTimeout) {
            closeConnection(*peer.dialingConnection);
            dialFailed(peer, now);
        }
        return;
    }
    if (peer.activeConnection) {
        checkLiveness(peer, now);
        return;
    }
    if (isNeeded(peer) && now >= peer.nextDialAt) {
        startDial(peer, now);
    }
}

void LinkController::checkLiveness(Peer &peer, TimePoint now)
{
    const auto connection = m_connections.find(*peer.activeConnection);
    if (connection == m_connections.end()) {
        return;
    }
    const bool hasOutstanding = m_hooks.hasOutstanding(peer.published.instance);
    peer.outstandingSince = hasOutstanding ? peer.outstandingSince.value_or(now) : std::optional<TimePoint>();
    const TimePoint lastReceivedAt = connection->second.lastReceivedAt;
    const bool activeTimeoutExpired = hasOutstanding && now - std::max(lastReceivedAt, *peer.outstandingSince) > activeLinkTimeout;
    const bool isTimedOut = activeTimeoutExpired || now - lastReceivedAt > idleLinkTimeout;
    // The absence of outstanding calls does not show that the link works: only a received message clears the suspicion.
    const bool receivedSinceSuspected = peer.suspectedSince && lastReceivedAt > *peer.suspectedSince;
    if (isTimedOut && !peer.suspectedSince) {
        peer.suspectedSince = now;
        m_candidatesStale = true;
    } else if (!isTimedOut && receivedSinceSuspected) {
        peer.suspectedSince.reset();
        m_candidatesStale = true;
    }
    if (peer.suspectedSince && now >= peer.nextDialAt) {
        startDial(peer, now);
    }
}

//! Calls to a peer that is no longer desired are still resent over a new link or given up.
bool LinkController::isNeeded(const Peer &peer) const
{
    return peer.isDesired || m_hooks.hasOutstanding(peer.published.instance);
}

//! Both ends send heartbeats on every connection. Links are checked with their peers; the other connections are those that peers
//! have opened, whose end does not arrive if a host or its network fails.
void LinkController::closeSilentConnections(TimePoint now)
{
    std::vector<ConnectionId> silent;
    for (const auto &[id, connection] : m_connections) {
        if (now - connection.lastReceivedAt <= idleLinkTimeout) {
            continue;
        }
        const bool belongsToPeer = std::any_of(m_peers.begin(), m_peers.end(), [id = id](const auto &entry) {
            return entry.second.activeConnection == id || entry.second.dialingConnection == id;
        });
        if (!belongsToPeer) {
            silent.push_back(id);
        }
    }
    for (const ConnectionId id : silent) {
        closeConnection(id);
    }
}

void LinkController::startDial(Peer &peer, TimePoint now)
{
    peer.nextDialAt = now;
    const ConnectionId id = m_hooks.dial(peer.published.peerAddress);
    peer.dialingConnection = id;
    Connection &connection = m_connections[id];
    connection.createdAt = now;
    connection.lastReceivedAt = now;
}

void LinkController::dialFailed(Peer &peer, TimePoint now)
{
    peer.dialingConnection.reset();
    const Duration delay = initialRedialDelay * (1 << std::min(peer.failedDials, maxBackoffDoublings));
    ++peer.failedDials;
    peer.nextDialAt = now + randomDuration(m_random, delay, 2 * delay);
    if (m_hooks.hasOutstanding(peer.published.instance)) {
        m_hooks.unreachable(peer.published.instance);
    }
}

bool LinkController::send(const InstanceId &instance, const PeerMessage &message)
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end() || !peer->second.activeConnection) {
        return false;
    }
    const auto connection = m_connections.find(*peer->second.activeConnection);
    if (connection == m_connections.end()) {
        return false;
    }
    if (std::holds_alternative<CallMessage>(message)) {
        peer->second.outstandingSince = peer->second.outstandingSince.value_or(m_hooks.clock());
    }
    sendOn(connection->first, connection->second, message);
    return true;
}

void LinkController::reply(ConnectionId id, const PeerMessage &message)
{
    if (const auto connection = m_connections.find(id); connection != m_connections.end()) {
        sendOn(id, connection->second, message);
    }
}

std::map<ConnectionId, LinkController::Connection>::iterator LinkController::findConnection(const InstanceId &instance)
{
    const auto peer = m_peers.find(instance);
    if (peer != m_peers.end() && peer->second.activeConnection && !peer->second.suspectedSince) {
        return m_connections.find(*peer->second.activeConnection);
    }
    auto latest = m_connections.end();
    for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
        const bool isOfInstance = entry->second.helloReceived && entry->second.instance == instance;
        if (isOfInstance && (latest == m_connections.end() || latest->second.lastReceivedAt <= entry->second.lastReceivedAt)) {
            latest = entry;
        }
    }
    return latest;
}

void LinkController::sendOnAnyConnection(const InstanceId &instance, const PeerMessage &message)
{
    if (const auto connection = findConnection(instance); connection != m_connections.end()) {
        sendOn(connection->first, connection->second, message);
    }
}

void LinkController::sendStatus(const InstanceId &instance)
{
    if (const auto connection = findConnection(instance); connection != m_connections.end()) {
        sendOn(connection->first, connection->second, statusFor(connection->second));
    }
}

void LinkController::sendStatusToInstances()
{
    std::set<InstanceId> instances;
    for (const auto &[id, connection] : m_connections) {
        if (connection.helloReceived) {
            instances.insert(connection.instance);
        }
    }
    for (const InstanceId &instance : instances) {
        sendStatus(instance);
    }
}

void LinkController::broadcastStatus()
{
    for (auto &[id, connection] : m_connections) {
        if (connection.helloReceived) {
            sendOn(id, connection, statusFor(connection));
        }
    }
}

StatusMessage LinkController::statusFor(const Connection &connection) const
{
    StatusMessage status = m_hooks.status();
    const auto peer = m_peers.find(connection.instance);
    status.drainAcknowledged = peer != m_peers.end() && peer->second.draining && peer->second.incarnation == connection.incarnation;
    return status;
}

std::vector<InstanceId> LinkController::drainUnacknowledgedBy() const
{
    std::vector<InstanceId> instances;
    for (const auto &[id, connection] : m_connections) {
        if (connection.inbound && connection.helloReceived && !connection.drainAcknowledged) {
            instances.push_back(connection.instance);
        }
    }
    return instances;
}

void LinkController::adjustUnansweredCalls(ConnectionId id, int change)
{
    if (const auto connection = m_connections.find(id); connection != m_connections.end()) {
        Connection &adjusted = connection->second;
        if (adjusted.unansweredCalls == 0) {
            adjusted.unansweredSince = m_hooks.clock();
        }
        adjusted.unansweredCalls += change;
    }
}

void LinkController::sendHeartbeats(TimePoint now)
{
    for (auto &[id, connection] : m_connections) {
        if (!connection.helloReceived) {
            continue;
        }
        // Counted from the first unanswered call: most calls are answered before the first heartbeat is due and cause none.
        const bool activeHeartbeatDue =
            connection.unansweredCalls > 0 && now - std::max(connection.lastSentAt, connection.unansweredSince) >= activeHeartbeatInterval;
        if (activeHeartbeatDue || now - connection.lastSentAt >= idleHeartbeatInterval) {
            sendOn(id, connection, statusFor(connection));
        }
    }
}

void LinkController::sendOn(ConnectionId id, Connection &connection, const PeerMessage &message)
{
    connection.lastSentAt = m_hooks.clock();
    m_hooks.send(id, message);
}

const std::vector<Candidate> &LinkController::candidates(const ServiceName &service)
{
    if (m_candidatesStale) {
        m_candidatesStale = false;
        for (auto &[name, list] : m_candidates) {
            list.clear();
        }
        m_candidates[m_ownService].push_back(m_ownCandidate);
        for (const auto &[instance, peer] : m_peers) {
            if (peer.activeConnection && !peer.suspectedSince) {
                const bool draining = peer.draining || peer.published.leaving;
                m_candidates[peer.published.service].push_back(
                    {instance, peer.incarnation, peer.published.dataCentre, draining, peer.published.backend});
            }
        }
    }
    return m_candidates[service];
}

void LinkController::setOwnCandidate(const Candidate &ownCandidate)
{
    const bool isRenewed = ownCandidate.incarnation != m_ownCandidate.incarnation;
    m_ownCandidate = ownCandidate;
    m_candidatesStale = true;
    if (isRenewed) {
        broadcastStatus();
    }
}

std::size_t LinkController::connectionCount() const
{
    return m_connections.size();
}

std::size_t LinkController::linkCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.activeConnection.has_value(); }));
}

std::vector<LinkState> LinkController::linkStates() const
{
    std::vector<LinkState> states;
    for (const auto &[instance, peer] : m_peers) {
        LinkState state{instance,
                        peer.incarnation,
                        peer.activeConnection.has_value(),
                        peer.suspectedSince.has_value(),
                        peer.draining,
                        peer.failedDials,
                        {}};
        if (peer.activeConnection) {
            if (const auto connection = m_connections.find(*peer.activeConnection); connection != m_connections.end()) {
                state.timeSinceReceived = m_hooks.clock() - connection->second.lastReceivedAt;
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
        if (peer == m_peers.end() || !peer->second.activeConnection) {
            continue;
        }
        if (const auto connection = m_connections.find(*peer->second.activeConnection); connection != m_connections.end()) {
            last = std::max(last.value_or(TimePoint()), connection->second.lastReceivedAt);
        }
    }
    return last;
}

void LinkController::closeConnection(ConnectionId id)
{
    m_connections.erase(id);
    m_hooks.close(id);
}

void LinkController::removeUndesiredPeers()
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const Peer &peer = entry->second;
        if (isNeeded(peer)) {
            ++entry;
            continue;
        }
        if (peer.activeConnection) {
            closeConnection(*peer.activeConnection);
        }
        if (peer.dialingConnection) {
            closeConnection(*peer.dialingConnection);
        }
        entry = m_peers.erase(entry);
        m_candidatesStale = true;
    }
}

LinkController::Peer *LinkController::findDialingPeer(ConnectionId id)
{
    for (auto &[instance, peer] : m_peers) {
        if (peer.dialingConnection == id) {
            return &peer;
        }
    }
    return nullptr;
}

} // namespace chervilpaddle
