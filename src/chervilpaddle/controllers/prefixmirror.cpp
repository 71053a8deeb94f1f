#include <chervilpaddle/controllers/prefixmirror.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilpaddle {

namespace {

//! Delay after the first failure. It doubles with each further failure up to a limit and is jittered, so that the nodes do not
//! retry simultaneously.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr int maxBackoffDoublings = 2;
//! The pause before the items are read again doubles up to 0.8 to 1.6 s, within the time in which a change must be known.
constexpr int maxRereadDoublings = 3;
//! Longest time from a response of the store to the end of the next watch, so that a pause before the watch shortens it. Together with
//! storeWatchMargin this bounds the time until a silent connection is detected. It is random, so that the readers do not all call the
//! store at once.
constexpr Duration minResponseInterval = std::chrono::milliseconds(1700);
constexpr Duration maxResponseInterval = std::chrono::milliseconds(1900);
//! A watch tells that the store is available only when it ends, so it is short while that is not known.
constexpr Duration probingWatchDuration = std::chrono::milliseconds(100);
//! Pause after a watch that has returned changes. In a series of changes, one call to the store then returns several of them. The
//! pauses are random, so that several readers take turns.
constexpr Duration minRewatchDelay = std::chrono::milliseconds(300);
constexpr Duration maxRewatchDelay = std::chrono::milliseconds(400);
//! Longest pause after a watch that has returned heartbeats only. They end every watch at once, so that this is the time between
//! reads. A change must be known within two seconds, of which a failed watch and its retry may take some.
constexpr Duration maxHeartbeatRewatchDelay = std::chrono::milliseconds(1300);
constexpr Duration minHeartbeatRewatchDelay = std::chrono::milliseconds(1100);

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
    //! Zero if the peer does not distinguish eras, so that its items never replace those of a known era.
    StoreEra era;
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
        if (const auto era = parsed.find("era"); era != parsed.end()) {
            document.era = StoreEra(era->get<std::uint64_t>());
        }
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
    m_snapshotPosition.reset();
    // A connection may have become silent in the pause before the read.
    m_hooks.reader.closeIdleConnections();
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
        handleFailure(page.status, [this] { start(); });
        return;
    }
    const StoreEra heldEra = m_snapshotPosition ? m_snapshotPosition->era : m_synced.era;
    const StorePosition position{page.era.value_or(heldEra), page.storeRevision};
    if (position.era < m_synced.era) {
        pauseBefore([this] { watch(); });
        return;
    }
    markAvailable();
    // The pages are read at different revisions. Watching from the revision of the first page ensures that no change is missed.
    m_snapshotPosition = m_snapshotPosition.value_or(position);
    if (position.era != m_snapshotPosition->era) {
        pauseBefore([this] { start(); });
        return;
    }
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
    const StorePosition position = *m_snapshotPosition;
    // A document of a peer that was applied in the meantime may be newer than the pages.
    if (!(position < m_synced)) {
        replaceItems(std::move(m_snapshotItems), position);
    }
    m_snapshotItems.clear();
    watch();
}

//! Replaces all items. The changes that this amounts to are kept for peers that hold the previous items.
void PrefixMirror::replaceItems(std::map<std::string, StoreItem> items, const StorePosition &synced)
{
    for (auto &[key, item] : items) {
        item.era = synced.era;
    }
    const bool isFirst = !m_hasContent;
    if (!isFirst && m_synced.era != synced.era) {
        enterEra(std::move(items), synced);
        return;
    }
    std::vector<StoreEvent> events = differencesTo(items, synced.revision);
    m_items = std::move(items);
    m_synced = synced;
    m_hasContent = true;
    for (const StoreEvent &event : events) {
        updateLastChange(event.item.revision);
    }
    if (isFirst) {
        m_recentSince = synced.revision;
    } else {
        remember(events);
    }
    if (isFirst || !events.empty()) {
        m_hooks.changed();
    }
}

//! Replaces all items by those of a newer era. What changed between the eras has no revision, so that peers get all items.
void PrefixMirror::enterEra(std::map<std::string, StoreItem> items, const StorePosition &synced)
{
    StoreEraChange change{m_synced, synced};
    for (const auto &[key, item] : items) {
        const auto known = m_items.find(key);
        // The copy holds an earlier heartbeat of an entry that is otherwise the same.
        const bool isKept = known != m_items.end()
            && (known->second.value == item.value || isHeartbeat(known->second, item) || isHeartbeat(item, known->second));
        ++(isKept ? change.kept : change.changed);
    }
    change.removed = static_cast<std::size_t>(
        std::count_if(m_items.begin(), m_items.end(), [&items](const auto &entry) { return items.count(entry.first) == 0; }));
    m_items = std::move(items);
    m_synced = synced;
    m_lastChange = synced.revision;
    m_recentEvents.clear();
    m_recentSince = synced.revision;
    m_restoredAt = m_hooks.clock();
    if (m_hooks.eraChanged) {
        m_hooks.eraChanged(change);
    }
    m_hooks.changed();
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
        m_isRepeatingTimedOut = false;
        return;
    }
    m_watchedFrom = m_synced;
    m_hooks.reader.watch(m_prefix, m_synced.revision, watchDuration(), [this](const StoreChanges &changes) { handleChanges(changes); });
}

