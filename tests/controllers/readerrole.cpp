#include <chervilpaddle/controllers/readerrole.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace std::chrono_literals;

namespace {

constexpr auto start = TimePoint(std::chrono::hours(1));

InstanceList listOf(int size)
{
    InstanceList list;
    for (int i = 0; i < size; ++i) {
        PublishedInstance instance;
        instance.instance = InstanceId("n" + std::to_string(i));
        instance.dataCentre = DataCentreName("dc");
        list.instances.push_back(instance);
    }
    return list;
}

LocalNode follower()
{
    return {InstanceId("not listed"), DataCentreName("dc"), ServiceName("s"), {}};
}

void reportAll(ReaderRole &role, const InstanceList &list, TimePoint now)
{
    for (const PublishedInstance &instance : list.instances) {
        role.recordReport(instance.instance, 1s, now);
    }
}

} // namespace

//! When a fleet starts, the list is empty at first: all nodes read the store until it names a reader, and no longer. Each further
//! second of reading would cost a call for each of the registrations that follow, at every node.
Test(readerrole, a_node_of_a_starting_fleet_reads_until_the_list_names_a_reader)
{
    ReaderRole role(follower(), 1);
    role.setInstances({}, start);
    cr_assert(role.mustRead(start));
    cr_assert(role.mustRead(start + 2s));
    const InstanceList list = listOf(9);
    role.setInstances(list, start + 2100ms);
    cr_assert_not(role.mustRead(start + 2100ms));
    reportAll(role, list, start + 2600ms);
    cr_assert_not(role.mustRead(start + 2600ms));
    cr_assert_not(role.mustRead(start + 3700ms));
}

Test(readerrole, a_node_that_has_read_for_want_of_a_first_report_stops_with_it)
{
    ReaderRole role(follower(), 1);
    const InstanceList list = listOf(9);
    role.setInstances(list, start);
    cr_assert_not(role.mustRead(start + 500ms));
    cr_assert(role.mustRead(start + 1500ms));
    reportAll(role, list, start + 1600ms);
    cr_assert_not(role.mustRead(start + 1600ms));
}

Test(readerrole, a_node_that_took_over_from_a_reader_goes_on_for_a_while)
{
    ReaderRole role(follower(), 1);
    const InstanceList list = listOf(9);
    role.setInstances(list, start);
    reportAll(role, list, start + 100ms);
    cr_assert_not(role.mustRead(start + 100ms));
    cr_assert(role.mustRead(start + 2s), "the readers have fallen silent");
    reportAll(role, list, start + 3s);
    cr_assert(role.mustRead(start + 3s));
    reportAll(role, list, start + 8s);
    cr_assert_not(role.mustRead(start + 8s));
}
