#pragma once

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/configurationcontroller.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/peerselection.h>

#include <functional>
#include <optional>

namespace chervilpaddle {

//! The platform's answer to a read or a watch.
struct PlatformResponse
{
    enum class Status {
        Value,
        Unchanged, //!< A watch ended without news.
        Failed,
    };
    Status status = Status::Failed;
    std::string value;
};

//! Keys of the platform's service as this project reads them.
namespace platformkeys {
extern const char *const manifest;
extern const char *const instances;
std::string contract(const CustomerName &customer);
} // namespace platformkeys

//! Counters of the reads that a node made.
struct SyncCounters
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    std::uint64_t updatesFromPeers = 0;
    std::uint64_t updatesFromPlatform = 0;
};

//! Keeps the contracts and the instance list up to date. A few readers in each data centre watch the platform;
//! the other nodes learn from peers, who tell their revision with every status. A node that hears from no reader
//! falls back to reading, rarely and with jitter. Does no I/O. Not thread safe.
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
        //! When anything was last heard from one of the readers.
        std::function<std::optional<TimePoint>(const std::vector<InstanceId> &)> lastReceivedFrom;
        std::function<void()> configurationChanged;
        std::function<void()> instancesChanged;
    };

    ConfigurationSync(
        LocalNode localNode, ConfigurationController &configuration, MembershipController &membership, Hooks hooks, std::uint64_t seed);

    //! Begins reading the platform.
    void start();
    //! Takes a peer's status, request or document; other messages are ignored.
    void received(const PeerEvent &event);
    //! Checks roles and fallback; call a few times a second.
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
        bool running = false;
        int failures = 0;
    };
    struct PeerFetch
    {
        bool running = false;
        TimePoint since;
    };

    void readOnce(Document document);
    void startWatch(Document document);
    void watchAnswered(Document document, const PlatformResponse &answer);
    void scheduleWatch(Document document, Duration delay);
    void takePlatformValue(Document document, const std::string &value);
    void takeManifest(const Manifest &manifest);
    void fetchContracts(const std::shared_ptr<struct ManifestFetch> &fetch);
    void takeInstances(const std::string &document, std::uint64_t &source);
    void takeConfiguration(const Manifest &manifest, const std::map<CustomerName, std::string> &texts, std::uint64_t &source);
    void takeStatus(const PeerEvent &event, const StatusMessage &status);
    bool beginPeerFetch(PeerFetch &fetch);
    void serveConfiguration(ConnectionId connection, const ConfigurationRequest &request);
    void serveInstances(ConnectionId connection, const InstancesRequest &request);
    //! The readers of the own data centre by the list in force; kept until the list changes.
    const std::vector<InstanceId> &readers() const;
    Duration jittered(Duration base);
    static const char *keyOf(Document document);
    Revision heldRevision(Document document) const;
    Watch &watchOf(Document document);

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
    bool m_contractsBeingRead = false;
    mutable std::vector<InstanceId> m_readers;
    mutable Revision m_readersRevision;
    TimePoint m_nextFallback;
};

} // namespace chervilpaddle
