#include <chervilpaddle/controllers/prefixmirror.h>

#include <criterion/criterion.h>
#include <deque>

using namespace chervilpaddle;

namespace {

//! A store whose requests are queued and answered by the test one at a time.
struct FakeStore
{
    struct Range
    {
        std::string afterKey;
        std::function<void(const StorePage &)> reply;
    };
    struct Watch
    {
        Revision after;
        Duration timeout;
        std::function<void(const StoreChanges &)> reply;
    };

    TimePoint now;
    TimePoint respondedAt;
    std::deque<Range> ranges;
    std::deque<Watch> watches;
    std::deque<std::function<void()>> scheduled;
    Duration lastDelay{};
    int changes = 0;
    std::vector<StoreEraChange> eraChanges;
    std::vector<bool> availability;
    int timeouts = 0;
    //! The era that the store reports; not set if it reports none.
    std::optional<StoreEra> era;
    PrefixMirror mirror;

    explicit FakeStore(std::uint64_t seed = 1)
        : mirror("p/", hooks(), seed)
    {
    }

    PrefixMirror::Hooks hooks()
    {
        PrefixMirror::Hooks hooks;
        hooks.clock = [this] { return now; };
        hooks.schedule = [this](Duration delay, std::function<void()> action) {
            lastDelay = delay;
            scheduled.push_back(std::move(action));
        };
        hooks.reader.range = [this](const std::string & /*prefix*/, const std::string &afterKey, auto reply) {
            ranges.push_back({afterKey, std::move(reply)});
        };
        hooks.reader.watch = [this](const std::string & /*prefix*/, Revision after, Duration timeout, auto reply) {
            watches.push_back({after, timeout, std::move(reply)});
        };
        hooks.reader.closeIdleConnections = [] {};
        hooks.eraChanged = [this](const StoreEraChange &change) { eraChanges.push_back(change); };
        hooks.changed = [this] { ++changes; };
        // A value is a text, a hyphen and the number of the heartbeat.
        hooks.isHeartbeat = [](const StoreItem &previous, const StoreItem &next) {
            return previous.value.substr(0, previous.value.find('-')) == next.value.substr(0, next.value.find('-'));
        };
        hooks.availabilityChanged = [this](bool isAvailable) { availability.push_back(isAvailable); };
        hooks.requestTimedOut = [this] { ++timeouts; };
        return hooks;
    }

    void page(const std::vector<StoreItem> &items, std::uint64_t revision, bool hasMore = false)
    {
        const Range range = std::move(ranges.front());
        ranges.pop_front();
        respondedAt = now;
        range.reply({StoreStatus::Success, items, hasMore, Revision(revision), era});
    }

    void events(const std::vector<StoreEvent> &events, std::uint64_t revision)
    {
        const Watch watch = std::move(watches.front());
        watches.pop_front();
        respondedAt = now;
        watch.reply({StoreStatus::Success, events, Revision(revision), era});
        runScheduled();
    }

    void failWatch(StoreStatus status)
    {
        const Watch watch = std::move(watches.front());
        watches.pop_front();
        respondedAt = now;
        watch.reply({status, {}, Revision(), era});
    }

    void runScheduled()
    {
        while (!scheduled.empty()) {
            const auto action = std::move(scheduled.front());
            scheduled.pop_front();
            now += lastDelay;
            action();
        }
    }

    //! Restores the store from a copy: the watch that is out fails, and the next one begins at a revision that the store lacks.
    void restore(std::uint64_t newEra)
    {
        failWatch(StoreStatus::Failed);
        runScheduled();
        era = StoreEra(newEra);
        failWatch(StoreStatus::Compacted);
        runScheduled();
    }
};

StoreItem item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {key, value, Revision(revision)};
}

StorePosition position(std::uint64_t era, std::uint64_t revision)
{
    return {StoreEra(era), Revision(revision)};
}

} // namespace

