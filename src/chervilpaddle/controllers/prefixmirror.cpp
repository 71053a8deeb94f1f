#include <chervilpaddle/controllers/prefixmirror.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

//! Delay after the first failure. It doubles with each further failure up to a limit and is jittered, so that the nodes do not
//! retry simultaneously.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr int maxBackoffDoublings = 2;
//! The pause before the items are read again doubles up to 0.8 to 1.6 s, within the time in which a change must be known.
constexpr int maxRereadDoublings = 3;
//! How long the store holds a watch without changes. This bounds the time until a silent connection is detected. The duration is
//! random, so that if all connections become silent at once some node detects it early and informs its peers.
constexpr Duration minWatchDuration = std::chrono::seconds(2);
constexpr Duration maxWatchDuration = std::chrono::seconds(6);
//! A watch tells that the store is available only when it ends, so it is short while that is not known.
constexpr Duration probingWatchDuration = std::chrono::milliseconds(100);
//! Pause after a watch that has returned changes. In a series of changes, one call to the store then returns several of them. The
//! pauses are random, so that several readers take turns.
constexpr Duration minRewatchDelay = std::chrono::milliseconds(300);
constexpr Duration maxRewatchDelay = std::chrono::milliseconds(400);
//! Longest pause after a watch that has returned heartbeats only. They end every watch at once, so that this is the time between
//! reads: half of the time within which a change must be known.
constexpr Duration maxHeartbeatRewatchDelay = std::chrono::milliseconds(1000);
constexpr Duration minHeartbeatRewatchDelay = std::chrono::milliseconds(800);

//! Number of changes that are kept for peers that are behind. Bounds the memory; a peer that is further behind gets all items.
constexpr std::size_t maxRecentEvents = 1024;

//! Serialises changes as [key, value, revision], or [key, revision] for a removal.
nlohmann::json encodeEvent(const StoreEvent &event)
{
    if (event.isRemoved) {
        return {event.item.key, event.item.revision.value()};
    }
    return {event.item.key, event.item.value, event.item.revision.value()};
}

StoreEvent decodeEvent(const nlohmann::json &entry)
{
    const bool isRemoved = entry.size() == 2;
    const std::string value = isRemoved ? std::string() : entry.at(1).get<std::string>();
    return {{entry.at(0).get<std::string>(), value, Revision(entry.at(isRemoved ? 1 : 2).get<std::uint64_t>())}, isRemoved};
}

