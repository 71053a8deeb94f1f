#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace chervilpaddle {

//! Makes the list of usable instances out of the platform's entries, one for each start of a backend server.
//! Where several entries name one instance, the latest start counts. Entries that vanish while the platform is away
//! are kept until their owners have had time to come back. Not thread safe.
class InstanceDirectory
{
public:
    //! An entry of the platform's store.
    struct Entry
    {
        PublishedInstance instance;
        //! Milliseconds since the epoch of the backend server's start; tells the latest of several entries.
        std::int64_t startedAt = 0;
    };

    //! Takes all entries that stand in the store. `availableSince`: when the store began to answer; nothing while it
    //! does not.
    void update(const std::vector<Entry> &entries, std::optional<TimePoint> availableSince, TimePoint now);
    //! Drops entries that were kept and did not come back. True where the list has changed.
    bool expire(std::optional<TimePoint> availableSince, TimePoint now);

    //! The instances, each once, in the order of their ids.
    std::vector<PublishedInstance> instances() const;
    //! Whether this start of a backend server has been seen to leave: nothing may be sent to it any more.
    bool hasLeft(const BackendId &backend) const;

private:
    bool mayComeBack(std::optional<TimePoint> availableSince, TimePoint now) const;

    std::map<BackendId, Entry> m_entries;
    //! Entries that are kept though the store holds them no more, and since when.
    std::map<BackendId, TimePoint> m_vanished;
    std::set<BackendId> m_left;
};

} // namespace chervilpaddle