Test(prefixmirror, reads_pages_then_watches_for_changes)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 3)}, 10, true);
    cr_assert_str_eq(store.ranges.front().afterKey.c_str(), "p/a");
    store.page({item("p/b", "2", 12)}, 13);
    cr_assert_eq(store.mirror.items().size(), 2);
    // The pages have different store revisions: the watch starts at that of the first page.
    cr_assert_eq(store.watches.front().after.value(), 10);
    store.events({{item("p/b", "old", 11), false}, {item("p/a", "", 12), true}, {item("p/c", "3", 14), false}}, 14);
    cr_assert_str_eq(store.mirror.items().at("p/b").value.c_str(), "2", "an older event does not overwrite an item of a later page");
    cr_assert_eq(store.mirror.items().count("p/a"), 0);
    cr_assert_eq(store.mirror.items().count("p/c"), 1);
    cr_assert_eq(store.watches.front().after.value(), 14);
}

Test(prefixmirror, reads_all_items_again_after_compaction)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 3), item("p/b", "1", 4)}, 10);
    store.failWatch(StoreStatus::Compacted);
    cr_assert(store.ranges.empty(), "the items are not read again without a pause");
    store.runScheduled();
    store.page({item("p/b", "2", 40)}, 50);
    cr_assert_eq(store.mirror.items().size(), 1);
    cr_assert_eq(store.watches.front().after.value(), 50);
}

Test(prefixmirror, keeps_its_items_during_an_outage_and_reports_it_once)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 3)}, 10);
    store.failWatch(StoreStatus::Failed);
    store.scheduled.front()();
    store.failWatch(StoreStatus::Failed);
    cr_assert_eq(store.mirror.items().size(), 1);
    cr_assert_eq(store.availability.size(), 2);
    cr_assert_not(store.mirror.availableSince());
}

Test(prefixmirror, a_peer_snapshot_is_applied_only_if_it_is_newer)
{
    FakeStore ahead;
    ahead.mirror.start();
    ahead.page({item("p/a", "new", 30)}, 31);
    FakeStore behind;
    behind.mirror.start();
    behind.page({item("p/a", "old", 3), item("p/b", "old", 4)}, 10);
    cr_assert(behind.mirror.isBehind(ahead.mirror.lastChange()));
    const std::string old = behind.mirror.snapshot();
    cr_assert(behind.mirror.apply(ahead.mirror.snapshot()) == MirrorUpdate::Applied);
    cr_assert_str_eq(behind.mirror.items().at("p/a").value.c_str(), "new");
    cr_assert_eq(behind.mirror.items().size(), 1);
    cr_assert(ahead.mirror.apply(old) == MirrorUpdate::NotNewer);
    cr_assert(behind.mirror.apply(old) == MirrorUpdate::NotNewer);
    cr_assert(behind.mirror.apply("not JSON") == MirrorUpdate::Malformed);
    // The response to a watch started earlier does not overwrite newer items of the snapshot.
    behind.events({{item("p/a", "older", 20), false}}, 20);
    cr_assert_str_eq(behind.mirror.items().at("p/a").value.c_str(), "new");
}

//! Guards against nodes that detect a silent store connection too late: each must notice within 2.5 s of the last response, whatever
//! pause follows it, as it must be up to date again after 3 s. The retry, a slow response and the way to the peers take the rest.
Test(prefixmirror, a_silent_connection_is_noticed_in_time_after_each_pause)
{
    using namespace std::chrono_literals;
    const std::function<void(FakeStore &)> responses[] = {
        [](FakeStore &store) { store.events({}, 11); },
        [](FakeStore &store) {
            store.events({{item("p/a", "ready-2", 11), false}}, 11);
        },
        [](FakeStore &store) {
            store.events({{item("p/a", "leaving-2", 11), false}}, 11);
        },
        [](FakeStore &store) {
            for (int i = 0; i < 5; ++i) {
                store.failWatch(StoreStatus::Compacted);
                store.runScheduled();
                store.page({}, 11);
            }
        },
    };
    Duration shortest = 1h;
    Duration longest = 0s;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        for (const auto &respond : responses) {
            FakeStore store(seed);
            store.mirror.start();
            store.page({item("p/a", "ready-1", 3)}, 10);
            store.now += store.watches.front().timeout;
            respond(store);
            const Duration noticed = store.now - store.respondedAt + store.watches.front().timeout + storeWatchMargin;
            shortest = std::min(shortest, noticed);
            longest = std::max(longest, noticed);
        }
    }
    cr_expect_leq(longest, 2500ms);
    cr_expect_lt(shortest, longest, "the readers do not all call the store at once");
}

