#include "fakefleet.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

constexpr Duration inForceWithin = std::chrono::seconds(3);

std::string contractText(const std::string &customer, int worth)
{
    return "[customer]\nname = " + customer + "\n[operation s0.run]\nworth = " + std::to_string(worth)
        + "\ndeadline = 500ms\nidempotent = yes\nrepeats = 2\nrate = 10/s\n";
}

std::map<std::string, std::string> contracts(int worth)
{
    return {{"a", contractText("a", worth)}, {"b", contractText("b", 7)}};
}

//! A fleet that has just come up with revision 1.
struct FleetBench
{
    FleetBench(std::size_t nodes, std::size_t dataCentres)
        : platform(time)
        , fleet(time, platform, nodes, dataCentres, 20261204)
    {
        platform.publishContracts(contracts(10));
        platform.publishInstances(fleet.list());
        fleet.startAll();
        time.runFor(std::chrono::seconds(10));
    }

    //! Platform calls a second over a time without any change.
    double quietCallsPerSecond()
    {
        const std::uint64_t before = platform.calls();
        time.runFor(std::chrono::seconds(120));
        return static_cast<double>(platform.calls() - before) / 120;
    }

    VirtualTime time;
    FakePlatform platform;
    FakeFleet fleet;
};

Manifest manifestOf(std::uint64_t revision, const std::map<std::string, std::string> &texts)
{
    Manifest manifest;
    manifest.revision = Revision(revision);
    manifest.services = {ServiceName("s0")};
    for (const auto &[customer, text] : texts) {
        manifest.contractDigests[CustomerName(customer)] = contractDigest(text);
    }
    return manifest;
}

std::map<CustomerName, std::string> named(const std::map<std::string, std::string> &texts)
{
    std::map<CustomerName, std::string> result;
    for (const auto &[customer, text] : texts) {
        result[CustomerName(customer)] = text;
    }
    return result;
}

} // namespace

Test(configuration, the_highest_revision_wins_in_any_order)
{
    ConfigurationController controller;
    cr_assert_eq(controller.apply(manifestOf(3, contracts(3)), named(contracts(3))), ApplyResult::Applied);
    cr_assert_eq(controller.apply(manifestOf(2, contracts(2)), named(contracts(2))), ApplyResult::NotNewer);
    cr_assert_eq(controller.apply(manifestOf(3, contracts(4)), named(contracts(4))), ApplyResult::NotNewer);
    cr_assert_eq(controller.apply(manifestOf(9, contracts(9)), named(contracts(9))), ApplyResult::Applied);
    cr_assert_eq(controller.version().revision, Revision(9));
}

Test(configuration, a_bundle_that_does_not_check_is_refused_whole)
{
    ConfigurationController controller;
    controller.apply(manifestOf(1, contracts(3)), named(contracts(3)));
    auto broken = contracts(5);
    broken["b"] = contractText("b", 5000);
    cr_assert_eq(controller.apply(manifestOf(2, broken), named(broken)), ApplyResult::Rejected);
    cr_assert_eq(controller.version().revision, Revision(1));
    cr_assert_eq(controller.current()->find(CustomerName("a"), OperationName("s0.run"))->worth, Worth(3));
    cr_assert_eq(controller.rejectedRevision(), Revision(2));
    cr_assert_eq(controller.apply(manifestOf(3, contracts(6)), named(contracts(6))), ApplyResult::Applied);
}

Test(configuration, only_changed_contracts_are_needed)
{
    ConfigurationController controller;
    controller.apply(manifestOf(1, contracts(3)), named(contracts(3)));
    const Manifest next = manifestOf(2, contracts(4));
    const auto missing = controller.missingContracts(next);
    cr_assert_eq(missing.size(), 1);
    cr_assert(missing.front() == CustomerName("a"));
    cr_assert_eq(controller.apply(next, {}), ApplyResult::Incomplete);
    cr_assert_eq(controller.apply(next, {{CustomerName("a"), contractText("a", 4)}}), ApplyResult::Applied);
}

Test(configuration, a_text_that_does_not_match_its_digest_is_not_taken)
{
    ConfigurationController controller;
    const auto good = contracts(3);
    auto swapped = named(good);
    swapped[CustomerName("a")] = contractText("a", 999);
    cr_assert_eq(controller.apply(manifestOf(1, good), swapped), ApplyResult::Incomplete);
}

