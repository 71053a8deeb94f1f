#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/storemessages.h>

#include <deque>
#include <map>
#include <optional>

namespace chervilpaddle {

//! What became of a document of a peer that was passed to a mirror.
enum class MirrorUpdate {
    Applied,
    NotNewer,
    Gap, //!< The document continues from a later state than that of the mirror, which needs the changes in between.
    Malformed,
};

//! A mirror has gone over from one era of the store to a newer one.
struct StoreEraChange
{
    StorePosition held;
    StorePosition read;
    //! Items whose value has not changed.
    std::size_t kept = 0;
    //! Items that are new or have another value.
    std::size_t changed = 0;
    std::size_t removed = 0;
};

//! Mirrors all items of the store under a prefix: reads them page by page, then watches for changes, and reads them again if the
//! changes have been compacted or the store was restored from a copy. A mirror that does not read the store itself is kept up to
//! date with the documents of its peers. The mirrored items never revert to an older state, and never mix those of two eras. Does
//! no I/O. Not thread-safe.
class PrefixMirror
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        StoreReader reader;
        //! Whether an item that was written again says nothing new, such as that its writer is still alive. Heartbeats are
        //! not changes: they are neither reported nor passed on. If not set, each write is a change.
        std::function<bool(const StoreItem &previous, const StoreItem &next)> isHeartbeat = nullptr;
        //! Called before `changed` when the items are those of a newer era. Not called for the first items. May be empty.
        std::function<void(const StoreEraChange &)> eraChanged = nullptr;
        //! Called when the items or their era have changed or were read for the first time.
        std::function<void()> changed;
        //! Called when the store becomes available or unavailable.
        std::function<void(bool isAvailable)> availabilityChanged;
        //! Called when no response has arrived in time on an open connection. May be empty.
        std::function<void()> requestTimedOut = nullptr;
    };

    PrefixMirror(std::string prefix, Hooks hooks, std::uint64_t seed);

    //! Starts reading the store.
    void start();
    //! Whether to go on reading the store. A mirror without content reads it in any case; a watch in progress is not cut off.
    void setReading(bool isReading);
    //! Sets since when the store is available according to a peer. Ignored while this mirror reads the store itself.
    void setAvailableSince(std::optional<TimePoint> since);

    //! Whether the items have been read at least once, from the store or from a peer.
    bool hasContent() const;
    const std::map<std::string, StoreItem> &items() const;
    //! The position of the last change contained in the items.
    StorePosition lastChange() const;
    //! The items contain all changes up to this position.
    StorePosition synced() const;
    //! When the store last became available or was last restored; nullopt while it is unavailable.
    std::optional<TimePoint> availableSince() const;

    //! Whether a peer whose last change has this position has newer items.
    bool isBehind(const StorePosition &peerLastChange) const;
    //! All items in serialised form, for a peer.
    std::string snapshot() const;
    //! The changes after a position in serialised form, or all items if the changes are not known.
    std::string changesSince(const StorePosition &held) const;
    //! Applies a document of a peer, which holds changes or all items, if it is newer.
    MirrorUpdate apply(const std::string &document);

private:
    void readPage(const std::string &afterKey);
    void handlePage(const StorePage &page);
    void finishSnapshot();
    void watch();
    Duration watchDuration();
    void handleChanges(const StoreChanges &changes);
    void handleFailure(StoreStatus status, std::function<void()> retry);
    void readAgain();
    void pauseBefore(std::function<void()> action);
    void markAvailable();
    void updateLastChange(Revision revision);
    bool isHeartbeat(const StoreItem &previous, const StoreItem &next) const;
    std::vector<StoreEvent> differencesTo(const std::map<std::string, StoreItem> &items, Revision removalRevision) const;
    bool applyEvents(const std::vector<StoreEvent> &events);
    bool applyEvent(const StoreEvent &event);
    void replaceItems(std::map<std::string, StoreItem> items, const StorePosition &synced);
    void enterEra(std::map<std::string, StoreItem> items, const StorePosition &synced);
    void remember(std::vector<StoreEvent> events);
    MirrorUpdate applyChanges(const struct MirrorDocument &document);
    MirrorUpdate applySnapshot(struct MirrorDocument &document);

    std::string m_prefix;
    Hooks m_hooks;
    RandomSource m_random;
    std::map<std::string, StoreItem> m_items;
    //! The items of the pages read so far, and the store position of the first page.
    std::map<std::string, StoreItem> m_snapshotItems;
    std::optional<StorePosition> m_snapshotPosition;
    //! m_items contains all changes up to this position. All revisions below are of its era.
    StorePosition m_synced;
    Revision m_lastChange;
    //! Where the latest watch began.
    StorePosition m_watchedFrom;
    //! The latest changes, oldest first: all those after m_recentSince.
    std::deque<StoreEvent> m_recentEvents;
    Revision m_recentSince;
    bool m_hasContent = false;
    bool m_isReading = true;
    //! Whether a request to the store or its retry is pending.
    bool m_isBusy = false;
    int m_failures = 0;
    //! Whether the request that is out repeats one that timed out while the store was available.
    bool m_isRepeatingTimedOut = false;
    //! Responses that could not be used, since the last watch that was successful.
    int m_unusableResponses = 0;
    std::optional<TimePoint> m_answeringSince;
    TimePoint m_lastResponseAt;
    //! When the items became those of a newer era.
    std::optional<TimePoint> m_restoredAt;
};

} // namespace chervilpaddle