Test(prefixmirror, changes_bring_a_peer_up_to_date_without_the_other_items)
{
    FakeStore ahead;
    ahead.mirror.start();
    ahead.page({item("p/a", "1", 3), item("p/b", "1", 4)}, 10);
    FakeStore behind;
    behind.mirror.start();
    behind.page({item("p/a", "1", 3), item("p/b", "1", 4)}, 10);
    ahead.events({{item("p/a", "", 11), true}, {item("p/c", "2", 12), false}}, 12);
    const std::string changes = ahead.mirror.changesSince(position(0, 10));
    cr_assert_eq(changes.find("p/b"), std::string::npos, "an unchanged item is not sent");
    cr_assert(behind.mirror.apply(changes) == MirrorUpdate::Applied);
    cr_assert_eq(behind.mirror.items().count("p/a"), 0);
    cr_assert_eq(behind.mirror.items().count("p/c"), 1);
    cr_assert_eq(behind.mirror.items().size(), 2);
}

Test(prefixmirror, changes_that_do_not_continue_from_the_held_items_are_not_applied)
{
    FakeStore ahead;
    ahead.mirror.start();
    ahead.page({item("p/a", "1", 3)}, 10);
    FakeStore behind;
    behind.mirror.start();
    behind.page({item("p/a", "1", 3)}, 10);
    ahead.events({{item("p/b", "1", 11), false}}, 11);
    ahead.events({{item("p/c", "1", 12), false}}, 12);
    cr_assert(behind.mirror.apply(ahead.mirror.changesSince(position(0, 11))) == MirrorUpdate::Gap);
    cr_assert(behind.mirror.apply(ahead.mirror.changesSince(behind.mirror.synced())) == MirrorUpdate::Applied);
    cr_assert_eq(behind.mirror.items().size(), 3);
}

//! After a compaction the items are read again; a peer that missed this still learns of the removal from the changes.
Test(prefixmirror, changes_include_what_a_repeated_read_found)
{
    FakeStore ahead;
    ahead.mirror.start();
    ahead.page({item("p/a", "1", 3), item("p/b", "1", 4)}, 10);
    FakeStore behind;
    behind.mirror.start();
    behind.page({item("p/a", "1", 3), item("p/b", "1", 4)}, 10);
    ahead.failWatch(StoreStatus::Compacted);
    ahead.runScheduled();
    ahead.page({item("p/b", "2", 40)}, 50);
    cr_assert(behind.mirror.isBehind(ahead.mirror.lastChange()));
    cr_assert(behind.mirror.apply(ahead.mirror.changesSince(position(0, 10))) == MirrorUpdate::Applied);
    cr_assert_eq(behind.mirror.items().size(), 1);
    cr_assert_str_eq(behind.mirror.items().at("p/b").value.c_str(), "2");
}

Test(prefixmirror, a_mirror_that_stops_reading_finishes_its_watch_and_can_resume)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 3)}, 10);
    store.mirror.setReading(false);
    store.events({{item("p/a", "2", 11), false}}, 11);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "2");
    cr_assert(store.watches.empty());
    store.mirror.setReading(true);
    store.mirror.setReading(true);
    cr_assert_eq(store.watches.size(), 1);
    cr_assert_eq(store.watches.front().after.value(), 11);
}

Test(prefixmirror, heartbeats_are_no_changes)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "ready-1", 3), item("p/b", "ready-1", 4)}, 10);
    const int changesBefore = store.changes;
    store.events({{item("p/a", "ready-2", 11), false}, {item("p/b", "ready-2", 12), false}}, 12);
    cr_assert_eq(store.changes, changesBefore);
    cr_assert_eq(store.mirror.lastChange().revision.value(), 4, "peers are not told of a change");
    cr_assert_eq(store.mirror.synced().revision.value(), 12);
    cr_assert_eq(store.watches.front().after.value(), 12);
    cr_assert_eq(store.mirror.items().at("p/a").revision.value(), 3, "what was decoded from the item still holds");
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "ready-2", "the next heartbeat is compared with the latest");
    const Duration delayAfterHeartbeats = store.lastDelay;
    store.events({{item("p/a", "ready-3", 13), false}, {item("p/b", "leaving-3", 14), false}}, 14);
    cr_assert_eq(store.changes, changesBefore + 1);
    cr_assert_eq(store.mirror.lastChange().revision.value(), 14);
    cr_assert_lt(store.lastDelay, delayAfterHeartbeats, "where heartbeats alone end the watches, they are asked for more rarely");
    cr_assert_eq(store.mirror.changesSince(position(0, 10)).find("p/a"), std::string::npos, "peers do not get heartbeats");
}

