#include <chervilpaddle/controllers/prefixmirror.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

//! Delay after the first failure. It doubles with each further failure up to a limit and is jittered, so that the nodes do not
//! retry simultaneously.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr int maxBackoffDoublings = 2;
//! How long the store holds a watch without changes. This bounds the time until a silent connection is detected. The duration is
//! random, so that if all connections become silent at once some node detects it early and informs its peers.
constexpr Duration minWatchDuration = std::chrono::seconds(2);
constexpr Duration maxWatchDuration = std::chrono::seconds(6);

bool sameItems(const std::map<std::string, StoreItem> &a, const std::map<std::string, StoreItem> &b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](const auto &x, const auto &y) {
               return x.first == y.first && x.second.revision == y.second.revision;
           });
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
    m_snapshotItems.clear();
    m_snapshotRevision.reset();
    readPage({});
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
    // The snapshot of a peer that was applied in the meantime may be newer than the pages.
    if (!(snapshotRevision < m_syncedRevision)) {
        const bool isChanged = !m_hasContent || !sameItems(m_items, m_snapshotItems);
        m_items = std::move(m_snapshotItems);
        m_syncedRevision = snapshotRevision;
        m_hasContent = true;
        for (const auto &[key, item] : m_items) {
            updateLastChange(item.revision);
        }
        if (isChanged) {
            m_hooks.changed();
        }
    }
    m_snapshotItems.clear();
    watch();
}

void PrefixMirror::watch()
{
    const Duration duration = minWatchDuration + fromSeconds(toSeconds(maxWatchDuration - minWatchDuration) * uniformFraction(m_random));
    m_hooks.reader.watch(m_prefix, m_syncedRevision, duration, [this](const StoreChanges &changes) { handleChanges(changes); });
}

void PrefixMirror::handleChanges(const StoreChanges &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        markAvailable();
        start();
        return;
    }
    if (changes.status == StoreStatus::Failed) {
        handleFailure([this] { watch(); });
        return;
    }
    markAvailable();
    bool isChanged = false;
    for (const StoreEvent &event : changes.events) {
        if (!(m_syncedRevision < event.item.revision)) {
            continue;
        }
        isChanged = true;
        updateLastChange(event.item.revision);
        if (event.isRemoved) {
            m_items.erase(event.item.key);
        } else if (auto &existing = m_items[event.item.key]; !(event.item.revision < existing.revision)) {
            existing = event.item;
        }
    }
    m_syncedRevision = std::max(m_syncedRevision, changes.storeRevision);
    if (isChanged) {
        m_hooks.changed();
    }
    watch();
}

void PrefixMirror::handleFailure(std::function<void()> retry)
{
    if (m_answeringSince || m_failures == 0) {
        m_answeringSince.reset();
        m_hooks.availabilityChanged(false);
    }
    const Duration delay = initialRetryDelay * (1 << std::min(m_failures, maxBackoffDoublings));
    ++m_failures;
    m_hooks.schedule(delay + fromSeconds(toSeconds(delay) * uniformFraction(m_random)), std::move(retry));
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
        items.push_back({key, item.value, item.revision.value()});
    }
    const nlohmann::json document = {
        {"synced", m_syncedRevision.value()}, {"lastChange", m_lastChange.value()}, {"items", std::move(items)}};
    // No node can decode values that are not valid UTF-8, so replacing their invalid bytes loses nothing.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool PrefixMirror::applySnapshot(const std::string &snapshot)
{
    const auto parsed = nlohmann::json::parse(snapshot, nullptr, false);
    std::map<std::string, StoreItem> items;
    Revision synced;
    Revision lastChange;
    try {
        synced = Revision(parsed.at("synced").get<std::uint64_t>());
        lastChange = Revision(parsed.at("lastChange").get<std::uint64_t>());
        for (const auto &entry : parsed.at("items")) {
            const StoreItem item{
                entry.at(0).get<std::string>(), entry.at(1).get<std::string>(), Revision(entry.at(2).get<std::uint64_t>())};
            items[item.key] = item;
        }
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    if (m_hasContent && !isBehind(lastChange)) {
        return false;
    }
    m_items = std::move(items);
    m_syncedRevision = synced;
    updateLastChange(lastChange);
    m_hasContent = true;
    m_hooks.changed();
    return true;
}

} // namespace chervilpaddle
