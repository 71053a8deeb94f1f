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
const TimePoint longAgo = TimePoint(std::chrono::seconds(1));

} // namespace

Test(instancedirectory, the_latest_start_on_a_machine_counts)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "new", 200), entry("m1", "old", 100), entry("m2", "other", 50)}, longAgo, start);
    const auto instances = directory.instances();
    cr_assert_eq(instances.size(), 2);
    cr_assert_str_eq(instances.front().backend.value().c_str(), "new");
}

Test(instancedirectory, an_entry_that_goes_has_left)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAgo, start);
    directory.update({entry("m2", "b", 1, true)}, longAgo, start);
    cr_assert(directory.hasLeft(BackendId("a")));
    cr_assert(directory.hasLeft(BackendId("b")), "draining counts as leaving");
    cr_assert_eq(directory.instances().size(), 1);
}

Test(instancedirectory, entries_that_lapse_while_the_platform_is_away_are_kept_until_they_had_time_to_return)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAgo, start);
    const TimePoint back = start + std::chrono::seconds(5);
    directory.update({entry("m2", "b", 1)}, back, back);
    cr_assert_eq(directory.instances().size(), 2);
    cr_assert_not(directory.expire(back, back + std::chrono::seconds(1)));
    cr_assert(directory.expire(back, back + std::chrono::milliseconds(1600)));
    cr_assert_eq(directory.instances().size(), 1);
    cr_assert(directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, an_id_that_is_used_again_is_no_longer_gone)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1)}, longAgo, start);
    directory.update({}, longAgo, start);
    directory.update({entry("m1", "a", 9)}, longAgo, start);
    cr_assert_not(directory.hasLeft(BackendId("a")));
}

Test(instancedirectory, an_entry_that_goes_while_this_node_cannot_read_the_store_is_kept_for_less_than_the_drain_time)
{
    InstanceDirectory directory;
    directory.update({entry("m1", "a", 1), entry("m2", "b", 1)}, longAgo, start);
    // The store turns this node away; a peer's copy says that the entry is gone.
    directory.update({entry("m2", "b", 1)}, std::nullopt, start);
    cr_assert_not(directory.expire(std::nullopt, start + std::chrono::seconds(1)));
    cr_assert(directory.expire(std::nullopt, start + std::chrono::milliseconds(1600)));
    cr_assert(directory.hasLeft(BackendId("a")));
    cr_assert_eq(directory.instances().size(), 1);
}
