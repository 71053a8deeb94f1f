#pragma once

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/configurationcontroller.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/peerselection.h>

#include <functional>
#include <optional>

namespace chervilpaddle {

//! The platform's response to a read or a watch.
struct PlatformResponse
{
    enum class Status {
        Value,
        Unchanged, //!< A watch ended without a change.
        Failed,
    };
    Status status = Status::Failed;
    std::string value;
};

//! The keys under which the platform's configuration service stores the documents.
namespace platformkeys {
extern const char *const manifest;
extern const char *const instances;
std::string contract(const CustomerName &customer);
} // namespace platformkeys

//! Counters of platform requests and of applied updates.
struct SyncCounters
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    std::uint64_t updatesFromPeers = 0;
    std::uint64_t updatesFromPlatform = 0;
};

//! Keeps the contracts and the instance list up to date. A few readers in each data centre watch the platform. The other nodes
//! fetch updates from peers, which announce their revisions in every status message. A node that receives nothing from any
//! reader falls back to reading the platform, at a low rate and with jitter. Does no I/O. Not thread-safe.
class ConfigurationSync
{
public:
    using ResponseHandler = std::function<void(const PlatformResponse &)>;
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        std::function<void(const std::string &key, ResponseHandler)> read;
        std::function<void(const std::string &key, Revision after, ResponseHandler)> watch;
        std::function<void(ConnectionId, const PeerMessage &)> reply;
        //! The time of the last message received from any of these instances.
        std::function<std::optional<TimePoint>(const std::vector<InstanceId> &)> lastReceivedFrom;
        std::function<void()> configurationChanged;
        std::function<void()> instancesChanged;
    };

    ConfigurationSync(
        LocalNode localNode, ConfigurationController &configuration, MembershipController &membership, Hooks hooks, std::uint64_t seed);

    //! Reads both documents from the platform.
    void start();
    //! Handles status messages, requests and documents from peers; other messages are ignored.
    void received(const PeerEvent &event);
    //! Starts watches if this node is a reader, otherwise checks for the fallback. To be called a few times per second.
    void tick();

    bool isReader() const;
    const SyncCounters &counters() const;

private:
    enum class Document {
        Manifest,
        Instances,
    };
    struct Watch
    {
        bool isActive = false;
        int failures = 0;
    };
    struct PeerFetch
    {
        bool isActive = false;
        TimePoint startedAt;
    };

    void readFromPlatform(Document document);
    void startWatch(Document document);
    void handleWatchResponse(Document document, const PlatformResponse &response);
    void scheduleWatch(Document document, Duration delay);
    void handlePlatformValue(Document document, const std::string &value);
    void handleManifest(const Manifest &manifest);
    void fetchContracts(const std::shared_ptr<struct ManifestFetch> &fetch);
    void applyInstances(const std::string &document, std::uint64_t &sourceCounter);
    void
    applyConfiguration(const Manifest &manifest, const std::map<CustomerName, std::string> &contractTexts, std::uint64_t &sourceCounter);
    void handleStatus(const PeerEvent &event, const StatusMessage &status);
    bool startPeerFetch(PeerFetch &fetch);
    void serveConfiguration(ConnectionId connection, const ConfigurationRequest &request);
    void serveInstances(ConnectionId connection, const InstancesRequest &request);
    //! The readers of the local data centre according to the list in force; cached until the list changes.
    const std::vector<InstanceId> &readers() const;
    Duration withJitter(Duration base);
    static const char *platformKey(Document document);
    Revision currentRevision(Document document) const;
    Watch &watchFor(Document document);

    LocalNode m_localNode;
    ConfigurationController &m_configuration;
    MembershipController &m_membership;
    Hooks m_hooks;
    RandomSource m_random;
    SyncCounters m_counters;
    Watch m_manifestWatch;
    Watch m_instancesWatch;
    PeerFetch m_configurationFetch;
    PeerFetch m_instancesFetch;
    bool m_isFetchingContracts = false;
    mutable std::vector<InstanceId> m_readers;
    mutable Revision m_readersRevision;
    TimePoint m_nextFallbackAt;
};

} // namespace chervilpaddle
