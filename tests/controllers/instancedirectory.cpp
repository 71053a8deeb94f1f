#include <chervilpaddle/controllers/instancedirectory.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

InstanceDirectory::Entry entry(const std::string &instance, const std::string &backend, std::int64_t startedAt, bool leaving = false)
{
    InstanceDirectory::Entry entry;
    entry.instance.instance = InstanceId(instance);
    entry.instance.backend = BackendId(backend);
    entry.instance.service = ServiceName("s");
    entry.instance.leaving = leaving;
    entry.startedAt = startedAt;
    return entry;
}

//! An entry that was last written at a revision of an era of the store.
InstanceDirectory::Entry written(InstanceDirectory::Entry entry, std::uint64_t era, std::uint64_t revision)
{
    entry.writtenAt = {StoreEra(era), Revision(revision)};
    return entry;
}

bool offers(const InstanceDirectory &directory, const std::string &backend)
{
    const auto instances = directory.instances();
    return std::any_of(instances.begin(), instances.end(), [&](const auto &i) { return i.backend == BackendId(backend) && !i.leaving; });
}

const TimePoint start = TimePoint(std::chrono::seconds(100));
const TimePoint longAvailable = TimePoint(std::chrono::seconds(1));

//! A directory whose store is restored at `restoredAt`, where it also becomes available again.
struct Restoration
{
    InstanceDirectory directory;
    TimePoint restoredAt = start + std::chrono::seconds(10);

    //! The first state of the store after the restoration.
    void restoreTo(const std::vector<InstanceDirectory::Entry> &entries)
    {
        directory.storeRestored(restoredAt);
        directory.update(entries, restoredAt, restoredAt);
    }
    void updateAfter(std::chrono::milliseconds delay, const std::vector<InstanceDirectory::Entry> &entries)
    {
        directory.update(entries, restoredAt, restoredAt + delay);
    }
    bool expireAfter(std::chrono::milliseconds delay)
    {
        return directory.expire(restoredAt, restoredAt + delay);
    }
};

} // namespace

Test(instancedirectory, the_latest_start_on_an_instance_is_used)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "new", 200), entry("m1", "old", 100), entry("m2", "other", 50)}, longAvailable, start);
    const auto instances = directory.instances();
    cr_assert_eq(instances.size(), 2);
    cr_assert_str_eq(instances.front().backend.value().c_str(), "new");
}

Test(instancedirectory, removed_and_leaving_entries_have_left)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAvailable, start);
    directory.update({entry("m2", "b", 1, true)}, longAvailable, start);
    cr_assert(directory.hasLeft(BackendId("a")));
    cr_assert(directory.hasLeft(BackendId("b")), "a draining backend server counts as left");
    cr_assert_eq(directory.instances().size(), 1);
}

Test(instancedirectory, entries_that_expire_during_an_outage_are_retained_for_a_limited_time)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAvailable, start);
    const TimePoint availableAgain = start + std::chrono::seconds(5);
    directory.update({entry("m2", "b", 1)}, availableAgain, availableAgain);
    cr_assert_eq(directory.instances().size(), 2);
    cr_assert_not(directory.expire(availableAgain, availableAgain + std::chrono::seconds(1)));
    cr_assert(directory.expire(availableAgain, availableAgain + std::chrono::milliseconds(1600)));
    cr_assert_eq(directory.instances().size(), 1);
    cr_assert(directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, a_backend_id_that_is_registered_again_has_not_left)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1)}, longAvailable, start);
    directory.update({}, longAvailable, start);
    directory.update({entry("m1", "a", 9)}, longAvailable, start);
    cr_assert_not(directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, an_entry_removed_while_the_store_is_unreachable_is_retained_for_less_than_the_drain_time)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAvailable, start);
    // The store is unreachable for this node; the snapshot of a peer does not contain the entry.
    directory.update({entry("m2", "b", 1)}, std::nullopt, start);
    cr_assert_not(directory.expire(std::nullopt, start + std::chrono::seconds(1)));
    cr_assert(directory.expire(std::nullopt, start + std::chrono::milliseconds(1600)));
    cr_assert(directory.hasLeft(BackendId("a")));
    cr_assert_eq(directory.instances().size(), 1);
}

