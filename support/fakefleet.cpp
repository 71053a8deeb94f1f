#include "fakefleet.h"

#include <chervilpaddle/contract/manifestdocument.h>

namespace chervilpaddle::support {

namespace {

constexpr Duration platformLatency = std::chrono::milliseconds(5);
constexpr Duration linkLatency = std::chrono::milliseconds(2);
constexpr Duration failureLatency = std::chrono::milliseconds(50);
constexpr Duration watchTimeout = std::chrono::seconds(30);
constexpr Duration tickPeriod = std::chrono::milliseconds(250);
constexpr Duration heartbeatPeriod = std::chrono::seconds(5);
constexpr std::size_t serviceCount = 33;

} // namespace

FakePlatform::FakePlatform(VirtualTime &time)
    : m_time(time)
{
}

void FakePlatform::publishContracts(const std::map<std::string, std::string> &contracts)
{
    Manifest manifest;
    manifest.revision = Revision(++m_manifestRevision);
    for (std::size_t service = 0; service < serviceCount; ++service) {
        manifest.services.emplace_back("s" + std::to_string(service));
    }
    for (const auto &[customer, text] : contracts) {
        manifest.contractDigests[CustomerName(customer)] = contractDigest(text);
        m_documents[platformkeys::contract(CustomerName(customer))] = {m_manifestRevision, text};
    }
    m_documents[platformkeys::manifest] = {m_manifestRevision, formatManifest(manifest)};
    if (m_oldestDocuments.empty()) {
        m_oldestDocuments = m_documents;
    }
    notifyWatchers();
}

void FakePlatform::publishInstances(InstanceList list)
{
    list.revision = Revision(++m_instancesRevision);
    m_documents[platformkeys::instances] = {m_instancesRevision, formatInstanceList(list)};
    notifyWatchers();
}

void FakePlatform::setDown(bool down)
{
    m_down = down;
    if (!down) {
        return;
    }
    for (Watcher &watcher : m_watchers) {
        replyLater(watcher.reply, {});
    }
    m_watchers.clear();
}

void FakePlatform::restoreOldestDocuments()
{
    const Document instances = m_documents[platformkeys::instances];
    m_documents = m_oldestDocuments;
    m_documents[platformkeys::instances] = instances;
}

bool FakePlatform::isReachable(const std::string &dataCentre) const
{
    return !m_down && unreachableFrom.count(dataCentre) == 0;
}

void FakePlatform::replyLater(ConfigurationSync::ResponseHandler reply, PlatformResponse answer)
{
    const Duration delay = answer.status == PlatformResponse::Status::Failed ? failureLatency : platformLatency;
    m_time.after(delay, [reply = std::move(reply), answer = std::move(answer)] { reply(answer); });
}

void FakePlatform::read(const std::string &dataCentre, const std::string &key, ConfigurationSync::ResponseHandler reply)
{
    ++m_requestCount;
    const auto document = m_documents.find(key);
    if (!isReachable(dataCentre) || document == m_documents.end()) {
        replyLater(std::move(reply), {});
        return;
    }
    replyLater(std::move(reply), {PlatformResponse::Status::Value, document->second.text});
}

void FakePlatform::watch(const std::string &dataCentre, const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply)
{
    ++m_requestCount;
    if (!isReachable(dataCentre)) {
        replyLater(std::move(reply), {});
        return;
    }
    const auto document = m_documents.find(key);
    if (document != m_documents.end() && document->second.revision > after.value()) {
        replyLater(std::move(reply), {PlatformResponse::Status::Value, document->second.text});
        return;
    }
    const auto watcher = m_watchers.insert(m_watchers.end(), {dataCentre, key, after.value(), reply});
    // The time-out and a publication can both end the watch; only the first one is reported.
    const auto ended = std::make_shared<bool>(false);
    watcher->reply = [ended, reply = std::move(reply)](const PlatformResponse &answer) {
        if (!std::exchange(*ended, true)) {
            reply(answer);
        }
    };
    m_time.after(watchTimeout, [replyOnce = watcher->reply] { replyOnce({PlatformResponse::Status::Unchanged, {}}); });
}

void FakePlatform::notifyWatchers()
{
    for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
        const auto document = m_documents.find(watcher->key);
        const bool isNew = document != m_documents.end() && document->second.revision > watcher->after;
        if (m_down || !isNew) {
            ++watcher;
            continue;
        }
        if (isReachable(watcher->dataCentre)) {
            replyLater(watcher->reply, {PlatformResponse::Status::Value, document->second.text});
        }
        watcher = m_watchers.erase(watcher);
    }
}