Test(prefixmirror, a_repeated_read_that_finds_heartbeats_only_is_no_change)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "ready-1", 3)}, 10);
    const int changesBefore = store.changes;
    store.failWatch(StoreStatus::Compacted);
    store.runScheduled();
    store.page({item("p/a", "ready-9", 40)}, 50);
    cr_assert_eq(store.changes, changesBefore);
    cr_assert_eq(store.mirror.lastChange().revision.value(), 3);
}

Test(prefixmirror, a_mirror_that_does_not_know_whether_the_store_answers_asks_it_briefly)
{
    FakeStore store;
    store.mirror.setReading(false);
    store.mirror.start();
    store.page({item("p/a", "ready-1", 3)}, 10);
    store.mirror.setAvailableSince(std::nullopt);
    cr_assert(store.watches.empty());
    store.mirror.setReading(true);
    cr_assert_leq(store.watches.front().timeout, std::chrono::milliseconds(100));
    store.events({}, 10);
    cr_assert(store.mirror.availableSince().has_value());
    cr_assert_geq(store.watches.front().timeout, std::chrono::seconds(1));
    store.failWatch(StoreStatus::Failed);
    store.scheduled.front()();
    cr_assert_leq(store.watches.front().timeout, std::chrono::milliseconds(100));
}

//! Guards against entries that were removed and are retained, and nodes that take over from readers, as if the store had been down.
Test(prefixmirror, a_connection_that_becomes_silent_is_no_outage_of_the_store)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "ready-1", 3)}, 10);
    const auto availableSince = store.mirror.availableSince();
    for (int i = 0; i < 3; ++i) {
        store.now += std::chrono::seconds(2);
        store.failWatch(StoreStatus::TimedOut);
        cr_assert_eq(store.watches.size(), 1, "it is tried again without a pause");
        cr_expect_leq(store.watches.front().timeout, std::chrono::milliseconds(100));
        store.events({}, 10);
        cr_expect_geq(store.watches.front().timeout, std::chrono::seconds(1));
    }
    cr_expect(store.mirror.availableSince() == availableSince);
    cr_expect_eq(store.availability.size(), 1);
    cr_expect_eq(store.timeouts, 3);
}

Test(prefixmirror, a_store_that_does_not_respond_on_a_new_connection_either_is_unavailable)
{
    for (const StoreStatus second : {StoreStatus::TimedOut, StoreStatus::Failed}) {
        FakeStore store;
        store.mirror.start();
        store.page({}, 10);
        store.failWatch(StoreStatus::TimedOut);
        store.failWatch(second);
        cr_expect_not(store.mirror.availableSince());
        cr_expect(store.watches.empty(), "further retries are paced");
        store.runScheduled();
        store.failWatch(StoreStatus::TimedOut);
        cr_expect(store.watches.empty());
    }
}

Test(prefixmirror, items_at_lower_revisions_are_taken_after_a_restoration)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "new", 90), item("p/b", "1", 4)}, 100);
    store.restore(2);
    store.page({item("p/a", "old", 30), item("p/b", "1", 4)}, 60);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "old");
    cr_assert(store.mirror.synced() == position(2, 60));
    cr_assert_eq(store.watches.front().after.value(), 60);
    store.events({{item("p/a", "newer", 61), false}}, 61);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "newer", "revisions are given out again");
    cr_assert(store.mirror.items().at("p/a").position() == position(2, 61));
}

Test(prefixmirror, another_value_at_the_same_revision_is_a_change_after_a_restoration)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "first", 100)}, 100);
    const int changesBefore = store.changes;
    store.restore(2);
    store.page({item("p/a", "second", 100)}, 100);
    cr_assert_eq(store.changes, changesBefore + 1);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "second");
    cr_assert(store.mirror.items().at("p/a").position() == position(2, 100), "what was decoded at that revision is not taken for it");
}

