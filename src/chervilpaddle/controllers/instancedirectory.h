#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/controllers/storeposition.h>

#include <functional>
#include <map>
#include <optional>

namespace chervilpaddle {

//! Derives the list of usable instances from the entries in the platform's store. Each start of a backend server has its own
//! entry; if several entries name the same instance, the latest start is used. Entries that disappear during an outage of the
//! store or shortly after it are retained for a limited time, so that their instances can register again. A store that was restored
//! from a copy may lack entries and may show starts as ready that have left: the former are retained, and of the latter the copy is
//! not believed. Not thread-safe.
class InstanceDirectory
{
public:
    //! An entry of the platform's store.
    struct Entry
    {
        PublishedInstance instance;
        //! Start time of the backend server in milliseconds since the epoch; the latest of several entries has the highest.
        std::int64_t startedAt = 0;
        //! The change of the store that wrote the entry. Heartbeats need not be counted.
        StorePosition writtenAt = {};
    };

    //! Tells that the store was restored from a copy. To be called before the first update with a state of the restored store.
    void storeRestored(TimePoint now);
    //! Replaces the entries by those in the store. `availableSince` is the time at which the store became available, nullopt
    //! while it is not.
    void update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now);
    //! Removes missing entries whose retention time is over, and accepts entries that have outlived their lease. Returns true if the
    //! list has changed.
    bool expire(std::optional<TimePoint> availableSince, TimePoint now);

    //! The instances without duplicates, ordered by id.
    std::vector<PublishedInstance> instances() const;
    //! Whether this start of a backend server is leaving or was removed, which is remembered for longer than any call takes. No new
    //! calls may be sent to it.
    bool hasLeft(const BackendId &backend) const;
    //! Whether a heartbeat of this backend server has to be reported as a change of its entry: it tells that the entry of a restored
    //! copy still holds.
    bool awaitsWrite(const BackendId &backend) const;
    //! The number of starts for which hasLeft() is true.
    std::size_t departedCount() const;
    //! The number of entries that are retained although they are missing from the store.
    std::size_t retainedCount() const;
    //! The number of entries of a restored copy that are not believed.
    std::size_t unconfirmedCount() const;

private:
    //! Retention of an entry that is missing from the store.
    struct Absence
    {
        TimePoint retainedUntil;
        //! The entry is missing because the copy that the store was restored from is older.
        bool isFromRestoration = false;
    };
    //! The last time that a start was seen leaving or was removed.
    struct Departure
    {
        TimePoint at;
        std::int64_t startedAt = 0;
    };
    //! An entry of a restored copy that contradicts what was known before.
    struct UnconfirmedEntry
    {
        Entry entry;
        TimePoint since;
    };

    std::map<InstanceId, const Entry *> latestStarts() const;
    bool contradictsKnownState(const Entry &copied) const;
    bool isUnconfirmed(const Entry &entry) const;
    bool retain(const Entry &missing, bool isFirstOfCopy, std::optional<TimePoint> availableSince, TimePoint now);
    static bool isRetained(const Absence &absence, std::optional<TimePoint> availableSince, TimePoint now);
    void markDeparted(const Entry &entry, TimePoint now);
    void forgetOldDepartures(TimePoint now);

    std::map<BackendId, Entry> m_entries;
    std::map<BackendId, Absence> m_absences;
    std::map<BackendId, Departure> m_departed;
    std::map<BackendId, UnconfirmedEntry> m_unconfirmed;
    TimePoint m_restoredAt;
    //! Whether the next update is the first one since the restoration.
    bool m_awaitsCopy = false;
};

} // namespace chervilpaddle