Test(configuration, a_change_is_in_force_everywhere_within_three_seconds)
{
    FleetBench bench(160, 6);
    cr_assert_eq(bench.fleet.countAt(Revision(1)), 160);
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(inForceWithin);
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 160);
}

Test(configuration, two_operators_within_milliseconds_leave_the_later_one_in_force)
{
    FleetBench bench(60, 6);
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(std::chrono::milliseconds(4));
    bench.platform.publishContracts(contracts(30));
    bench.time.runFor(inForceWithin);
    cr_assert_eq(bench.fleet.countAt(Revision(3)), 60);
    cr_assert_eq(bench.fleet.configuration(7).current()->find(CustomerName("a"), OperationName("s0.run"))->worth, Worth(30));
}

Test(configuration, a_platform_that_goes_back_changes_nothing)
{
    FleetBench bench(60, 6);
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(inForceWithin);
    bench.platform.goBack();
    bench.time.runFor(std::chrono::minutes(3));
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 60);
}

Test(configuration, a_data_centre_cut_off_from_the_platform_learns_from_the_others)
{
    FleetBench bench(60, 6);
    bench.platform.cutOff = {"dc2"};
    bench.time.runFor(std::chrono::seconds(40));
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(inForceWithin);
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 60);
}

Test(configuration, a_partition_heals_to_the_higher_revision)
{
    FleetBench bench(60, 2);
    bench.platform.cutOff = {"dc1"};
    bench.fleet.cuts = {{"dc0", "dc1"}};
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(std::chrono::minutes(5));
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 30);
    cr_assert_eq(bench.fleet.countAt(Revision(1)), 30, "the side that is cut off keeps what it has");
    bench.platform.cutOff.clear();
    bench.fleet.cuts.clear();
    bench.time.runFor(inForceWithin);
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 60);
}

Test(configuration, an_outage_keeps_what_is_in_force_and_a_new_instance_starts_from_a_peer)
{
    FleetBench bench(60, 6);
    bench.platform.setDown(true);
    bench.time.runFor(std::chrono::minutes(10));
    cr_assert_eq(bench.fleet.countAt(Revision(1)), 60);
    bench.fleet.restart(5, {11});
    bench.time.runFor(inForceWithin);
    cr_assert_eq(bench.fleet.revisionOf(5), Revision(1));
    bench.platform.setDown(false);
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(std::chrono::seconds(6));
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 60);
}

Test(configuration, without_its_readers_a_data_centre_falls_back_to_reading)
{
    FleetBench bench(60, 2);
    for (std::size_t node = 0; node < bench.fleet.size(); ++node) {
        if (bench.fleet.isReader(node) && bench.fleet.dataCentreOf(node) == "dc1") {
            bench.fleet.kill(node);
        }
    }
    bench.time.runFor(std::chrono::seconds(30));
    bench.platform.publishContracts(contracts(20));
    bench.time.runFor(std::chrono::seconds(30));
    cr_assert_eq(bench.fleet.countAt(Revision(2)), 57);
}

Test(configuration, platform_reads_grow_more_slowly_than_the_fleet)
{
    double before = 1e9;
    for (const std::size_t nodes : {10UL, 40UL, 160UL}) {
        FleetBench bench(nodes, 6);
        const double calls = bench.quietCallsPerSecond();
        std::printf("%zu nodes: %zu readers, %.3f platform calls/s, %.5f a node\n",
                    nodes,
                    bench.fleet.readerCount(),
                    calls,
                    calls / static_cast<double>(nodes));
        cr_assert_lt(calls / static_cast<double>(nodes), before);
        before = calls / static_cast<double>(nodes);
    }
}

Test(configuration, recovery_from_an_outage_stays_under_the_platforms_limit)
{
    FleetBench bench(160, 6);
    bench.platform.setDown(true);
    bench.time.runFor(std::chrono::minutes(5));
    bench.platform.setDown(false);
    constexpr std::uint64_t platformLimit = 2000;
    std::uint64_t most = 0;
    for (int second = 0; second < 20; ++second) {
        const std::uint64_t before = bench.platform.calls();
        bench.time.runFor(std::chrono::seconds(1));
        most = std::max(most, bench.platform.calls() - before);
    }
    std::printf("160 nodes after an outage: at most %llu platform calls a second\n", static_cast<unsigned long long>(most));
    cr_assert_lt(most * 670 / 160, platformLimit);
}