Test(prefixmirror, reports_what_a_restoration_has_kept_changed_and_removed)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "ready-9", 90), item("p/b", "ready-9", 91), item("p/c", "ready-1", 92)}, 100);
    store.restore(2);
    store.page({item("p/a", "ready-4", 40), item("p/b", "leaving-4", 41), item("p/d", "ready-1", 42)}, 60);
    cr_assert_eq(store.eraChanges.size(), 1);
    const StoreEraChange &change = store.eraChanges.front();
    cr_assert(change.held == position(1, 100));
    cr_assert(change.read == position(2, 60));
    cr_assert_eq(change.kept, 1, "an earlier heartbeat is no change");
    cr_assert_eq(change.changed, 2);
    cr_assert_eq(change.removed, 1);
}

Test(prefixmirror, two_restorations_in_a_row_are_followed)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    store.restore(2);
    store.era = StoreEra(3);
    store.page({item("p/a", "3", 20)}, 50);
    store.failWatch(StoreStatus::Failed);
    store.runScheduled();
    store.era = StoreEra(4);
    store.failWatch(StoreStatus::Compacted);
    store.runScheduled();
    store.page({item("p/a", "4", 10)}, 40);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "4");
    cr_assert(store.mirror.synced() == position(4, 40));
    cr_assert_eq(store.eraChanges.size(), 2);
}

Test(prefixmirror, pages_of_two_eras_are_not_mixed)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "lost", 90)}, 100, true);
    store.era = StoreEra(2);
    store.page({item("p/b", "2", 50)}, 60);
    cr_assert(!store.mirror.hasContent());
    cr_assert(store.ranges.empty(), "the items are not read again without a pause");
    store.runScheduled();
    cr_assert_str_eq(store.ranges.front().afterKey.c_str(), "");
    store.page({item("p/b", "2", 50)}, 60);
    cr_assert_eq(store.mirror.items().size(), 1);
    cr_assert(store.mirror.synced() == position(2, 60));
}

Test(prefixmirror, a_watch_that_continues_in_another_era_is_not_applied)
{
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    store.era = StoreEra(2);
    // The store was restored, and its new revisions have already passed that of the watch.
    store.events({{item("p/b", "2", 101), false}}, 101);
    cr_assert_eq(store.mirror.items().count("p/b"), 0, "the changes before it are missing");
    store.page({item("p/b", "2", 101), item("p/c", "2", 99)}, 101);
    cr_assert_eq(store.mirror.items().size(), 2);
    cr_assert_eq(store.mirror.items().count("p/a"), 0);
}

Test(prefixmirror, a_response_of_an_older_era_is_ignored)
{
    FakeStore newer;
    newer.era = StoreEra(2);
    newer.mirror.start();
    newer.page({item("p/a", "copy", 40)}, 60);
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    cr_assert(store.mirror.apply(newer.mirror.snapshot()) == MirrorUpdate::Applied);
    // This watch and this read were answered before the restoration.
    store.events({{item("p/a", "lost", 101), false}}, 101);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "copy");
    cr_assert_eq(store.watches.front().after.value(), 60);
    store.failWatch(StoreStatus::Compacted);
    store.runScheduled();
    store.page({item("p/a", "lost", 101)}, 101);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "copy");
    cr_assert(store.watches.empty() && store.ranges.empty(), "the store is not called again without a pause");
    store.runScheduled();
    cr_assert_eq(store.watches.front().after.value(), 60);
    cr_assert(store.mirror.synced() == position(2, 60));
}

Test(prefixmirror, items_that_a_peer_has_brought_since_a_compaction_are_not_read_again)
{
    FakeStore ahead;
    ahead.mirror.start();
    ahead.page({item("p/a", "2", 40)}, 60);
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 3)}, 10);
    store.failWatch(StoreStatus::Compacted);
    cr_assert(store.mirror.apply(ahead.mirror.snapshot()) == MirrorUpdate::Applied);
    store.runScheduled();
    cr_assert(store.ranges.empty());
    cr_assert_eq(store.watches.front().after.value(), 60);
}

Test(prefixmirror, items_that_a_peer_has_brought_since_a_restoration_are_not_read_again)
{
    FakeStore newer;
    newer.era = StoreEra(2);
    newer.mirror.start();
    newer.page({item("p/a", "copy", 40)}, 60);
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    store.failWatch(StoreStatus::Compacted);
    cr_assert(store.mirror.apply(newer.mirror.snapshot()) == MirrorUpdate::Applied);
    store.runScheduled();
    cr_assert(store.ranges.empty());
    cr_assert_eq(store.watches.front().after.value(), 60);
}

