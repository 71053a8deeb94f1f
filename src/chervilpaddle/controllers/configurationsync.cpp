#include <chervilpaddle/controllers/configurationsync.h>

#include <chervilpaddle/contract/manifestdocument.h>

#include <algorithm>

namespace chervilpaddle {

namespace platformkeys {
const char *const manifest = "manifest";
const char *const instances = "instances";
std::string contract(const CustomerName &customer)
{
    return "contracts/" + customer.value();
}
} // namespace platformkeys

namespace {
constexpr Duration initialRetryDelay = std::chrono::milliseconds(250);
constexpr int maxBackoffDoublings = 2;
constexpr Duration peerFetchTimeout = std::chrono::milliseconds(300);
//! Two idle heartbeat intervals plus a margin. A node that receives nothing from any reader for this long reads the platform
//! itself.
constexpr Duration readerTimeout = std::chrono::seconds(11);
constexpr Duration fallbackInterval = std::chrono::seconds(8);
//! Read interval until the node has its first documents.
constexpr Duration bootstrapInterval = std::chrono::milliseconds(1000);
constexpr Duration contractRetryDelay = std::chrono::milliseconds(150);
} // namespace

//! State of fetching the contracts of one manifest, which are read one after the other.
struct ManifestFetch
{
    Manifest manifest;
    std::vector<CustomerName> missingContracts;
    std::map<CustomerName, std::string> contractTexts;
};

ConfigurationSync::ConfigurationSync(
    LocalNode localNode, ConfigurationController &configuration, MembershipController &membership, Hooks hooks, std::uint64_t seed)
    : m_localNode(std::move(localNode))
    , m_configuration(configuration)
    , m_membership(membership)
    , m_hooks(std::move(hooks))
    , m_random(seed)
{
}

void ConfigurationSync::start()
{
    m_nextFallbackAt = m_hooks.clock() + withJitter(bootstrapInterval);
    readFromPlatform(Document::Instances);
    readFromPlatform(Document::Manifest);
}

void ConfigurationSync::readFromPlatform(Document document)
{
    ++m_counters.reads;
    m_hooks.read(platformKey(document), [this, document](const PlatformResponse &response) {
        if (response.status == PlatformResponse::Status::Value) {
            handlePlatformValue(document, response.value);
        } else {
            ++m_counters.failures;
        }
    });
}

void ConfigurationSync::tick()
{
    if (isReader()) {
        startWatch(Document::Manifest);
        startWatch(Document::Instances);
        return;
    }
    const TimePoint now = m_hooks.clock();
    const bool hasDocuments = currentRevision(Document::Manifest).value() != 0 && currentRevision(Document::Instances).value() != 0;
    const auto lastReceived = m_hooks.lastReceivedFrom(readers());
    const bool areReadersReachable = lastReceived && now - *lastReceived < readerTimeout;
    if ((hasDocuments && areReadersReachable) || now < m_nextFallbackAt) {
        return;
    }
    m_nextFallbackAt = now + withJitter(hasDocuments ? fallbackInterval : bootstrapInterval);
    readFromPlatform(Document::Instances);
    readFromPlatform(Document::Manifest);
}

void ConfigurationSync::startWatch(Document document)
{
    Watch &watch = watchFor(document);
    if (watch.isActive) {
        return;
    }
    watch.isActive = true;
    ++m_counters.watches;
    m_hooks.watch(platformKey(document), currentRevision(document), [this, document](const PlatformResponse &response) {
        handleWatchResponse(document, response);
    });
}

void ConfigurationSync::handleWatchResponse(Document document, const PlatformResponse &response)
{
    Watch &watch = watchFor(document);
    if (response.status == PlatformResponse::Status::Failed) {
        ++m_counters.failures;
        const Duration delay = initialRetryDelay * (1 << std::min(watch.failures, maxBackoffDoublings));
        ++watch.failures;
        scheduleWatch(document, withJitter(delay));
        return;
    }
    watch.failures = 0;
    const Revision previous = currentRevision(document);
    if (response.status == PlatformResponse::Status::Value) {
        handlePlatformValue(document, response.value);
    }
    // If a value was not applied, the next watch returns it again immediately; the delay prevents a busy loop.
    const bool advanced = previous < currentRevision(document);
    const bool isStaleValue = response.status == PlatformResponse::Status::Value && !advanced;
    scheduleWatch(document, isStaleValue ? withJitter(initialRetryDelay) : Duration::zero());
}

void ConfigurationSync::scheduleWatch(Document document, Duration delay)
{
    m_hooks.schedule(delay, [this, document] {
        watchFor(document).isActive = false;
        if (isReader()) {
            startWatch(document);
        }
    });
}

void ConfigurationSync::handlePlatformValue(Document document, const std::string &value)
{
    if (document == Document::Instances) {
        applyInstances(value, m_counters.updatesFromPlatform);
        return;
    }
    if (const auto manifest = parseManifest(value); manifest) {
        handleManifest(*manifest);
    } else {
        ++m_counters.failures;
    }
}

void ConfigurationSync::handleManifest(const Manifest &manifest)
{
    if (!m_configuration.isNewer(manifest.revision) || m_isFetchingContracts) {
        return;
    }
    m_isFetchingContracts = true;
    auto fetch = std::make_shared<ManifestFetch>();
    fetch->manifest = manifest;
    fetch->missingContracts = m_configuration.missingContracts(manifest);
    fetchContracts(fetch);
}

void ConfigurationSync::fetchContracts(const std::shared_ptr<ManifestFetch> &fetch)
{
    if (fetch->missingContracts.empty()) {
        m_isFetchingContracts = false;
        applyConfiguration(fetch->manifest, fetch->contractTexts, m_counters.updatesFromPlatform);
        return;
    }
    const CustomerName customer = fetch->missingContracts.back();
    ++m_counters.reads;
    m_hooks.read(platformkeys::contract(customer), [this, fetch, customer](const PlatformResponse &response) {
        const bool matches = response.status == PlatformResponse::Status::Value
            && contractDigest(response.value) == fetch->manifest.contractDigests.at(customer);
        if (!matches) {
            // The contract was published between the two reads or is not available yet: start again with a newer manifest.
            ++m_counters.failures;
            m_isFetchingContracts = false;
            m_hooks.schedule(withJitter(contractRetryDelay), [this] { readFromPlatform(Document::Manifest); });
            return;
        }
        fetch->contractTexts[customer] = response.value;
        fetch->missingContracts.pop_back();
        fetchContracts(fetch);
    });
}

void ConfigurationSync::applyConfiguration(const Manifest &manifest,
                                           const std::map<CustomerName, std::string> &contractTexts,
                                           std::uint64_t &sourceCounter)
{
    if (m_configuration.apply(manifest, contractTexts) == ApplyResult::Applied) {
        ++sourceCounter;
        m_hooks.configurationChanged();
    }
}

void ConfigurationSync::applyInstances(const std::string &document, std::uint64_t &sourceCounter)
{
    const auto list = parseInstanceList(document);
    if (!list) {
        ++m_counters.failures;
        return;
    }
    if (m_membership.apply(*list, m_hooks.clock()) == ApplyResult::Applied) {
        ++sourceCounter;
        m_hooks.instancesChanged();
    }
}

void ConfigurationSync::received(const PeerEvent &event)
{
    if (const auto *status = std::get_if<StatusMessage>(&event.message); status != nullptr) {
        handleStatus(event, *status);
    } else if (const auto *request = std::get_if<ConfigurationRequest>(&event.message); request != nullptr) {
        serveConfiguration(event.connection, *request);
    } else if (const auto *instancesRequest = std::get_if<InstancesRequest>(&event.message); instancesRequest != nullptr) {
        serveInstances(event.connection, *instancesRequest);
    } else if (const auto *configuration = std::get_if<ConfigurationMessage>(&event.message); configuration != nullptr) {
        m_configurationFetch.isActive = false;
        if (const auto manifest = parseManifest(configuration->manifest); manifest) {
            applyConfiguration(*manifest, configuration->contractTexts, m_counters.updatesFromPeers);
        }
    } else if (const auto *instances = std::get_if<InstancesMessage>(&event.message); instances != nullptr) {
        m_instancesFetch.isActive = false;
        applyInstances(instances->document, m_counters.updatesFromPeers);
    }
}

void ConfigurationSync::handleStatus(const PeerEvent &event, const StatusMessage &status)
{
    if (m_configuration.isNewer(status.configurationRevision) && startPeerFetch(m_configurationFetch)) {
        const auto bundle = m_configuration.current();
        m_hooks.reply(event.connection, ConfigurationRequest{bundle->manifest.revision, bundle->manifest.contractDigests});
    }
    if (m_membership.version().revision < status.instancesRevision && startPeerFetch(m_instancesFetch)) {
        m_hooks.reply(event.connection, InstancesRequest{m_membership.version().revision});
    }
}

//! Limits fetches to one at a time: many peers announce the same change at once. An unanswered fetch expires.
bool ConfigurationSync::startPeerFetch(PeerFetch &fetch)
{
    const TimePoint now = m_hooks.clock();
    if (fetch.isActive && now - fetch.startedAt < peerFetchTimeout) {
        return false;
    }
    fetch = {true, now};
    return true;
}

void ConfigurationSync::serveConfiguration(ConnectionId connection, const ConfigurationRequest &request)
{
    const auto bundle = m_configuration.current();
    if (!(request.heldRevision < bundle->manifest.revision)) {
        return;
    }
    ConfigurationMessage response;
    response.manifest = formatManifest(bundle->manifest);
    for (const auto &[customer, digest] : bundle->manifest.contractDigests) {
        const auto peerDigest = request.heldDigests.find(customer);
        if (peerDigest == request.heldDigests.end() || peerDigest->second != digest) {
            response.contractTexts[customer] = bundle->texts.at(customer);
        }
    }
    m_hooks.reply(connection, response);
}

void ConfigurationSync::serveInstances(ConnectionId connection, const InstancesRequest &request)
{
    const auto list = m_membership.current();
    if (request.heldRevision < list->revision) {
        m_hooks.reply(connection, InstancesMessage{list->document});
    }
}

bool ConfigurationSync::isReader() const
{
    const auto &ids = readers();
    return std::find(ids.begin(), ids.end(), m_localNode.instance) != ids.end();
}

const std::vector<InstanceId> &ConfigurationSync::readers() const
{
    if (const Revision revision = m_membership.version().revision; revision != m_readersRevision) {
        m_readers = selectReaders(*m_membership.current(), m_localNode.dataCentre);
        m_readersRevision = revision;
    }
    return m_readers;
}

const SyncCounters &ConfigurationSync::counters() const
{
    return m_counters;
}

Duration ConfigurationSync::withJitter(Duration base)
{
    return randomDuration(m_random, base, 2 * base);
}

const char *ConfigurationSync::platformKey(Document document)
{
    return document == Document::Manifest ? platformkeys::manifest : platformkeys::instances;
}

Revision ConfigurationSync::currentRevision(Document document) const
{
    return document == Document::Manifest ? m_configuration.version().revision : m_membership.version().revision;
}

ConfigurationSync::Watch &ConfigurationSync::watchFor(Document document)
{
    return document == Document::Manifest ? m_manifestWatch : m_instancesWatch;
}

} // namespace chervilpaddle
