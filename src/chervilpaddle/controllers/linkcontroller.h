#pragma once

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/controllers/instancepicker.h>
#include <chervilpaddle/controllers/queueingdelayestimator.h>
#include <chervilpaddle/peer/codec.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilpaddle {

//! Identifies one connection of the peer transport; unique within a process.
using ConnectionId = StrongNumber<struct ConnectionIdTag>;

//! A message received from a peer after its hello.
struct PeerEvent
{
    ConnectionId connection;
    InstanceId instance;
    PeerMessage message;
    //! Estimated time from the arrival of the frame until it was read.
    Duration queueingDelay{};
};

//! State of one link, for the state dump.
struct LinkState
{
    InstanceId instance;
    Incarnation incarnation;
    bool isOpen = false;
    bool isSuspected = false;
    bool draining = false;
    int failedDials = 0;
    //! Time since the last message was received; zero if the link is not open.
    Duration timeSinceReceived{};
};

//! Maintains links to the desired peers: dials them, detects silent links by timeout, opens a second connection while the
//! first is suspected to have failed, and lists the instances that can be reached. Does no I/O. Not thread-safe.
class LinkController
{
public:
    struct Hooks
    {
        Clock clock;
        std::function<ConnectionId(const Endpoint &)> dial;
        std::function<void(ConnectionId, const PeerMessage &)> send;
        std::function<void(ConnectionId)> close;
        //! Return the hello and status messages of this node.
        std::function<HelloMessage()> hello;
        std::function<StatusMessage()> status;
        //! Whether calls sent to this instance are still unanswered.
        std::function<bool(const InstanceId &)> hasOutstanding;
        //! A dial to the instance has failed while calls to it are outstanding.
        std::function<void(const InstanceId &)> unreachable;
        std::function<void(const InstanceId &, Incarnation)> incarnationChanged;
        std::function<void(const InstanceId &)> linkEstablished;
        //! Called for every message except hello.
        std::function<void(PeerEvent)> received;
    };

    LinkController(Candidate ownCandidate, ServiceName ownService, Hooks hooks, std::uint64_t seed);

    //! Sets the peers to maintain links to. Links to other peers are closed once they have no outstanding calls.
    void setDesiredPeers(const std::vector<PublishedInstance> &peers);
    //! Sets the addresses to dial while no instance list is known. The instance at each is identified by its hello.
    void setSeeds(const std::vector<Endpoint> &seeds);

    void opened(ConnectionId connection, bool inbound);
    void received(ConnectionId connection, PeerFrame frame);
    void closed(ConnectionId connection);
    //! Dials peers, checks timeouts and sends heartbeats. To be called every few tens of milliseconds.
    void tick();

    //! Sends over the link to an instance. Returns false if no link is open.
    bool send(const InstanceId &instance, const PeerMessage &message);
    //! Sends over the connection on which a message was received, in response to it.
    void reply(ConnectionId connection, const PeerMessage &message);
    //! Sends to an instance over its link or, if there is none or it is suspected, over the connection that the instance was last
    //! heard on; if there is neither, the message is dropped. For messages that need no response.
    void sendOnAnyConnection(const InstanceId &instance, const PeerMessage &message);
    //! Sends the status of this node on all connections immediately, so that each of them acknowledges a drain.
    void broadcastStatus();
    //! Sends the status of this node to an instance, like sendOnAnyConnection().
    void sendStatus(const InstanceId &instance);
    //! Sends the status of this node once to each linked or connected instance.
    void sendStatusToInstances();
    //! Changes the number of unanswered calls received over a connection. While it is not zero, heartbeats are sent at the
    //! shorter interval.
    void adjustUnansweredCalls(ConnectionId connection, int change);

    //! The instances of a service that can be called now, including this one.
    const std::vector<Candidate> &candidates(const ServiceName &service);
    //! Announces a new incarnation of this node on all connections.
    void setOwnCandidate(const Candidate &ownCandidate);

    //! The nodes with an inbound connection that have not acknowledged the drain of this node.
    std::vector<InstanceId> drainUnacknowledgedBy() const;

    std::size_t connectionCount() const;
    std::size_t linkCount() const;
    std::vector<LinkState> linkStates() const;
    //! The time of the last message received over a link to any of these instances.
    std::optional<TimePoint> lastReceivedFrom(const std::vector<InstanceId> &instances) const;

private:
    struct Connection
    {
        bool inbound = false;
        InstanceId instance;
        Incarnation incarnation;
        bool helloReceived = false;
        //! The remote end has acknowledged the drain of this node.
        bool drainAcknowledged = false;
        //! This node has acknowledged the drain of the remote end.
        bool drainAcknowledgementSent = false;
        int unansweredCalls = 0;
        TimePoint unansweredSince;
        TimePoint createdAt;
        TimePoint lastReceivedAt;
        TimePoint lastSentAt;
        QueueingDelayEstimator queueingDelayEstimator;
    };
    struct Peer
    {
        PublishedInstance published;
        bool isDesired = true;
        std::optional<ConnectionId> activeConnection;
        std::optional<ConnectionId> dialingConnection;
        //! When the link was first suspected to have failed. No new calls are sent to the peer until a message is received.
        std::optional<TimePoint> suspectedSince;
        //! Since when calls have been outstanding without interruption; the shorter timeout does not start before that.
        std::optional<TimePoint> outstandingSince;
        bool draining = false;
        Incarnation incarnation;
        int failedDials = 0;
        TimePoint nextDialAt;
    };

    bool isNeeded(const Peer &peer) const;
    void startDial(Peer &peer, TimePoint now);
    void dialFailed(Peer &peer, TimePoint now);
    void handleHello(ConnectionId id, Connection &connection, const HelloMessage &hello);
    void establishLink(Peer &peer, ConnectionId id, const HelloMessage &hello);
    void handleStatus(ConnectionId id, Connection &connection, const StatusMessage &status);
    StatusMessage statusFor(const Connection &connection) const;
    void checkPeer(Peer &peer, TimePoint now);
    void checkLiveness(Peer &peer, TimePoint now);
    void excludePause(TimePoint now);
    void closeSilentConnections(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendOn(ConnectionId id, Connection &connection, const PeerMessage &message);
    //! Returns the connection of the link to an instance; otherwise, or if the link is suspected, the connection that it was last
    //! heard on; otherwise the end.
    std::map<ConnectionId, Connection>::iterator findConnection(const InstanceId &instance);
    void closeConnection(ConnectionId id);
    void removeUndesiredPeers();
    Peer *findDialingPeer(ConnectionId id);

    Candidate m_ownCandidate;
    ServiceName m_ownService;
    Hooks m_hooks;
    RandomSource m_random;
    std::map<ConnectionId, Connection> m_connections;
    std::map<InstanceId, Peer> m_peers;
    std::vector<Endpoint> m_seeds;
    std::set<ConnectionId> m_seedDials;
    TimePoint m_nextSeedDialAt;
    std::map<ServiceName, std::vector<Candidate>> m_candidates;
    bool m_candidatesStale = true;
    TimePoint m_lastTickAt;
};

} // namespace chervilpaddle
