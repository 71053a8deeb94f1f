#pragma once

#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/prefixmirror.h>
#include <chervilpaddle/controllers/readerrole.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilpaddle {

//! Counters of the messages that replicate the store's items between nodes.
struct ReplicationCounters
{
    std::uint64_t documentsSent = 0;
    std::uint64_t documentBytesSent = 0;
    std::uint64_t documentsApplied = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t reportsSent = 0;
};

//! Keeps the configuration and the instance entries of the platform's store up to date at every node. The readers of each data
//! centre watch the store and send each change once to the nodes of their data centre and to the readers of the others. A node that
//! has missed a change asks one peer at a time for the changes since the position that it holds. See docs/design/control-traffic.md.
//! Does no I/O. Not thread-safe.
class StoreReplication
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        StoreReader reader;
        //! Sends a message to an instance over any open link.
        std::function<void(const InstanceId &, const PeerMessage &)> send;
        std::function<void(ConnectionId, const PeerMessage &)> reply;
        //! Sends the status of this node to an instance. It reports this node's access to the store.
        std::function<void(const InstanceId &)> sendStatus;
        std::function<void()> configurationChanged;
        std::function<void()> instancesChanged;
        //! Whether an instance entry that was written again says nothing new. If not set, each write is a change.
        std::function<bool(const StoreItem &previous, const StoreItem &next)> isHeartbeat = nullptr;
        //! Called when items of a newer era are held, before the hook for their change. `what` names the items. May be empty.
        std::function<void(const char *what, const StoreEraChange &)> eraChanged = nullptr;
        //! Called when this node's own access to the store is gained or lost. `what` names the items.
        std::function<void(const char *what, bool isAvailable)> availabilityChanged;
        //! Called when the store has not responded in time on an open connection. `what` names the items. May be empty.
        std::function<void(const char *what)> requestTimedOut = nullptr;
        //! A document of a peer cannot be read.
        std::function<void(const InstanceId &)> documentRejected;
    };
    struct Options
    {
        LocalNode localNode;
        std::string configurationPrefix;
        std::string instancesPrefix;
        std::uint64_t seed = 0;
    };

    StoreReplication(const Options &options, Hooks hooks);

    //! Reads all items from the store.
    void start();
    //! Sets the published instances. Precondition: called whenever they change.
    void setInstances(const InstanceList &list);
    //! Reads or stops reading the store, and reports to the nodes that rely on this one. To be called about ten times per second.
    void tick();
    //! Handles status messages, requests and documents of peers. Other messages are ignored.
    void received(const PeerEvent &event);
    //! For how long this node has had access to the store; nullopt if it has none or does not read it.
    std::optional<Duration> storeAvailableFor() const;

    const PrefixMirror &configuration() const;
    const PrefixMirror &instances() const;
    const ReaderRole &role() const;
    const ReplicationCounters &counters() const;

private:
    //! One replicated prefix of the store.
    struct Replica
    {
        std::unique_ptr<PrefixMirror> mirror;
        std::function<PeerMessage(std::string document)> message;
        std::function<PeerMessage(const StorePosition &held)> request;
        //! Receivers were sent all changes up to this position.
        std::optional<StorePosition> passedOn;
        bool isPassingOnScheduled = false;
        //! When changes were last requested from a peer; not set if no request is pending.
        std::optional<TimePoint> requestedAt;
    };

    void makeReplica(Replica &replica, const std::string &prefix, const char *what, PrefixMirror::Hooks hooks);
    void updateReading();
    void schedulePassingOn(Replica &replica);
    void passOn(Replica &replica);
    std::vector<InstanceId> takeReceivers(const Replica &replica);
    void handleStatus(const PeerEvent &event, const StatusMessage &status);
    void handleDocument(Replica &replica, const PeerEvent &event, const std::string &document);
    void requestIfBehind(Replica &replica, ConnectionId connection, const StorePosition &peerLastChange);
    void request(Replica &replica, ConnectionId connection);
    void serve(const Replica &replica, ConnectionId connection, const StorePosition &held);

    Hooks m_hooks;
    RandomSource m_random;
    ReaderRole m_role;
    Replica m_configuration;
    Replica m_instances;
    //! Receivers that are no longer listed and have not been sent the change that removed them.
    std::set<InstanceId> m_unlistedReceivers;
    ReplicationCounters m_counters;
    TimePoint m_reportedAt;
};

} // namespace chervilpaddle
