#include <chervilpaddle/controllers/prefixmirror.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

//! The pause after the first failure; it doubles up to the longest, and is jittered, so that nodes do not ask together.
constexpr Duration firstRetry = std::chrono::milliseconds(100);
constexpr int mostDoublings = 2;
//! How long the store holds a watch in which nothing happens: it bounds how long a silent connection goes unnoticed. Nodes
//! wait for different times, so that where all connections fall silent at once some node notices soon and tells the others.
constexpr Duration shortestWait = std::chrono::seconds(2);
constexpr Duration longestWait = std::chrono::seconds(6);

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
    m_reading.clear();
    m_readingSince.reset();
    readPage({});
}

void PrefixMirror::readPage(const std::string &afterKey)
{
    m_hooks.reader.range(m_prefix, afterKey, [this](const StorePage &page) { pageRead(page); });
}

void PrefixMirror::pageRead(const StorePage &page)
{
    if (page.status != StoreStatus::Success) {
        failed([this] { start(); });
        return;
    }
    answered();
    // Pages are read one after the other: only changes after the first one are certain to be seen by the watch.
    m_readingSince = m_readingSince.value_or(page.storeRevision);
    for (const StoreItem &item : page.items) {
        m_reading[item.key] = item;
    }
    if (page.hasMore && !page.items.empty()) {
        readPage(page.items.back().key);
        return;
    }
    finishReading();
}

void PrefixMirror::finishReading()
{
    const Revision since = *m_readingSince;
    // A peer's copy may have been newer than what was read meanwhile.
    if (!(since < m_synced)) {
        const bool isChanged = !m_hasContent || !sameItems(m_items, m_reading);
        m_items = std::move(m_reading);
        m_synced = since;
        m_hasContent = true;
        for (const auto &[key, item] : m_items) {
            noteChange(item.revision);
        }
        if (isChanged) {
            m_hooks.changed();
        }
    }
    m_reading.clear();
    watch();
}

void PrefixMirror::watch()
{
    const Duration wait = shortestWait + fromSeconds(toSeconds(longestWait - shortestWait) * uniformFraction(m_random));
    m_hooks.reader.watch(m_prefix, m_synced, wait, [this](const StoreChanges &changes) { changesRead(changes); });
}

void PrefixMirror::changesRead(const StoreChanges &changes)
{
    if (changes.status == StoreStatus::Compacted) {
        answered();
        start();
        return;
    }
    if (changes.status == StoreStatus::Failed) {
        failed([this] { watch(); });
        return;
    }
    answered();
    bool isChanged = false;
    for (const StoreEvent &event : changes.events) {
        if (!(m_synced < event.item.revision)) {
            continue;
        }
        isChanged = true;
        noteChange(event.item.revision);
        if (event.isRemoved) {
            m_items.erase(event.item.key);
        } else if (auto &held = m_items[event.item.key]; !(event.item.revision < held.revision)) {
            held = event.item;
        }
    }
    m_synced = std::max(m_synced, changes.storeRevision);
    if (isChanged) {
        m_hooks.changed();
    }
    watch();
}

void PrefixMirror::failed(std::function<void()> retry)
{
    if (m_answeringSince || m_failures == 0) {
        m_answeringSince.reset();
        m_hooks.availabilityChanged(false);
    }
    const Duration base = firstRetry * (1 << std::min(m_failures, mostDoublings));
    ++m_failures;
    m_hooks.schedule(base + fromSeconds(toSeconds(base) * uniformFraction(m_random)), std::move(retry));
}

void PrefixMirror::answered()
{
    m_failures = 0;
    if (!m_answeringSince) {
        m_answeringSince = m_hooks.clock();
        m_hooks.availabilityChanged(true);
    }
}

void PrefixMirror::noteChange(Revision revision)
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

bool PrefixMirror::isBehind(Revision peersLastChange) const
{
    return m_synced < peersLastChange;
}

std::string PrefixMirror::snapshot() const
{
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, item] : m_items) {
        items.push_back({key, item.value, item.revision.value()});
    }
    const nlohmann::json document = {{"synced", m_synced.value()}, {"lastChange", m_lastChange.value()}, {"items", std::move(items)}};
    // Values that are not text cannot be read by any node: replacing their bytes loses nothing.
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
    m_synced = synced;
    noteChange(lastChange);
    m_hasContent = true;
    m_hooks.changed();
    return true;
}

} // namespace chervilpaddle
