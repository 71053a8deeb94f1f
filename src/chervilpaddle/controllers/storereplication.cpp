#include <chervilpaddle/controllers/storereplication.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

namespace {

//! Changes that arrive within this time are sent to the receivers together.
constexpr Duration passOnDelay = std::chrono::milliseconds(20);
constexpr Duration reportInterval = std::chrono::milliseconds(400);
//! A request that has not been answered for this long is sent to another peer.
constexpr Duration requestTimeout = std::chrono::milliseconds(300);

} // namespace

StoreReplication::StoreReplication(const Options &options, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_random(options.seed)
    , m_role(options.localNode, m_random())
{
    PrefixMirror::Hooks configurationHooks;
    configurationHooks.changed = m_hooks.configurationChanged;
    PrefixMirror::Hooks instancesHooks;
    instancesHooks.changed = m_hooks.instancesChanged;
    instancesHooks.isHeartbeat = m_hooks.isHeartbeat;
    m_configuration.message = [](std::string document) { return ConfigurationMessage{std::move(document), {}}; };
    m_configuration.request = [](const StorePosition &held) { return ConfigurationRequest{held.revision, {}, held.era}; };
    makeReplica(m_configuration, options.configurationPrefix, "configuration", configurationHooks);
    m_instances.message = [](std::string document) { return InstancesMessage{std::move(document)}; };
    m_instances.request = [](const StorePosition &held) { return InstancesRequest{held.revision, held.era}; };
    makeReplica(m_instances, options.instancesPrefix, "instances", instancesHooks);
}

void StoreReplication::makeReplica(Replica &replica, const std::string &prefix, const char *what, PrefixMirror::Hooks hooks)
{
    hooks.clock = m_hooks.clock;
    hooks.schedule = m_hooks.schedule;
    hooks.reader = m_hooks.reader;
    hooks.changed = [this, &replica, changed = std::move(hooks.changed)] {
        changed();
        schedulePassingOn(replica);
    };
    if (m_hooks.eraChanged) {
        hooks.eraChanged = [this, what](const StoreEraChange &change) { m_hooks.eraChanged(what, change); };
    }
    hooks.availabilityChanged = [this, what](bool isAvailable) { m_hooks.availabilityChanged(what, isAvailable); };
    if (m_hooks.requestTimedOut) {
        hooks.requestTimedOut = [this, what] { m_hooks.requestTimedOut(what); };
    }
    replica.mirror = std::make_unique<PrefixMirror>(prefix, std::move(hooks), m_random());
}

void StoreReplication::start()
{
    // Which nodes watch the store is known only after the first read.
    for (const Replica *replica : {&m_configuration, &m_instances}) {
        replica->mirror->setReading(false);
        replica->mirror->start();
    }
}

void StoreReplication::setInstances(const InstanceList &list)
{
    m_unlistedReceivers.insert(m_role.receivers().begin(), m_role.receivers().end());
    m_role.setInstances(list, m_hooks.clock());
    for (const PublishedInstance &instance : list.instances) {
        m_unlistedReceivers.erase(instance.instance);
    }
    updateReading();
}

void StoreReplication::updateReading()
{
    const TimePoint now = m_hooks.clock();
    const bool mustRead = m_role.mustRead(now);
    const auto availableSince = m_role.availableSince(now);
    for (const Replica *replica : {&m_configuration, &m_instances}) {
        replica->mirror->setReading(mustRead);
        replica->mirror->setAvailableSince(availableSince);
    }
}

void StoreReplication::tick()
{
    updateReading();
    const TimePoint now = m_hooks.clock();
    if (m_role.followers().empty() || now - m_reportedAt < reportInterval) {
        return;
    }
    m_reportedAt = now;
    for (const InstanceId &follower : m_role.followers()) {
        ++m_counters.reportsSent;
        m_hooks.sendStatus(follower);
    }
}

void StoreReplication::schedulePassingOn(Replica &replica)
{
    if (replica.isPassingOnScheduled) {
        return;
    }
    replica.isPassingOnScheduled = true;
    m_hooks.schedule(passOnDelay, [this, &replica] { passOn(replica); });
}

void StoreReplication::passOn(Replica &replica)
{
    replica.isPassingOnScheduled = false;
    const PrefixMirror &mirror = *replica.mirror;
    // At the start every node reads the items itself.
    const StorePosition reached = replica.passedOn ? std::min(mirror.lastChange(), mirror.synced()) : mirror.synced();
    const auto since = std::exchange(replica.passedOn, reached);
    const std::vector<InstanceId> receivers = takeReceivers(replica);
    if (!since || receivers.empty() || !(*since < mirror.lastChange())) {
        return;
    }
    if (m_role.isSubstitute() && since->era != mirror.lastChange().era) {
        // Peers need all items after a restoration. A reader that lacks them asks one of the many substitutes.
        for (const InstanceId &reader : receivers) {
            m_hooks.sendStatus(reader);
        }
        return;
    }
    const std::string document = mirror.changesSince(*since);
    for (const InstanceId &receiver : receivers) {
        ++m_counters.documentsSent;
        m_counters.documentBytesSent += document.size();
        m_hooks.send(receiver, replica.message(document));
    }
}

//! The node beside a removed backend server may still send calls to it, so it is told of the removal once.
std::vector<InstanceId> StoreReplication::takeReceivers(const Replica &replica)
{
    std::vector<InstanceId> receivers = m_role.receivers();
    if (&replica == &m_instances) {
        receivers.insert(receivers.end(), m_unlistedReceivers.begin(), m_unlistedReceivers.end());
        m_unlistedReceivers.clear();
    }
    return receivers;
}

void StoreReplication::received(const PeerEvent &event)
{
    if (const auto *status = std::get_if<StatusMessage>(&event.message); status != nullptr) {
        handleStatus(event, *status);
    } else if (const auto *wantsConfiguration = std::get_if<ConfigurationRequest>(&event.message); wantsConfiguration != nullptr) {
        serve(m_configuration, event.connection, {wantsConfiguration->heldEra.value_or(StoreEra()), wantsConfiguration->heldRevision});
    } else if (const auto *wantsInstances = std::get_if<InstancesRequest>(&event.message); wantsInstances != nullptr) {
        serve(m_instances, event.connection, {wantsInstances->heldEra.value_or(StoreEra()), wantsInstances->heldRevision});
    } else if (const auto *configuration = std::get_if<ConfigurationMessage>(&event.message); configuration != nullptr) {
        handleDocument(m_configuration, event, configuration->manifest);
    } else if (const auto *instances = std::get_if<InstancesMessage>(&event.message); instances != nullptr) {
        handleDocument(m_instances, event, instances->document);
    }
}

void StoreReplication::handleStatus(const PeerEvent &event, const StatusMessage &status)
{
    // A reader that does not distinguish eras passes on nothing that is written after a restoration.
    const bool isReliable = status.instancesEra || m_instances.mirror->synced().era == StoreEra();
    m_role.recordReport(event.instance, isReliable ? status.storeAvailableFor : std::nullopt, m_hooks.clock());
    requestIfBehind(m_configuration, event.connection, {status.configurationEra.value_or(StoreEra()), status.configurationRevision});
    requestIfBehind(m_instances, event.connection, {status.instancesEra.value_or(StoreEra()), status.instancesRevision});
}

void StoreReplication::handleDocument(Replica &replica, const PeerEvent &event, const std::string &document)
{
    replica.requestedAt.reset();
    switch (replica.mirror->apply(document)) {
    case MirrorUpdate::Applied:
        ++m_counters.documentsApplied;
        return;
    case MirrorUpdate::Gap:
        request(replica, event.connection);
        return;
    case MirrorUpdate::Malformed:
        m_hooks.documentRejected(event.instance);
        return;
    case MirrorUpdate::NotNewer:
        return;
    }
}

void StoreReplication::requestIfBehind(Replica &replica, ConnectionId connection, const StorePosition &peerLastChange)
{
    const bool isRequestPending = replica.requestedAt && m_hooks.clock() - *replica.requestedAt < requestTimeout;
    if (!isRequestPending && replica.mirror->isBehind(peerLastChange)) {
        request(replica, connection);
    }
}

void StoreReplication::request(Replica &replica, ConnectionId connection)
{
    ++m_counters.requestsSent;
    replica.requestedAt = m_hooks.clock();
    m_hooks.reply(connection, replica.request(replica.mirror->synced()));
}

void StoreReplication::serve(const Replica &replica, ConnectionId connection, const StorePosition &held)
{
    if (!replica.mirror->hasContent()) {
        return;
    }
    std::string document = replica.mirror->changesSince(held);
    ++m_counters.documentsSent;
    m_counters.documentBytesSent += document.size();
    m_hooks.reply(connection, replica.message(std::move(document)));
}

std::optional<Duration> StoreReplication::storeAvailableFor() const
{
    if (!m_role.isSelected()) {
        return std::nullopt;
    }
    std::optional<TimePoint> latest;
    for (const Replica *replica : {&m_configuration, &m_instances}) {
        const auto since = replica->mirror->availableSince();
        if (!since) {
            return std::nullopt;
        }
        latest = std::max(latest.value_or(*since), *since);
    }
    return m_hooks.clock() - *latest;
}

const PrefixMirror &StoreReplication::configuration() const
{
    return *m_configuration.mirror;
}

const PrefixMirror &StoreReplication::instances() const
{
    return *m_instances.mirror;
}

const ReaderRole &StoreReplication::role() const
{
    return m_role;
}

const ReplicationCounters &StoreReplication::counters() const
{
    return m_counters;
}

} // namespace chervilpaddle