//! No node can decode values that are not valid UTF-8, so replacing their invalid bytes loses nothing.
std::string toText(const nlohmann::json &document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

//! A document that peers exchange: all items, or the changes after a revision.
struct MirrorDocument
{
    std::optional<Revision> since;
    Revision synced;
    Revision lastChange;
    std::vector<StoreEvent> events;
};

namespace {

std::optional<MirrorDocument> parseDocument(const std::string &text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    MirrorDocument document;
    try {
        if (const auto since = parsed.find("since"); since != parsed.end()) {
            document.since = Revision(since->get<std::uint64_t>());
        }
        document.synced = Revision(parsed.at("synced").get<std::uint64_t>());
        document.lastChange = Revision(parsed.at("lastChange").get<std::uint64_t>());
        for (const auto &entry : parsed.at("items")) {
            document.events.push_back(decodeEvent(entry));
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return document;
}

} // namespace

PrefixMirror::PrefixMirror(std::string prefix, Hooks hooks, std::uint64_t seed)
    : m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_random(seed)
{
}

void PrefixMirror::start()
{
    m_isBusy = true;
    m_snapshotItems.clear();
    m_snapshotRevision.reset();
    readPage({});
}

void PrefixMirror::setReading(bool isReading)
{
    m_isReading = isReading;
    if (isReading && !m_isBusy) {
        m_isBusy = true;
        m_hasContent ? watch() : start();
    }
}

void PrefixMirror::setAvailableSince(std::optional<TimePoint> since)
{
    if (!m_isReading && !m_isBusy) {
        m_answeringSince = since;
    }
}

void PrefixMirror::readPage(const std::string &afterKey)
{
    m_hooks.reader.range(m_prefix, afterKey, [this](const StorePage &page) { handlePage(page); });
}

void PrefixMirror::handlePage(const StorePage &page)
{
    if (page.status != StoreStatus::Success) {
        handleFailure([this] { start(); });
        return;
    }
    markAvailable();
    // The pages are read at different revisions. Watching from the revision of the first page ensures that no change is missed.
    m_snapshotRevision = m_snapshotRevision.value_or(page.storeRevision);
    for (const StoreItem &item : page.items) {
        m_snapshotItems[item.key] = item;
    }
    if (page.hasMore && !page.items.empty()) {
        readPage(page.items.back().key);
        return;
    }
    finishSnapshot();
}

void PrefixMirror::finishSnapshot()
{
    const Revision snapshotRevision = *m_snapshotRevision;
    // A document of a peer that was applied in the meantime may be newer than the pages.
    if (!(snapshotRevision < m_syncedRevision)) {
        replaceItems(std::move(m_snapshotItems), snapshotRevision);
    }
    m_snapshotItems.clear();
    watch();
}

//! Replaces all items. The changes that this amounts to are kept for peers that hold the previous items.
void PrefixMirror::replaceItems(std::map<std::string, StoreItem> items, Revision synced)
{
    std::vector<StoreEvent> events = differencesTo(items, synced);
    const bool isFirst = !m_hasContent;
    m_items = std::move(items);
    m_syncedRevision = synced;
    m_hasContent = true;
    for (const StoreEvent &event : events) {
        updateLastChange(event.item.revision);
    }
    if (isFirst) {
        m_recentSince = synced;
    } else {
        remember(events);
    }
    if (isFirst || !events.empty()) {
        m_hooks.changed();
    }
}

bool PrefixMirror::isHeartbeat(const StoreItem &previous, const StoreItem &next) const
{
    return m_hooks.isHeartbeat && m_hooks.isHeartbeat(previous, next);
}

//! The changes that lead from the items to others, oldest first. The revision of a removal is not known.
std::vector<StoreEvent> PrefixMirror::differencesTo(const std::map<std::string, StoreItem> &items, Revision removalRevision) const
{
    std::vector<StoreEvent> events;
    for (const auto &[key, item] : m_items) {
        if (items.count(key) == 0) {
            events.push_back({{key, {}, removalRevision}, true});
        }
    }
    for (const auto &[key, item] : items) {
        const auto known = m_items.find(key);
        if (known == m_items.end() || (known->second.revision < item.revision && !isHeartbeat(known->second, item))) {
            events.push_back({item, false});
        }
    }
    std::sort(events.begin(), events.end(), [](const auto &a, const auto &b) { return a.item.revision < b.item.revision; });
    return events;
}

void PrefixMirror::remember(std::vector<StoreEvent> events)
{
    for (StoreEvent &event : events) {
        m_recentEvents.push_back(std::move(event));
    }
    while (m_recentEvents.size() > maxRecentEvents) {
        m_recentSince = std::max(m_recentSince, m_recentEvents.front().item.revision);
        m_recentEvents.pop_front();
    }
}

void PrefixMirror::watch()
{
    if (!m_isReading) {
        m_isBusy = false;
        return;
    }
    m_watchedFrom = m_syncedRevision;
    m_hooks.reader.watch(m_prefix, m_syncedRevision, watchDuration(), [this](const StoreChanges &changes) { handleChanges(changes); });
}

Duration PrefixMirror::watchDuration()
{
    if (!m_answeringSince) {
        return probingWatchDuration;
    }
    return randomDuration(m_random, minWatchDuration, maxWatchDuration);
}

void PrefixMirror::handleChanges(const StoreChanges &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        markAvailable();
        readAgain();
        return;
    }
    if (changes.status == StoreStatus::Failed) {
        handleFailure([this] { watch(); });
        return;
    }
    markAvailable();
    m_unusableResponses = 0;
    const bool isChanged = applyEvents(changes.events);
    m_syncedRevision = std::max(m_syncedRevision, changes.storeRevision);
    if (changes.events.empty()) {
        watch();
        return;
    }
    if (isChanged) {
        m_hooks.changed();
    }
    const Duration delay = isChanged ? randomDuration(m_random, minRewatchDelay, maxRewatchDelay)
                                     : randomDuration(m_random, minHeartbeatRewatchDelay, maxHeartbeatRewatchDelay);
    m_hooks.schedule(delay, [this] { watch(); });
}

//! Applies the changes that the items do not contain yet, and keeps these for peers. Returns false if there are none.
bool PrefixMirror::applyEvents(const std::vector<StoreEvent> &events)
{
    std::vector<StoreEvent> applied;
    for (const StoreEvent &event : events) {
        if (applyEvent(event)) {
            applied.push_back(event);
        }
    }
    const bool isChanged = !applied.empty();
    remember(std::move(applied));
    return isChanged;
}

//! Returns false if the items already contain the change, or if it is a heartbeat.
bool PrefixMirror::applyEvent(const StoreEvent &event)
{
    if (!(m_syncedRevision < event.item.revision)) {
        return false;
    }
    const auto known = m_items.find(event.item.key);
    const bool isNewer = known != m_items.end() && known->second.revision < event.item.revision;
    if (isNewer && !event.isRemoved && isHeartbeat(known->second, event.item)) {
        // The revision stays that of the last change: what was decoded from the item still holds.
        known->second.value = event.item.value;
        return false;
    }
    updateLastChange(event.item.revision);
    if (event.isRemoved) {
        m_items.erase(event.item.key);
    } else if (auto &existing = m_items[event.item.key]; !(event.item.revision < existing.revision)) {
        existing = event.item;
    }
    return true;
}

//! Reads all items, unless a peer brings a later state than the one from which the store does not have the changes.
void PrefixMirror::readAgain()
{
    pauseBefore([this] {
        if (!m_isReading || m_watchedFrom < m_syncedRevision) {
            watch();
        } else {
            start();
        }
    });
}

//! The pause grows until a watch is successful, so that no node calls the store in a loop.
void PrefixMirror::pauseBefore(std::function<void()> action)
{
    const Duration delay = initialRetryDelay * (1 << std::min(m_unusableResponses, maxRereadDoublings));
    ++m_unusableResponses;
    m_hooks.schedule(randomDuration(m_random, delay, 2 * delay), std::move(action));
}

void PrefixMirror::handleFailure(std::function<void()> retry)
{
    if (m_answeringSince || m_failures == 0) {
        m_answeringSince.reset();
        m_hooks.availabilityChanged(false);
    }
    if (!m_isReading && m_hasContent) {
        m_isBusy = false;
        return;
    }
    const Duration delay = initialRetryDelay * (1 << std::min(m_failures, maxBackoffDoublings));
    ++m_failures;
    m_hooks.schedule(randomDuration(m_random, delay, 2 * delay), std::move(retry));
}

void PrefixMirror::markAvailable()
{
    m_failures = 0;
    if (!m_answeringSince) {
        m_answeringSince = m_hooks.clock();
        m_hooks.availabilityChanged(true);
    }
}

void PrefixMirror::updateLastChange(Revision revision)
{
    m_lastChange = std::max(m_lastChange, revision);
}

bool PrefixMirror::hasContent() const
{
    return m_hasContent;
}

const std::map<std::string, StoreItem> &PrefixMirror::items() const
{
    return m_items;
}

Revision PrefixMirror::lastChange() const
{
    return m_lastChange;
}

Revision PrefixMirror::syncedRevision() const
{
    return m_syncedRevision;
}

std::optional<TimePoint> PrefixMirror::availableSince() const
{
    return m_answeringSince;
}

bool PrefixMirror::isBehind(Revision peerLastChange) const
{
    return m_syncedRevision < peerLastChange;
}

std::string PrefixMirror::snapshot() const
{
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, item] : m_items) {
        items.push_back(encodeEvent({item, false}));
    }
    return toText({{"synced", m_syncedRevision.value()}, {"lastChange", m_lastChange.value()}, {"items", std::move(items)}});
}

