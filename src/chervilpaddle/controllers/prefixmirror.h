#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/storemessages.h>

#include <map>
#include <optional>

namespace chervilpaddle {

//! Keeps a copy of all items below a prefix of the store: reads them page by page, then follows the changes, and
//! reads anew where the history was lost. A peer's copy may stand in while the store does not answer. What is held
//! never goes back to an older state of the store. Does no I/O. Not thread safe.
class PrefixMirror
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        StoreReader reader;
        //! The items have changed, or were read for the first time.
        std::function<void()> changed;
        //! The store began or ceased to answer.
        std::function<void(bool isAvailable)> availabilityChanged;
    };

    PrefixMirror(std::string prefix, Hooks hooks, std::uint64_t seed);

    void start();

    //! Whether the items were read at least once, from the store or from a peer.
    bool hasContent() const;
    const std::map<std::string, StoreItem> &items() const;
    //! The revision of the last change that the items hold.
    Revision lastChange() const;
    //! When the store last began to answer; nothing while it does not.
    std::optional<TimePoint> availableSince() const;

    //! Whether a peer that holds a change of this revision knows more.
    bool isBehind(Revision peersLastChange) const;
    //! The copy, for a peer.
    std::string snapshot() const;
    //! Takes a peer's copy where it is newer. False where it is older or cannot be read.
    bool applySnapshot(const std::string &snapshot);

private:
    void readPage(const std::string &afterKey);
    void pageRead(const StorePage &page);
    void finishReading();
    void watch();
    void changesRead(const StoreChanges &changes);
    void failed(std::function<void()> retry);
    void answered();
    void noteChange(Revision revision);

    std::string m_prefix;
    Hooks m_hooks;
    RandomSource m_random;
    std::map<std::string, StoreItem> m_items;
    //! The items of the pages read so far.
    std::map<std::string, StoreItem> m_reading;
    std::optional<Revision> m_readingSince;
    //! Every change up to this revision is in m_items.
    Revision m_synced;
    Revision m_lastChange;
    bool m_hasContent = false;
    int m_failures = 0;
    std::optional<TimePoint> m_answeringSince;
};

} // namespace chervilpaddle