Test(prefixmirror, changes_of_another_era_than_the_held_one_are_a_gap)
{
    FakeStore newer;
    newer.era = StoreEra(2);
    newer.mirror.start();
    newer.page({item("p/a", "copy", 40)}, 60);
    newer.events({{item("p/b", "2", 61), false}}, 61);
    FakeStore older;
    older.era = StoreEra(1);
    older.mirror.start();
    older.page({item("p/a", "1", 90)}, 100);
    cr_assert(older.mirror.isBehind(newer.mirror.lastChange()));
    cr_assert(!newer.mirror.isBehind(older.mirror.lastChange()));
    cr_assert(newer.mirror.apply(older.mirror.snapshot()) == MirrorUpdate::NotNewer);
    cr_assert(older.mirror.apply(newer.mirror.changesSince(position(2, 60))) == MirrorUpdate::Gap);
    cr_assert_eq(older.mirror.items().count("p/b"), 0);
    cr_assert(older.mirror.apply(newer.mirror.changesSince(older.mirror.synced())) == MirrorUpdate::Applied);
    cr_assert_eq(older.mirror.items().size(), 2);
    cr_assert_str_eq(older.mirror.items().at("p/a").value.c_str(), "copy");
    cr_assert_eq(older.eraChanges.size(), 1, "the hook is also called for the document of a peer");
}

Test(prefixmirror, the_store_counts_as_available_anew_after_a_restoration)
{
    using namespace std::chrono_literals;
    FakeStore store;
    store.era = StoreEra(1);
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    store.now += 60s;
    store.failWatch(StoreStatus::Compacted);
    store.era = StoreEra(2);
    store.runScheduled();
    store.page({}, 60);
    cr_assert(store.mirror.availableSince() == store.now);
    FakeStore follower;
    follower.era = StoreEra(1);
    follower.mirror.setReading(false);
    follower.mirror.start();
    follower.page({item("p/a", "1", 90)}, 100);
    follower.now += 60s;
    follower.mirror.setAvailableSince(follower.now - 60s);
    cr_assert(follower.mirror.apply(store.mirror.snapshot()) == MirrorUpdate::Applied);
    cr_assert(follower.mirror.availableSince() == follower.now, "a report of a reader that has not seen the restoration is out of date");
}

Test(prefixmirror, history_that_is_discarded_again_and_again_does_not_cause_reads_without_a_pause)
{
    using namespace std::chrono_literals;
    FakeStore store;
    store.mirror.start();
    Duration paused{};
    constexpr int rounds = 12;
    for (std::uint64_t round = 1; round <= rounds; ++round) {
        store.page({item("p/a", std::to_string(round), round)}, round);
        store.failWatch(StoreStatus::Compacted);
        cr_assert_eq(store.scheduled.size(), 1);
        cr_assert_geq(store.lastDelay, 100ms);
        cr_assert_lt(store.lastDelay, 1600ms, "a change must be known within two seconds");
        paused += store.lastDelay;
        store.runScheduled();
    }
    cr_expect_geq(paused, 8s);
    store.page({}, 20);
    store.events({}, 20);
    store.failWatch(StoreStatus::Compacted);
    cr_expect_lt(store.lastDelay, 200ms, "a watch that succeeds ends the series");
}

Test(prefixmirror, a_document_without_an_era_does_not_replace_items_of_a_known_era)
{
    FakeStore store;
    store.mirror.start();
    store.page({item("p/a", "1", 90)}, 100);
    cr_assert(store.mirror.apply(R"({"since":100,"synced":110,"lastChange":110,"items":[["p/a","2",110]]})") == MirrorUpdate::Applied);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "2", "the store does not report an era either");
    store.events({}, 110);
    store.era = StoreEra(1);
    store.events({}, 111);
    store.page({item("p/a", "copy", 40)}, 60);
    cr_assert(store.mirror.apply(R"({"synced":120,"lastChange":120,"items":[["p/a","lost",120]]})") == MirrorUpdate::NotNewer);
    cr_assert_str_eq(store.mirror.items().at("p/a").value.c_str(), "copy");
}
