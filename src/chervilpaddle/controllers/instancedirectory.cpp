#include <chervilpaddle/controllers/instancedirectory.h>

#include <iterator>

namespace chervilpaddle {

namespace {
//! The platform guarantees that entries whose lease expired during its outage are registered again within this time.
constexpr Duration reregistrationLimit = std::chrono::milliseconds(2200);
//! An entry may also be missing because its instance is leaving. The platform requires that no new calls are sent to a leaving
//! instance after two seconds, so a missing entry is retained for less than that.
constexpr Duration maxRetention = std::chrono::milliseconds(1500);
//! Twice the longest deadline that a contract can have.
constexpr Duration departedLifetime = std::chrono::minutes(10);
} // namespace

void InstanceDirectory::update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now)
{
    std::map<BackendId, Entry> next;
    for (const Entry &entry : entries) {
        const BackendId &backend = entry.instance.backend;
        next[backend] = entry;
        m_missingSince.erase(backend);
        entry.instance.leaving ? static_cast<void>(m_departed[backend] = now) : static_cast<void>(m_departed.erase(backend));
    }
    for (const auto &[backend, entry] : m_entries) {
        if (next.count(backend) != 0) {
            continue;
        }
        if (!entry.instance.leaving && mayReappear(availableSince, now)) {
            next[backend] = entry;
            m_missingSince.try_emplace(backend, now);
        } else {
            m_departed[backend] = now;
            m_missingSince.erase(backend);
        }
    }
    m_entries = std::move(next);
    for (auto departed = m_departed.begin(); departed != m_departed.end();) {
        departed = now - departed->second > departedLifetime ? m_departed.erase(departed) : std::next(departed);
    }
}

bool InstanceDirectory::expire(std::optional<TimePoint> availableSince, TimePoint now)
{
    const bool isRetentionOver = !mayReappear(availableSince, now);
    bool isChanged = false;
    for (auto missing = m_missingSince.begin(); missing != m_missingSince.end();) {
        const auto &[backend, since] = *missing;
        if (!isRetentionOver && now - since < maxRetention) {
            ++missing;
            continue;
        }
        m_entries.erase(backend);
        m_departed[backend] = now;
        missing = m_missingSince.erase(missing);
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
    return m_departed.count(backend) != 0;
}

std::size_t InstanceDirectory::departedCount() const
{
    return m_departed.size();
}

bool InstanceDirectory::mayReappear(std::optional<TimePoint> availableSince, TimePoint now) const
{
    return !availableSince || now - *availableSince < reregistrationLimit;
}

} // namespace chervilpaddle
