#include <chervilpaddle/controllers/instancedirectory.h>

namespace chervilpaddle {

namespace {
//! The platform's promise: entries that lapsed while it was away are back this soon after its return.
constexpr Duration returnTime = std::chrono::milliseconds(2200);
//! An entry may also have gone because its owner leaves: it is kept for less than the two seconds in which the platform
//! expects that nothing new is sent there.
constexpr Duration longestKept = std::chrono::milliseconds(1500);
} // namespace

void InstanceDirectory::update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now)
{
    std::map<BackendId, Entry> next;
    for (const Entry &entry : entries) {
        const BackendId &backend = entry.instance.backend;
        next[backend] = entry;
        m_vanished.erase(backend);
        entry.instance.leaving ? static_cast<void>(m_left.insert(backend)) : static_cast<void>(m_left.erase(backend));
    }
    for (const auto &[backend, entry] : m_entries) {
        if (next.count(backend) != 0) {
            continue;
        }
        if (!entry.instance.leaving && mayComeBack(availableSince, now)) {
            next[backend] = entry;
            m_vanished.try_emplace(backend, now);
        } else {
            m_left.insert(backend);
            m_vanished.erase(backend);
        }
    }
    m_entries = std::move(next);
}

bool InstanceDirectory::expire(std::optional<TimePoint> availableSince, TimePoint now)
{
    const bool isOver = !mayComeBack(availableSince, now);
    bool isChanged = false;
    for (auto vanished = m_vanished.begin(); vanished != m_vanished.end();) {
        const auto &[backend, since] = *vanished;
        if (!isOver && now - since < longestKept) {
            ++vanished;
            continue;
        }
        m_entries.erase(backend);
        m_left.insert(backend);
        vanished = m_vanished.erase(vanished);
        isChanged = true;
    }
    return isChanged;
}

std::vector<PublishedInstance> InstanceDirectory::instances() const
{
    std::map<InstanceId, const Entry *> latest;
    for (const auto &[backend, entry] : m_entries) {
        const Entry *&chosen = latest[entry.instance.instance];
        if (chosen == nullptr || chosen->startedAt <= entry.startedAt) {
            chosen = &entry;
        }
    }
    std::vector<PublishedInstance> instances;
    instances.reserve(latest.size());
    for (const auto &[instance, entry] : latest) {
        instances.push_back(entry->instance);
    }
    return instances;
}

bool InstanceDirectory::hasLeft(const BackendId &backend) const
{
    return m_left.count(backend) != 0;
}

bool InstanceDirectory::mayComeBack(std::optional<TimePoint> availableSince, TimePoint now) const
{
    return !availableSince || now - *availableSince < returnTime;
}

} // namespace chervilpaddle