//! A call for a start that has left can no longer arrive after the longest deadline.
Test(instancedirectory, starts_that_left_long_ago_are_forgotten)
{
    InstanceDirectory directory;
    TimePoint now(std::chrono::seconds(100));
    const auto availableSince = now - std::chrono::hours(1);
    for (int number = 0; number < 2000; ++number) {
        now += std::chrono::seconds(10);
        directory.update({entry("x-1", "b" + std::to_string(number), number)}, availableSince, now);
        cr_assert(number < 30 || directory.hasLeft(BackendId("b" + std::to_string(number - 30))), "within the longest deadline");
        cr_assert_not(directory.hasLeft(BackendId("b" + std::to_string(number))));
    }
    cr_assert_leq(directory.departedCount(), 100);
}

Test(instancedirectory, entries_missing_from_a_restored_copy_are_retained_until_they_can_be_written_again)
{
    Restoration day;
    day.directory.update({entry("m1", "a", 1), entry("m2", "b", 2)}, longAvailable, start);
    day.restoreTo({entry("m1", "a", 1)});
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(2100)));
    cr_assert(offers(day.directory, "b"));
    cr_assert_not(day.directory.hasLeft(BackendId("b")));
    cr_assert(day.expireAfter(std::chrono::milliseconds(2300)));
    cr_assert_not(offers(day.directory, "b"));
    cr_assert(day.directory.hasLeft(BackendId("b")));
}

Test(instancedirectory, an_entry_written_again_after_a_restoration_is_kept)
{
    Restoration day;
    day.directory.update({written(entry("m1", "a", 1), 0, 40)}, longAvailable, start);
    day.restoreTo({});
    day.updateAfter(std::chrono::milliseconds(1500), {written(entry("m1", "a", 1), 1, 22)});
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(2300)));
    cr_assert(offers(day.directory, "a"));
}

