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

//! Names one connection of the peer transport; never used twice by a process.
using ConnectionId = StrongNumber<struct ConnectionIdTag>;

//! A message from a peer that has introduced itself.
struct PeerEvent
{
    ConnectionId connection;
    InstanceId instance;
    PeerMessage message;
    //! Estimated time from the arrival of the frame until it was read.
    Duration queueingDelay{};
};

//! How one link stands, for the dump.
struct LinkState
{
    InstanceId instance;
    Incarnation incarnation;
    bool isOpen = false;
    bool isSuspected = false;
    bool draining = false;
    int failedDials = 0;
    //! Since anything was heard; zero where the link is not open.
    Duration timeSinceReceived{};
};

//! Keeps links to the wanted peers: opens them, notices silent ones, races a new one while the old one is in
//! doubt, and tells who can be reached. Does no I/O. Not thread safe.
class LinkController
{
public:
    struct Hooks
    {
        Clock clock;
        std::function<ConnectionId(const Endpoint &)> dial;
        std::function<void(ConnectionId, const PeerMessage &)> send;
        std::function<void(ConnectionId)> close;
        //! What this node says of itself.
        std::function<HelloMessage()> hello;
        std::function<StatusMessage()> status;
        //! Whether calls are waiting for answers of this instance.
        std::function<bool(const InstanceId &)> hasOutstanding;
        //! No link to the instance can be opened though calls are waiting.
        std::function<void(const InstanceId &)> unreachable;
        std::function<void(const InstanceId &, Incarnation)> incarnationChanged;
        std::function<void(const InstanceId &)> linkEstablished;
        //! Any message but hello.
        std::function<void(const PeerEvent &)> received;
    };

    LinkController(Candidate self, ServiceName ownService, Hooks hooks, std::uint64_t seed);

    //! The peers to keep links to; links to others are closed once nothing waits on them.
    void setDesiredPeers(const std::vector<PublishedInstance> &wanted);
    //! Addresses to ask while no list is known; who answers there is learnt from its hello.
    void setSeeds(const std::vector<Endpoint> &seeds);

    void opened(ConnectionId connection, bool inbound);
    void received(ConnectionId connection, const PeerFrame &frame);
    void closed(ConnectionId connection);
    //! Opens, checks and refreshes links; call every few dozen milliseconds.
    void tick();

    //! Sends over the link to an instance; false where none is open.
    bool send(const InstanceId &instance, const PeerMessage &message);
    //! Sends over a connection, in answer to a message that came over it.
    void reply(ConnectionId connection, const PeerMessage &message);
    //! Tells all peers of the node's state at once.
    void broadcastStatus();
    //! Counts calls that came over a connection and are not answered yet: it gets heartbeats more often.
    void adjustUnansweredCalls(ConnectionId connection, int change);

    //! The instances of a service that can be called now, this one included.
    const std::vector<Candidate> &candidates(const ServiceName &service);
    void setSelf(const Candidate &self);

    //! The nodes that hold a connection to this one and have not said that they know of its drain.
    std::vector<InstanceId> drainUnacknowledgedBy() const;

    std::size_t connectionCount() const;
    std::size_t linkCount() const;
    std::vector<LinkState> linkStates() const;
    //! When anything was last heard over a link to one of these instances.
    std::optional<TimePoint> lastReceivedFrom(const std::vector<InstanceId> &instances) const;

private:
    struct Connection
    {
        bool inbound = false;
        InstanceId instance;
        Incarnation incarnation;
        bool introduced = false;
        //! The other end knows of this node's drain; this end has said so of the other's.
        bool drainSeen = false;
        bool drainConfirmed = false;
        int unanswered = 0;
        TimePoint unansweredSince;
        TimePoint created;
        TimePoint lastHeard;
        TimePoint lastSent;
        QueueingDelayEstimator queueingDelayEstimator;
    };
    struct Peer
    {
        PublishedInstance published;
        bool wanted = true;
        std::optional<ConnectionId> current;
        std::optional<ConnectionId> dialing;
        //! Since when the link has been silent though calls queueingDelay: no new ones go there until it is heard again.
        std::optional<TimePoint> doubtSince;
        //! Since when calls have been waiting without a break; before that nothing had to be heard soon.
        std::optional<TimePoint> busySince;
        bool draining = false;
        Incarnation incarnation;
        int failures = 0;
        TimePoint nextDial;
    };

    void startDial(Peer &peer, TimePoint now);
    void dialFailed(Peer &peer, TimePoint now);
    void introduce(ConnectionId id, Connection &connection, const HelloMessage &hello);
    void adopt(Peer &peer, ConnectionId id, const HelloMessage &hello);
    void takeStatus(ConnectionId id, Connection &connection, const StatusMessage &status);
    StatusMessage statusFor(const Connection &connection) const;
    void checkPeer(Peer &peer, TimePoint now);
    void checkSilence(Peer &peer, TimePoint now);
    void forgiveGap(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendOver(ConnectionId id, Connection &connection, const PeerMessage &message);
    void drop(ConnectionId id);
    void dropUnwanted();
    Peer *peerDialing(ConnectionId id);

    Candidate m_self;
    ServiceName m_ownService;
    Hooks m_hooks;
    RandomSource m_random;
    std::map<ConnectionId, Connection> m_connections;
    std::map<InstanceId, Peer> m_peers;
    std::vector<Endpoint> m_seeds;
    std::set<ConnectionId> m_seedDials;
    TimePoint m_nextSeedDial;
    std::map<ServiceName, std::vector<Candidate>> m_candidates;
    bool m_candidatesStale = true;
    TimePoint m_lastTick;
};

} // namespace chervilpaddle