std::string PrefixMirror::changesSince(Revision held) const
{
    if (held < m_recentSince) {
        return snapshot();
    }
    nlohmann::json events = nlohmann::json::array();
    for (const StoreEvent &event : m_recentEvents) {
        if (held < event.item.revision) {
            events.push_back(encodeEvent(event));
        }
    }
    return toText({{"since", held.value()},
                   {"synced", m_syncedRevision.value()},
                   {"lastChange", m_lastChange.value()},
                   {"items", std::move(events)}});
}

MirrorUpdate PrefixMirror::apply(const std::string &document)
{
    auto parsed = parseDocument(document);
    if (!parsed) {
        return MirrorUpdate::Malformed;
    }
    if (m_hasContent && !isBehind(parsed->lastChange)) {
        return MirrorUpdate::NotNewer;
    }
    return parsed->since ? applyChanges(*parsed) : applySnapshot(*parsed);
}

MirrorUpdate PrefixMirror::applyChanges(const MirrorDocument &document)
{
    if (!m_hasContent || m_syncedRevision < *document.since) {
        return MirrorUpdate::Gap;
    }
    applyEvents(document.events);
    m_syncedRevision = std::max(m_syncedRevision, document.synced);
    m_hooks.changed();
    return MirrorUpdate::Applied;
}

MirrorUpdate PrefixMirror::applySnapshot(MirrorDocument &document)
{
    if (document.synced < m_syncedRevision) {
        return MirrorUpdate::NotNewer;
    }
    std::map<std::string, StoreItem> items;
    for (StoreEvent &event : document.events) {
        items[event.item.key] = std::move(event.item);
    }
    updateLastChange(document.lastChange);
    replaceItems(std::move(items), document.synced);
    return MirrorUpdate::Applied;
}

} // namespace chervilpaddle
