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
constexpr Duration firstRetry = std::chrono::milliseconds(250);
constexpr int mostDoublings = 2;
constexpr Duration peerFetchTimeout = std::chrono::milliseconds(300);
//! A node that has heard from no reader for two heartbeats reads for itself.
constexpr Duration readerSilence = std::chrono::seconds(11);
constexpr Duration fallbackInterval = std::chrono::seconds(8);
//! Until a node has its first documents it asks more often.
constexpr Duration bootstrapInterval = std::chrono::milliseconds(1000);
constexpr Duration contractRetry = std::chrono::milliseconds(150);
} // namespace

//! The contracts of one manifest, being read one by one.
struct ManifestFetch
{
    Manifest manifest;
    std::vector<CustomerName> missing;
    std::map<CustomerName, std::string> texts;
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
    m_nextFallback = m_hooks.clock() + jittered(bootstrapInterval);
    readOnce(Document::Instances);
    readOnce(Document::Manifest);
}

void ConfigurationSync::readOnce(Document document)
{
    ++m_counters.reads;
    m_hooks.read(keyOf(document), [this, document](const PlatformResponse &answer) {
        if (answer.status == PlatformResponse::Status::Value) {
            takePlatformValue(document, answer.value);
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
    const bool hasDocuments = heldRevision(Document::Manifest).value() != 0 && heldRevision(Document::Instances).value() != 0;
    const auto heard = m_hooks.lastReceivedFrom(readers());
    const bool readersAlive = heard && now - *heard < readerSilence;
    if ((hasDocuments && readersAlive) || now < m_nextFallback) {
        return;
    }
    m_nextFallback = now + jittered(hasDocuments ? fallbackInterval : bootstrapInterval);
    readOnce(Document::Instances);
    readOnce(Document::Manifest);
}

void ConfigurationSync::startWatch(Document document)
{
    Watch &watch = watchOf(document);
    if (watch.running) {
        return;
    }
    watch.running = true;
    ++m_counters.watches;
    m_hooks.watch(
        keyOf(document), heldRevision(document), [this, document](const PlatformResponse &answer) { watchAnswered(document, answer); });
}

void ConfigurationSync::watchAnswered(Document document, const PlatformResponse &answer)
{
    Watch &watch = watchOf(document);
    if (answer.status == PlatformResponse::Status::Failed) {
        ++m_counters.failures;
        const Duration delay = firstRetry * (1 << std::min(watch.failures, mostDoublings));
        ++watch.failures;
        scheduleWatch(document, jittered(delay));
        return;
    }
    watch.failures = 0;
    const Revision before = heldRevision(document);
    if (answer.status == PlatformResponse::Status::Value) {
        takePlatformValue(document, answer.value);
    }
    // A value that was not adopted would be answered again at once.
    const bool advanced = before < heldRevision(document);
    const bool waitABit = answer.status == PlatformResponse::Status::Value && !advanced;
    scheduleWatch(document, waitABit ? jittered(firstRetry) : Duration::zero());
}

void ConfigurationSync::scheduleWatch(Document document, Duration delay)
{
    m_hooks.schedule(delay, [this, document] {
        watchOf(document).running = false;
        if (isReader()) {
            startWatch(document);
        }
    });
}

void ConfigurationSync::takePlatformValue(Document document, const std::string &value)
{
    if (document == Document::Instances) {
        takeInstances(value, m_counters.updatesFromPlatform);
        return;
    }
    if (const auto manifest = parseManifest(value); manifest) {
        takeManifest(*manifest);
    } else {
        ++m_counters.failures;
    }
}

void ConfigurationSync::takeManifest(const Manifest &manifest)
{
    if (!m_configuration.isNewer(manifest.revision) || m_contractsBeingRead) {
        return;
    }
    m_contractsBeingRead = true;
    auto fetch = std::make_shared<ManifestFetch>();
    fetch->manifest = manifest;
    fetch->missing = m_configuration.missingContracts(manifest);
    fetchContracts(fetch);
}

void ConfigurationSync::fetchContracts(const std::shared_ptr<ManifestFetch> &fetch)
{
    if (fetch->missing.empty()) {
        m_contractsBeingRead = false;
        takeConfiguration(fetch->manifest, fetch->texts, m_counters.updatesFromPlatform);
        return;
    }
    const CustomerName customer = fetch->missing.back();
    ++m_counters.reads;
    m_hooks.read(platformkeys::contract(customer), [this, fetch, customer](const PlatformResponse &answer) {
        const bool matches =
            answer.status == PlatformResponse::Status::Value && contractDigest(answer.value) == fetch->manifest.contractDigests.at(customer);
        if (!matches) {
            // Published between the two reads, or not there yet: start again from a newer manifest.
            ++m_counters.failures;
            m_contractsBeingRead = false;
            m_hooks.schedule(jittered(contractRetry), [this] { readOnce(Document::Manifest); });
            return;
        }
        fetch->texts[customer] = answer.value;
        fetch->missing.pop_back();
        fetchContracts(fetch);
    });
}

void ConfigurationSync::takeConfiguration(const Manifest &manifest, const std::map<CustomerName, std::string> &texts, std::uint64_t &source)
{
    if (m_configuration.apply(manifest, texts) == ApplyResult::Applied) {
        ++source;
        m_hooks.configurationChanged();
    }
}

void ConfigurationSync::takeInstances(const std::string &document, std::uint64_t &source)
{
    const auto list = parseInstanceList(document);
    if (!list) {
        ++m_counters.failures;
        return;
    }
    if (m_membership.apply(*list, m_hooks.clock()) == ApplyResult::Applied) {
        ++source;
        m_hooks.instancesChanged();
    }
}

void ConfigurationSync::received(const PeerEvent &event)
{
    if (const auto *status = std::get_if<StatusMessage>(&event.message); status != nullptr) {
        takeStatus(event, *status);
    } else if (const auto *request = std::get_if<ConfigurationRequest>(&event.message); request != nullptr) {
        serveConfiguration(event.connection, *request);
    } else if (const auto *instancesRequest = std::get_if<InstancesRequest>(&event.message); instancesRequest != nullptr) {
        serveInstances(event.connection, *instancesRequest);
    } else if (const auto *configuration = std::get_if<ConfigurationMessage>(&event.message); configuration != nullptr) {
        m_configurationFetch.running = false;
        if (const auto manifest = parseManifest(configuration->manifest); manifest) {
            takeConfiguration(*manifest, configuration->texts, m_counters.updatesFromPeers);
        }
    } else if (const auto *instances = std::get_if<InstancesMessage>(&event.message); instances != nullptr) {
        m_instancesFetch.running = false;
        takeInstances(instances->document, m_counters.updatesFromPeers);
    }
}

void ConfigurationSync::takeStatus(const PeerEvent &event, const StatusMessage &status)
{
    if (m_configuration.isNewer(status.configuration) && beginPeerFetch(m_configurationFetch)) {
        const auto bundle = m_configuration.current();
        m_hooks.reply(event.connection, ConfigurationRequest{bundle->manifest.revision, bundle->manifest.contractDigests});
    }
    if (m_membership.version().revision < status.instances && beginPeerFetch(m_instancesFetch)) {
        m_hooks.reply(event.connection, InstancesRequest{m_membership.version().revision});
    }
}

//! One fetch at a time: a change reaches a node over many links at once.
bool ConfigurationSync::beginPeerFetch(PeerFetch &fetch)
{
    const TimePoint now = m_hooks.clock();
    if (fetch.running && now - fetch.since < peerFetchTimeout) {
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
    ConfigurationMessage answer;
    answer.manifest = formatManifest(bundle->manifest);
    for (const auto &[customer, digest] : bundle->manifest.contractDigests) {
        const auto held = request.heldDigests.find(customer);
        if (held == request.heldDigests.end() || held->second != digest) {
            answer.texts[customer] = bundle->texts.at(customer);
        }
    }
    m_hooks.reply(connection, answer);
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
    const auto &all = readers();
    return std::find(all.begin(), all.end(), m_localNode.instance) != all.end();
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

Duration ConfigurationSync::jittered(Duration base)
{
    return base + fromSeconds(toSeconds(base) * uniformFraction(m_random));
}

const char *ConfigurationSync::keyOf(Document document)
{
    return document == Document::Manifest ? platformkeys::manifest : platformkeys::instances;
}

Revision ConfigurationSync::heldRevision(Document document) const
{
    return document == Document::Manifest ? m_configuration.version().revision : m_membership.version().revision;
}

ConfigurationSync::Watch &ConfigurationSync::watchOf(Document document)
{
    return document == Document::Manifest ? m_manifestWatch : m_instancesWatch;
}

} // namespace chervilpaddle
