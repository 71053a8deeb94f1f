#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <functional>
#include <map>
#include <optional>

namespace chervilpaddle {

//! Derives the list of usable instances from the entries in the platform's store. Each start of a backend server has its own
//! entry; if several entries name the same instance, the latest start is used. Entries that disappear during an outage of the
//! store or shortly after it are retained for a limited time, so that their instances can register again. Not thread-safe.
class InstanceDirectory
{
public:
    //! An entry of the platform's store.
    struct Entry
    {
        PublishedInstance instance;
        //! Start time of the backend server in milliseconds since the epoch; the latest of several entries has the highest.
        std::int64_t startedAt = 0;
    };

    //! Replaces the entries by those in the store. `availableSince` is the time at which the store became available, nullopt
    //! while it is not.
    void update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now);
    //! Removes missing entries whose retention time is over. Returns true if the list has changed.
    bool expire(std::optional<TimePoint> availableSince, TimePoint now);

    //! The instances without duplicates, ordered by id.
    std::vector<PublishedInstance> instances() const;
    //! Whether this start of a backend server is leaving or was removed, which is remembered for longer than any call takes. No new
    //! calls may be sent to it.
    bool hasLeft(const BackendId &backend) const;
    //! The number of starts for which hasLeft() is true.
    std::size_t departedCount() const;

private:
    bool mayReappear(std::optional<TimePoint> availableSince, TimePoint now) const;

    std::map<BackendId, Entry> m_entries;
    //! Entries that are retained although they are missing from the store, with the time at which they disappeared.
    std::map<BackendId, TimePoint> m_missingSince;
    //! When each start was last seen leaving or was removed.
    std::map<BackendId, TimePoint> m_departed;
};

} // namespace chervilpaddle
