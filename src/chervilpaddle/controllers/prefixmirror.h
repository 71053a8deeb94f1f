#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/storemessages.h>

#include <map>
#include <optional>

namespace chervilpaddle {

//! Mirrors all items of the store under a prefix: reads them page by page, then watches for changes, and reads them again if the
//! changes have been compacted. While the store is unavailable, the snapshot of a peer can be applied instead. The mirrored items
//! never revert to an older state of the store. Does no I/O. Not thread-safe.
class PrefixMirror
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        StoreReader reader;
        //! Called when the items have changed or were read for the first time.
        std::function<void()> changed;
        //! Called when the store becomes available or unavailable.
        std::function<void(bool isAvailable)> availabilityChanged;
    };

    PrefixMirror(std::string prefix, Hooks hooks, std::uint64_t seed);

    void start();

    //! Whether the items have been read at least once, from the store or from a peer.
    bool hasContent() const;
    const std::map<std::string, StoreItem> &items() const;
    //! The revision of the last change contained in the items.
    Revision lastChange() const;
    //! When the store last became available; nullopt while it is unavailable.
    std::optional<TimePoint> availableSince() const;

    //! Whether a peer whose last change has this revision has newer items.
    bool isBehind(Revision peerLastChange) const;
    //! The items in serialised form, for a peer.
    std::string snapshot() const;
    //! Applies the snapshot of a peer if it is newer. Returns false if it is not newer or is malformed.
    bool applySnapshot(const std::string &snapshot);

private:
    void readPage(const std::string &afterKey);
    void handlePage(const StorePage &page);
    void finishSnapshot();
    void watch();
    void handleChanges(const StoreChanges &changes);
    void handleFailure(std::function<void()> retry);
    void markAvailable();
    void updateLastChange(Revision revision);

    std::string m_prefix;
    Hooks m_hooks;
    RandomSource m_random;
    std::map<std::string, StoreItem> m_items;
    //! The items of the pages read so far, and the store revision of the first page.
    std::map<std::string, StoreItem> m_snapshotItems;
    std::optional<Revision> m_snapshotRevision;
    //! m_items contains all changes up to this revision.
    Revision m_syncedRevision;
    Revision m_lastChange;
    bool m_hasContent = false;
    int m_failures = 0;
    std::optional<TimePoint> m_answeringSince;
};

} // namespace chervilpaddle
