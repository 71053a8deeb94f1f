#include <chervilpaddle/controllers/instancedirectory.h>

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

const TimePoint start = TimePoint(std::chrono::seconds(100));
const TimePoint longAvailable = TimePoint(std::chrono::seconds(1));

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