Test(instancedirectory, an_entry_that_is_removed_again_after_a_restoration_is_not_retained_for_longer_than_usual)
{
    Restoration day;
    day.directory.update({entry("m1", "a", 1)}, longAvailable, start);
    day.restoreTo({});
    day.updateAfter(std::chrono::milliseconds(200), {written(entry("m1", "a", 1), 1, 22)});
    day.updateAfter(std::chrono::milliseconds(300), {});
    cr_assert(day.expireAfter(std::chrono::milliseconds(1900)));
    cr_assert(day.directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, a_start_that_was_removed_gets_no_calls_when_a_restored_copy_shows_it_ready)
{
    Restoration day;
    day.directory.update({written(entry("m1", "a", 1), 0, 30), entry("m2", "b", 1)}, longAvailable, start);
    day.directory.update({entry("m2", "b", 1)}, longAvailable, start);
    day.restoreTo({written(entry("m1", "a", 1), 1, 30), entry("m2", "b", 1)});
    cr_assert_not(offers(day.directory, "a"));
    cr_assert(day.directory.hasLeft(BackendId("a")));
    // Another entry changes; nothing new is said of this one.
    day.updateAfter(std::chrono::milliseconds(500), {written(entry("m1", "a", 1), 1, 30), entry("m2", "b", 1), entry("m3", "c", 1)});
    cr_assert_not(offers(day.directory, "a"));
    day.updateAfter(std::chrono::milliseconds(4000), {entry("m2", "b", 1), entry("m3", "c", 1)});
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(20'000)));
    cr_assert_not(offers(day.directory, "a"));
    cr_assert(day.directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, a_draining_start_stays_leaving_when_a_restored_copy_shows_it_ready)
{
    Restoration day;
    const auto assertLeaving = [&day] {
        cr_assert(day.directory.hasLeft(BackendId("a")));
        cr_assert_eq(day.directory.instances().size(), 1);
        cr_assert(day.directory.instances().front().leaving);
    };
    day.directory.update({written(entry("m1", "a", 1, true), 0, 30)}, longAvailable, start);
    day.restoreTo({written(entry("m1", "a", 1), 1, 20)});
    assertLeaving();
    day.updateAfter(std::chrono::milliseconds(400), {written(entry("m1", "a", 1), 1, 20)});
    assertLeaving();
    day.updateAfter(std::chrono::milliseconds(1500), {written(entry("m1", "a", 1, true), 1, 25)});
    assertLeaving();
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(20'000)));
    assertLeaving();
}

Test(instancedirectory, a_draining_start_that_is_missing_from_a_restored_copy_is_not_retained)
{
    Restoration day;
    day.directory.update({entry("m1", "a", 1, true), entry("m2", "b", 1)}, longAvailable, start);
    day.restoreTo({entry("m2", "b", 1)});
    cr_assert_eq(day.directory.instances().size(), 1);
    cr_assert(day.directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, a_start_that_was_taken_for_gone_is_used_once_it_writes_after_a_restoration)
{
    Restoration day;
    day.directory.update({written(entry("m1", "a", 1), 0, 30)}, longAvailable, start);
    day.directory.update({}, longAvailable, start);
    day.restoreTo({written(entry("m1", "a", 1), 1, 30)});
    cr_assert(day.directory.awaitsWrite(BackendId("a")), "a heartbeat tells that the backend server lives");
    day.updateAfter(std::chrono::milliseconds(900), {written(entry("m1", "a", 1), 1, 31)});
    cr_assert_not(day.directory.awaitsWrite(BackendId("a")));
    cr_assert(offers(day.directory, "a"));
    cr_assert_not(day.directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, a_later_start_under_the_id_of_one_that_left_is_used_at_once_after_a_restoration)
{
    Restoration day;
    day.directory.update({entry("m1", "a", 100)}, longAvailable, start);
    day.directory.update({}, longAvailable, start);
    day.restoreTo({entry("m1", "a", 200)});
    cr_assert(offers(day.directory, "a"));
    cr_assert_not(day.directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, an_entry_that_outlives_its_lease_after_a_restoration_is_used_again)
{
    Restoration day;
    const std::vector<InstanceDirectory::Entry> copy = {written(entry("m1", "a", 1), 1, 30)};
    day.directory.update({written(entry("m1", "a", 1), 0, 30)}, longAvailable, start);
    day.directory.update({}, longAvailable, start);
    day.restoreTo(copy);
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(5000)));
    // The lease of an entry that the store was unavailable for starts anew.
    const TimePoint availableAgain = day.restoredAt + std::chrono::seconds(5);
    cr_assert_not(day.directory.expire(std::nullopt, availableAgain + std::chrono::seconds(3)));
    cr_assert_not(day.directory.expire(availableAgain, availableAgain + std::chrono::seconds(5)));
    cr_assert_not(offers(day.directory, "a"));
    cr_assert(day.directory.expire(availableAgain, availableAgain + std::chrono::milliseconds(6100)));
    cr_assert(offers(day.directory, "a"));
    cr_assert_not(day.directory.hasLeft(BackendId("a")));
    day.directory.update(copy, availableAgain, availableAgain + std::chrono::seconds(7));
    cr_assert(offers(day.directory, "a"));
}

Test(instancedirectory, the_former_start_at_an_address_does_not_displace_its_successor_after_a_restoration)
{
    Restoration day;
    const auto former = written(entry("m1", "former", 100), 1, 30);
    day.directory.update({entry("m1", "former", 100)}, longAvailable, start);
    day.directory.update({entry("m1", "successor", 200)}, longAvailable, start);
    day.restoreTo({former});
    cr_assert(offers(day.directory, "successor"));
    cr_assert_not(offers(day.directory, "former"));
    cr_assert(day.expireAfter(std::chrono::milliseconds(2300)));
    cr_assert(day.directory.instances().empty());
    cr_assert(day.directory.hasLeft(BackendId("former")));
    cr_assert(day.directory.hasLeft(BackendId("successor")));
    day.updateAfter(std::chrono::milliseconds(2500), {former, written(entry("m1", "successor", 200), 1, 40)});
    cr_assert(offers(day.directory, "successor"));
    cr_assert_eq(day.directory.instances().size(), 1);
}

Test(instancedirectory, a_start_whose_address_a_later_start_has_taken_gets_no_calls_after_a_restoration)
{
    Restoration day;
    // The former start has crashed; its lease is not over.
    day.directory.update({entry("m1", "former", 100), entry("m1", "successor", 200)}, longAvailable, start);
    day.restoreTo({written(entry("m1", "former", 100), 1, 30)});
    cr_assert(offers(day.directory, "successor"));
    cr_assert(day.expireAfter(std::chrono::milliseconds(2300)));
    cr_assert_not(offers(day.directory, "former"));
    cr_assert(day.directory.hasLeft(BackendId("former")));
}

Test(instancedirectory, an_earlier_start_in_a_restored_copy_does_not_replace_a_later_one_with_the_same_id)
{
    Restoration day;
    const auto earlier = written(entry("m1", "a", 100), 1, 30);
    auto later = entry("m1", "a", 200);
    later.instance.slots = 7;
    day.directory.update({later}, longAvailable, start);
    day.restoreTo({earlier});
    cr_assert(offers(day.directory, "a"));
    cr_assert_eq(day.directory.instances().front().slots, 7);
    cr_assert(day.directory.awaitsWrite(BackendId("a")));
    day.updateAfter(std::chrono::milliseconds(1000), {earlier});
    cr_assert_eq(day.directory.instances().front().slots, 7);
    cr_assert(day.expireAfter(std::chrono::milliseconds(2300)));
    cr_assert(day.directory.hasLeft(BackendId("a")));
    day.updateAfter(std::chrono::milliseconds(2400), {written(later, 1, 40)});
    cr_assert(offers(day.directory, "a"));
}

Test(instancedirectory, a_second_restoration_gives_entries_the_time_to_be_written_again_once_more)
{
    Restoration day;
    day.directory.update({entry("m1", "a", 1), entry("m2", "gone", 1)}, longAvailable, start);
    day.directory.update({entry("m1", "a", 1)}, longAvailable, start);
    day.restoreTo({written(entry("m2", "gone", 1), 1, 10)});
    const TimePoint again = day.restoredAt + std::chrono::milliseconds(1800);
    day.directory.storeRestored(again);
    day.directory.update({written(entry("m2", "gone", 1), 2, 10)}, again, again);
    cr_assert_not(day.directory.expire(again, again + std::chrono::milliseconds(2100)));
    cr_assert(offers(day.directory, "a"));
    cr_assert_not(offers(day.directory, "gone"));
    cr_assert(day.directory.hasLeft(BackendId("gone")));
    // The lease of the second copy starts with the second restoration.
    day.directory.update({written(entry("m1", "a", 1), 2, 12), written(entry("m2", "gone", 1), 2, 10)}, again, again);
    cr_assert_not(day.directory.expire(again, again + std::chrono::milliseconds(5900)));
    cr_assert(offers(day.directory, "a"));
    cr_assert_not(offers(day.directory, "gone"));
}

Test(instancedirectory, a_restoration_does_not_extend_the_retention_of_entries_that_were_missing_before)
{
    Restoration day;
    day.directory.update({entry("m1", "absent", 1), entry("m2", "copied", 1)}, longAvailable, start);
    // The store has been away and has come back without them.
    const TimePoint missed = day.restoredAt - std::chrono::seconds(1);
    day.directory.update({}, missed, missed);
    cr_assert(offers(day.directory, "absent"));
    day.restoreTo({written(entry("m2", "copied", 1), 1, 20)});
    cr_assert(offers(day.directory, "absent"));
    cr_assert(day.directory.awaitsWrite(BackendId("copied")));
    cr_assert(day.expireAfter(std::chrono::milliseconds(600)));
    cr_assert(day.directory.instances().empty());
    cr_assert(day.directory.hasLeft(BackendId("absent")));
    cr_assert(day.directory.hasLeft(BackendId("copied")));
    day.updateAfter(std::chrono::milliseconds(1400), {written(entry("m2", "copied", 1), 1, 21)});
    cr_assert(offers(day.directory, "copied"));
}

Test(instancedirectory, a_directory_that_knows_nothing_takes_a_restored_copy)
{
    Restoration day;
    day.restoreTo({entry("m1", "a", 1), entry("m2", "b", 1, true)});
    cr_assert(offers(day.directory, "a"));
    cr_assert_eq(day.directory.instances().size(), 2);
    cr_assert_not(day.directory.awaitsWrite(BackendId("a")));
    cr_assert_not(day.expireAfter(std::chrono::milliseconds(7000)));
    cr_assert_eq(day.directory.instances().size(), 2);
}