Duration PrefixMirror::watchDuration()
{
    if (!m_answeringSince || m_isRepeatingTimedOut) {
        return probingWatchDuration;
    }
    const Duration interval = randomDuration(m_random, minResponseInterval, maxResponseInterval);
    return std::max(probingWatchDuration, interval - (m_hooks.clock() - m_lastResponseAt));
}

void PrefixMirror::handleChanges(const StoreChanges &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        markAvailable();
        readAgain();
        return;
    }
    if (changes.status != StoreStatus::Success) {
        handleFailure(changes.status, [this] { watch(); });
        return;
    }
    const StoreEra era = changes.era.value_or(m_watchedFrom.era);
    if (era < m_synced.era) {
        pauseBefore([this] { watch(); });
        return;
    }
    markAvailable();
    if (era != m_watchedFrom.era) {
        // The revision from which the changes continue is one of another era.
        readAgain();
        return;
    }
    m_unusableResponses = 0;
    const bool isChanged = applyEvents(changes.events);
    m_synced.revision = std::max(m_synced.revision, changes.storeRevision);
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
    if (!(m_synced.revision < event.item.revision)) {
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
        existing.era = m_synced.era;
    }
    return true;
}

//! Reads all items, unless a peer brings a later state than the one from which the store does not have the changes.
void PrefixMirror::readAgain()
{
    pauseBefore([this] {
        if (!m_isReading || m_watchedFrom < m_synced) {
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

void PrefixMirror::handleFailure(StoreStatus status, std::function<void()> retry)
{
    const bool isTimedOut = status == StoreStatus::TimedOut;
    if (isTimedOut) {
        // Connections that are idle may have become silent at the same time.
        m_hooks.reader.closeIdleConnections();
    }
    if (isTimedOut && m_hooks.requestTimedOut) {
        m_hooks.requestTimedOut();
    }
    const bool isRepeated = std::exchange(m_isRepeatingTimedOut, false);
    if (isTimedOut && m_answeringSince && !isRepeated) {
        // The connection may have become silent. Whether the store is available is known after a request on a new one.
        m_isRepeatingTimedOut = true;
        retry();
        return;
    }
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
    m_isRepeatingTimedOut = false;
    m_lastResponseAt = m_hooks.clock();
    if (!m_answeringSince) {
        m_answeringSince = m_lastResponseAt;
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

StorePosition PrefixMirror::lastChange() const
{
    return {m_synced.era, m_lastChange};
}

StorePosition PrefixMirror::synced() const
{
    return m_synced;
}

std::optional<TimePoint> PrefixMirror::availableSince() const
{
    return m_answeringSince && m_restoredAt ? std::max(*m_answeringSince, *m_restoredAt) : m_answeringSince;
}

bool PrefixMirror::isBehind(const StorePosition &peerLastChange) const
{
    return m_synced < peerLastChange;
}

std::string PrefixMirror::snapshot() const
{
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, item] : m_items) {
        items.push_back(encodeEvent({item, false}));
    }
    return toText({{"era", m_synced.era.value()},
                   {"synced", m_synced.revision.value()},
                   {"lastChange", m_lastChange.value()},
                   {"items", std::move(items)}});
}

std::string PrefixMirror::changesSince(const StorePosition &held) const
{
    if (held.era != m_synced.era || held.revision < m_recentSince) {
        return snapshot();
    }
    nlohmann::json events = nlohmann::json::array();
    for (const StoreEvent &event : m_recentEvents) {
        if (held.revision < event.item.revision) {
            events.push_back(encodeEvent(event));
        }
    }
    return toText({{"era", m_synced.era.value()},
                   {"since", held.revision.value()},
                   {"synced", m_synced.revision.value()},
                   {"lastChange", m_lastChange.value()},
                   {"items", std::move(events)}});
}

MirrorUpdate PrefixMirror::apply(const std::string &document)
{
    auto parsed = parseDocument(document);
    if (!parsed) {
        return MirrorUpdate::Malformed;
    }
    if (m_hasContent && !isBehind({parsed->era, parsed->lastChange})) {
        return MirrorUpdate::NotNewer;
    }
    return parsed->since ? applyChanges(*parsed) : applySnapshot(*parsed);
}

MirrorUpdate PrefixMirror::applyChanges(const MirrorDocument &document)
{
    if (!m_hasContent || document.era != m_synced.era || m_synced.revision < *document.since) {
        return MirrorUpdate::Gap;
    }
    applyEvents(document.events);
    m_synced.revision = std::max(m_synced.revision, document.synced);
    m_hooks.changed();
    return MirrorUpdate::Applied;
}

MirrorUpdate PrefixMirror::applySnapshot(MirrorDocument &document)
{
    const StorePosition synced{document.era, document.synced};
    if (synced < m_synced) {
        return MirrorUpdate::NotNewer;
    }
    std::map<std::string, StoreItem> items;
    for (StoreEvent &event : document.events) {
        items[event.item.key] = std::move(event.item);
    }
    updateLastChange(document.lastChange);
    replaceItems(std::move(items), synced);
    return MirrorUpdate::Applied;
}

} // namespace chervilpaddle
