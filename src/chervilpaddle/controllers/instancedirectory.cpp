#include <chervilpaddle/controllers/instancedirectory.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilpaddle {

namespace {
//! The platform guarantees that entries whose lease expired during its outage are registered again within this time.
constexpr Duration reregistrationLimit = std::chrono::milliseconds(2200);
//! An entry may also be missing because its instance is leaving. The platform requires that no new calls are sent to a leaving
//! instance after two seconds, so a missing entry is retained for less than that.
constexpr Duration maxRetention = std::chrono::milliseconds(1500);
//! Longest time for which the store holds an entry whose backend server writes no heartbeats, with a margin until its removal is
//! known here.
constexpr Duration maxLeaseTime = std::chrono::milliseconds(3 * 1500 + 1500);
//! Twice the longest deadline that a contract can have.
constexpr Duration departedLifetime = std::chrono::minutes(10);

bool mayReappear(std::optional<TimePoint> availableSince, TimePoint now)
{
    return !availableSince || now - *availableSince < reregistrationLimit;
}

} // namespace

void InstanceDirectory::storeRestored(TimePoint now)
{
    m_restoredAt = now;
    m_awaitsCopy = true;
    // A backend server has ended if a later one runs on its instance, though its entry may have been there until its lease expired.
    const auto latest = latestStarts();
    for (const auto &[backend, entry] : m_entries) {
        if (entry.startedAt < latest.at(entry.instance.instance)->startedAt) {
            markDeparted(entry, now);
        }
    }
}

void InstanceDirectory::update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now)
{
    const bool isFirstOfCopy = std::exchange(m_awaitsCopy, false);
    std::map<BackendId, Entry> next;
    std::map<BackendId, UnconfirmedEntry> unconfirmed;
    for (const Entry &entry : entries) {
        const BackendId &backend = entry.instance.backend;
        if (isFirstOfCopy && contradictsKnownState(entry)) {
            unconfirmed[backend] = {entry, now};
        } else if (!isFirstOfCopy && isUnconfirmed(entry)) {
            unconfirmed[backend] = m_unconfirmed.at(backend);
        } else {
            next[backend] = entry;
            m_absences.erase(backend);
            entry.instance.leaving ? markDeparted(entry, now) : static_cast<void>(m_departed.erase(backend));
        }
    }
    for (const auto &[backend, entry] : m_entries) {
        if (next.count(backend) != 0) {
            continue;
        }
        const bool staysLeaving = entry.instance.leaving && unconfirmed.count(backend) != 0;
        if (staysLeaving || retain(entry, isFirstOfCopy, availableSince, now)) {
            next[backend] = entry;
        } else {
            markDeparted(entry, now);
            m_absences.erase(backend);
        }
    }
    m_entries = std::move(next);
    m_unconfirmed = std::move(unconfirmed);
    forgetOldDepartures(now);
}

//! A later start under the same id, or a later word of the same start, is not contained in the copy.
bool InstanceDirectory::contradictsKnownState(const Entry &copied) const
{
    const BackendId &backend = copied.instance.backend;
    if (const auto known = m_entries.find(backend); known != m_entries.end() && known->second.startedAt != copied.startedAt) {
        return copied.startedAt < known->second.startedAt;
    }
    if (copied.instance.leaving) {
        return false;
    }
    if (const auto absence = m_absences.find(backend); absence != m_absences.end() && !absence->second.isFromRestoration) {
        return true;
    }
    const auto departure = m_departed.find(backend);
    return departure != m_departed.end() && copied.startedAt <= departure->second.startedAt;
}

bool InstanceDirectory::isUnconfirmed(const Entry &entry) const
{
    const auto known = m_unconfirmed.find(entry.instance.backend);
    return known != m_unconfirmed.end() && known->second.entry.writtenAt == entry.writtenAt;
}

bool InstanceDirectory::retain(const Entry &missing, bool isFirstOfCopy, std::optional<TimePoint> availableSince, TimePoint now)
{
    const BackendId &backend = missing.instance.backend;
    if (missing.instance.leaving || hasLeft(backend)) {
        return false;
    }
    const auto [absence, isNew] = m_absences.try_emplace(backend, Absence{now + maxRetention, false});
    // An entry that was missing before the restoration may have been removed for good.
    if (isFirstOfCopy && (isNew || absence->second.isFromRestoration)) {
        absence->second = {m_restoredAt + reregistrationLimit, true};
    }
    return isRetained(absence->second, availableSince, now);
}

bool InstanceDirectory::isRetained(const Absence &absence, std::optional<TimePoint> availableSince, TimePoint now)
{
    return now < absence.retainedUntil && (absence.isFromRestoration || mayReappear(availableSince, now));
}

void InstanceDirectory::markDeparted(const Entry &entry, TimePoint now)
{
    Departure &departure = m_departed[entry.instance.backend];
    departure = {now, std::max(departure.startedAt, entry.startedAt)};
}

void InstanceDirectory::forgetOldDepartures(TimePoint now)
{
    for (auto departed = m_departed.begin(); departed != m_departed.end();) {
        const bool isOld = now - departed->second.at > departedLifetime && m_unconfirmed.count(departed->first) == 0;
        departed = isOld ? m_departed.erase(departed) : std::next(departed);
    }
}

bool InstanceDirectory::expire(std::optional<TimePoint> availableSince, TimePoint now)
{
    bool isChanged = false;
    for (auto absence = m_absences.begin(); absence != m_absences.end();) {
        if (isRetained(absence->second, availableSince, now)) {
            ++absence;
            continue;
        }
        const auto entry = m_entries.find(absence->first);
        markDeparted(entry->second, now);
        m_entries.erase(entry);
        absence = m_absences.erase(absence);
        isChanged = true;
    }
    for (auto unconfirmed = m_unconfirmed.begin(); unconfirmed != m_unconfirmed.end();) {
        const auto &[backend, copied] = *unconfirmed;
        if (!availableSince || now - std::max(copied.since, *availableSince) < maxLeaseTime) {
            ++unconfirmed;
            continue;
        }
        m_entries[backend] = copied.entry;
        m_absences.erase(backend);
        m_departed.erase(backend);
        unconfirmed = m_unconfirmed.erase(unconfirmed);
        isChanged = true;
    }
    return isChanged;
}

std::map<InstanceId, const InstanceDirectory::Entry *> InstanceDirectory::latestStarts() const
{
    std::map<InstanceId, const Entry *> latest;
    for (const auto &[backend, entry] : m_entries) {
        const Entry *&chosen = latest[entry.instance.instance];
        if (chosen == nullptr || chosen->startedAt <= entry.startedAt) {
            chosen = &entry;
        }
    }
    return latest;
}

std::vector<PublishedInstance> InstanceDirectory::instances() const
{
    const auto latest = latestStarts();
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

bool InstanceDirectory::awaitsWrite(const BackendId &backend) const
{
    return m_unconfirmed.count(backend) != 0;
}

std::size_t InstanceDirectory::departedCount() const
{
    return m_departed.size();
}

std::size_t InstanceDirectory::retainedCount() const
{
    return m_absences.size();
}

std::size_t InstanceDirectory::unconfirmedCount() const
{
    return m_unconfirmed.size();
}

} // namespace chervilpaddle