std::uint64_t FakePlatform::requestCount() const
{
    return m_requestCount;
}

FakeFleet::FakeFleet(VirtualTime &time, FakePlatform &platform, std::size_t nodes, std::size_t dataCentres, std::uint64_t seed)
    : m_time(time)
    , m_platform(platform)
    , m_dataCentres(dataCentres)
    , m_random(seed)
    , m_nodes(nodes)
{
}

std::string FakeFleet::instanceName(std::size_t node)
{
    return "n" + std::to_string(node);
}

std::string FakeFleet::dataCentreOf(std::size_t node) const
{
    return "dc" + std::to_string(node % m_dataCentres);
}

InstanceList FakeFleet::instanceList() const
{
    InstanceList list;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        PublishedInstance instance;
        instance.instance = InstanceId(instanceName(node));
        instance.service = ServiceName("s" + std::to_string(node % serviceCount));
        instance.dataCentre = DataCentreName(dataCentreOf(node));
        instance.peerAddress = {"127.0.0.1", 9000};
        instance.slots = 100;
        instance.connections = 750;
        list.instances.push_back(instance);
    }
    return list;
}

void FakeFleet::startAll()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        startNode(node, {});
    }
}

void FakeFleet::restart(std::size_t node, const std::vector<std::size_t> &seeds)
{
    kill(node);
    m_replacedNodes.push_back(std::move(m_nodes[node]));
    m_nodes[node] = {};
    startNode(node, seeds);
}

void FakeFleet::kill(std::size_t node)
{
    *m_nodes[node].alive = false;
}

void FakeFleet::startNode(std::size_t number, const std::vector<std::size_t> &seeds)
{
    Node &node = m_nodes[number];
    node.instance = InstanceId(instanceName(number));
    node.configuration = std::make_unique<ConfigurationController>();
    node.membership = std::make_unique<MembershipController>();
    node.seeds = seeds;
    node.alive = std::make_shared<bool>(true);
    const auto alive = node.alive;
    const auto ifAlive = [alive](ConfigurationSync::ResponseHandler reply) {
        return [alive, reply = std::move(reply)](const PlatformResponse &answer) {
            if (*alive) {
                reply(answer);
            }
        };
    };
    ConfigurationSync::Hooks hooks;
    hooks.clock = m_time.clock();
    hooks.schedule = [this, alive](Duration delay, std::function<void()> action) {
        m_time.after(delay, [alive, action = std::move(action)] {
            if (*alive) {
                action();
            }
        });
    };
    hooks.read = [this, number, ifAlive](const std::string &key, ConfigurationSync::ResponseHandler reply) {
        m_platform.read(dataCentreOf(number), key, ifAlive(std::move(reply)));
    };
    hooks.watch = [this, number, ifAlive](const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply) {
        m_platform.watch(dataCentreOf(number), key, after, ifAlive(std::move(reply)));
    };
    hooks.reply = [this, number](ConnectionId connection, const PeerMessage &message) { send(number, connection.value() - 1, message); };
    hooks.lastReceivedFrom = [this, number](const std::vector<InstanceId> &readers) {
        std::optional<TimePoint> last;
        for (const InstanceId &reader : readers) {
            if (const auto lastReceived = m_nodes[number].lastReceived.find(reader.value());
                lastReceived != m_nodes[number].lastReceived.end()) {
                last = std::max(last.value_or(TimePoint()), lastReceived->second);
            }
        }
        return last;
    };
    hooks.configurationChanged = [this, number] { broadcast(number); };
    hooks.instancesChanged = [this, number] { broadcast(number); };
    const LocalNode localNode{
        node.instance, DataCentreName(dataCentreOf(number)), ServiceName("s" + std::to_string(number % serviceCount)), {}};
    node.sync = std::make_unique<ConfigurationSync>(localNode, *node.configuration, *node.membership, std::move(hooks), m_random());
    node.sync->start();
    // Both ends of a new link announce their revisions at once.
    broadcast(number);
    tick(number, alive);
    heartbeat(number, alive);
}

void FakeFleet::tick(std::size_t node, const std::shared_ptr<bool> &alive)
{
    m_time.after(tickPeriod, [this, node, alive] {
        if (*alive) {
            m_nodes[node].sync->tick();
            tick(node, alive);
        }
    });
}

void FakeFleet::heartbeat(std::size_t node, const std::shared_ptr<bool> &alive)
{
    m_time.after(heartbeatPeriod, [this, node, alive] {
        if (*alive) {
            broadcast(node);
            heartbeat(node, alive);
        }
    });
}

void FakeFleet::broadcast(std::size_t node)
{
    StatusMessage status;
    status.configurationRevision = m_nodes[node].configuration->version().revision;
    status.instancesRevision = m_nodes[node].membership->version().revision;
    for (const std::size_t peer : peersOf(node)) {
        send(node, peer, status);
        // The peer's own status comes back over the same link.
        StatusMessage peerStatus;
        peerStatus.configurationRevision = m_nodes[peer].configuration ? m_nodes[peer].configuration->version().revision : Revision();
        peerStatus.instancesRevision = m_nodes[peer].membership ? m_nodes[peer].membership->version().revision : Revision();
        send(peer, node, peerStatus);
    }
}

const std::set<std::size_t> &FakeFleet::peersOf(std::size_t number) const
{
    const Node &node = m_nodes[number];
    const Revision revision = node.membership->version().revision;
    if (revision.value() == 0 || node.peersRevision != revision) {
        node.peers = choosePeers(number);
        node.peersRevision = revision;
    }
    return node.peers;
}

//! The peers that a node connects to, and those that connect to it. Without an instance list these are its seeds.
std::set<std::size_t> FakeFleet::choosePeers(std::size_t node) const
{
    const auto list = m_nodes[node].membership->current();
    std::set<std::size_t> peers(m_nodes[node].seeds.begin(), m_nodes[node].seeds.end());
    if (list->revision.value() == 0) {
        return peers;
    }
    const LocalNode localNode{
        m_nodes[node].instance, DataCentreName(dataCentreOf(node)), ServiceName("s" + std::to_string(node % serviceCount)), {}};
    for (const PublishedInstance &peer : selectPeers(*list, localNode)) {
        peers.insert(std::stoul(peer.instance.value().substr(1)));
    }
    // All nodes of its data centre connect to a reader, and these links carry its status too.
    const auto readers = selectReaders(*list, localNode.dataCentre);
    for (const InstanceId &reader : readers) {
        if (reader == localNode.instance) {
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                if (other != node && dataCentreOf(other) == dataCentreOf(node)) {
                    peers.insert(other);
                }
            }
        }
    }
    return peers;
}

bool FakeFleet::areConnected(std::size_t a, std::size_t b) const
{
    return partitions.count({dataCentreOf(a), dataCentreOf(b)}) == 0 && partitions.count({dataCentreOf(b), dataCentreOf(a)}) == 0;
}

void FakeFleet::send(std::size_t from, std::size_t to, const PeerMessage &message)
{
    if (!areConnected(from, to) || !m_nodes[to].alive || !*m_nodes[to].alive || !m_nodes[from].alive || !*m_nodes[from].alive) {
        return;
    }
    m_time.after(linkLatency, [this, from, to, message, alive = m_nodes[to].alive] {
        if (*alive) {
            m_nodes[to].lastReceived[instanceName(from)] = m_time.now();
            m_nodes[to].sync->received({ConnectionId(from + 1), InstanceId(instanceName(from)), message, Duration::zero()});
        }
    });
}

std::size_t FakeFleet::size() const
{
    return m_nodes.size();
}

Revision FakeFleet::revisionOf(std::size_t node) const
{
    return m_nodes[node].configuration->version().revision;
}

bool FakeFleet::isReader(std::size_t node) const
{
    return m_nodes[node].sync->isReader();
}

std::size_t FakeFleet::readerCount() const
{
    std::size_t readers = 0;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        readers += isReader(node) ? 1 : 0;
    }
    return readers;
}

std::size_t FakeFleet::liveNodeCount(Revision revision) const
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        count += *m_nodes[node].alive && revisionOf(node) == revision ? 1 : 0;
    }
    return count;
}

ConfigurationController &FakeFleet::configuration(std::size_t node)
{
    return *m_nodes[node].configuration;
}

} // namespace chervilpaddle::support
