#include "fakefleet.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

constexpr Duration propagationLimit = std::chrono::seconds(3);

std::string contractText(const std::string &customer, int priority)
{
    return "[customer]\nname = " + customer + "\n[operation s0.run]\nworth = " + std::to_string(priority)
        + "\ndeadline = 500ms\nidempotent = yes\nrepeats = 2\nrate = 10/s\n";
}

std::map<std::string, std::string> contracts(int priority)
{
    return {{"a", contractText("a", priority)}, {"b", contractText("b", 7)}};
}

//! A fleet in which revision 1 has been published and applied.
struct FleetFixture
{
    FleetFixture(std::size_t nodes, std::size_t dataCentres)
        : platform(time)
        , fleet(time, platform, nodes, dataCentres, 20261204)
    {
        platform.publishContracts(contracts(10));
        platform.publishInstances(fleet.instanceList());
        fleet.startAll();
        time.runFor(std::chrono::seconds(10));
    }

    //! Platform calls per second while nothing changes.
    double steadyStateCallsPerSecond()
    {
        const std::uint64_t previous = platform.requestCount();
        time.runFor(std::chrono::seconds(120));
        return static_cast<double>(platform.requestCount() - previous) / 120;
    }

    VirtualTime time;
    FakePlatform platform;
    FakeFleet fleet;
};

Manifest manifestFor(std::uint64_t revision, const std::map<std::string, std::string> &texts)
{
    Manifest manifest;
    manifest.revision = Revision(revision);
    manifest.services = {ServiceName("s0")};
    for (const auto &[customer, text] : texts) {
        manifest.contractDigests[CustomerName(customer)] = contractDigest(text);
    }
    return manifest;
}

std::map<CustomerName, std::string> keyedByCustomer(const std::map<std::string, std::string> &texts)
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
    cr_assert_eq(controller.apply(manifestFor(3, contracts(3)), keyedByCustomer(contracts(3))), ApplyResult::Applied);
    cr_assert_eq(controller.apply(manifestFor(2, contracts(2)), keyedByCustomer(contracts(2))), ApplyResult::NotNewer);
    cr_assert_eq(controller.apply(manifestFor(3, contracts(4)), keyedByCustomer(contracts(4))), ApplyResult::NotNewer);
    cr_assert_eq(controller.apply(manifestFor(9, contracts(9)), keyedByCustomer(contracts(9))), ApplyResult::Applied);
    cr_assert_eq(controller.version().revision, Revision(9));
}

Test(configuration, an_invalid_bundle_is_rejected_as_a_whole)
{
    ConfigurationController controller;
    controller.apply(manifestFor(1, contracts(3)), keyedByCustomer(contracts(3)));
    auto invalid = contracts(5);
    invalid["b"] = contractText("b", 5000);
    cr_assert_eq(controller.apply(manifestFor(2, invalid), keyedByCustomer(invalid)), ApplyResult::Rejected);
    cr_assert_eq(controller.version().revision, Revision(1));
    cr_assert_eq(controller.current()->find(CustomerName("a"), OperationName("s0.run"))->priority, Priority(3));
    cr_assert_eq(controller.rejectedRevision(), Revision(2));
    cr_assert_eq(controller.apply(manifestFor(3, contracts(6)), keyedByCustomer(contracts(6))), ApplyResult::Applied);
}

Test(configuration, only_changed_contracts_are_needed)
{
    ConfigurationController controller;
    controller.apply(manifestFor(1, contracts(3)), keyedByCustomer(contracts(3)));
    const Manifest next = manifestFor(2, contracts(4));
    const auto missing = controller.missingContracts(next);
    cr_assert_eq(missing.size(), 1);
    cr_assert(missing.front() == CustomerName("a"));
    cr_assert_eq(controller.apply(next, {}), ApplyResult::Incomplete);
    cr_assert_eq(controller.apply(next, {{CustomerName("a"), contractText("a", 4)}}), ApplyResult::Applied);
}

Test(configuration, a_contract_with_a_wrong_digest_is_ignored)
{
    ConfigurationController controller;
    const auto valid = contracts(3);
    auto mismatched = keyedByCustomer(valid);
    mismatched[CustomerName("a")] = contractText("a", 999);
    cr_assert_eq(controller.apply(manifestFor(1, valid), mismatched), ApplyResult::Incomplete);
}

Test(configuration, a_change_is_applied_by_all_nodes_within_three_seconds)
{
    FleetFixture fixture(160, 6);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(1)), 160);
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(propagationLimit);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 160);
}

Test(configuration, the_later_of_two_concurrent_changes_is_applied)
{
    FleetFixture fixture(60, 6);
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(std::chrono::milliseconds(4));
    fixture.platform.publishContracts(contracts(30));
    fixture.time.runFor(propagationLimit);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(3)), 60);
    cr_assert_eq(fixture.fleet.configuration(7).current()->find(CustomerName("a"), OperationName("s0.run"))->priority, Priority(30));
}

Test(configuration, an_older_revision_of_the_platform_is_ignored)
{
    FleetFixture fixture(60, 6);
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(propagationLimit);
    fixture.platform.restoreOldestDocuments();
    fixture.time.runFor(std::chrono::minutes(3));
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 60);
}

Test(configuration, a_data_centre_without_the_platform_is_updated_by_the_others)
{
    FleetFixture fixture(60, 6);
    fixture.platform.unreachableFrom = {"dc2"};
    fixture.time.runFor(std::chrono::seconds(40));
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(propagationLimit);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 60);
}

Test(configuration, nodes_converge_on_the_higher_revision_after_a_partition)
{
    FleetFixture fixture(60, 2);
    fixture.platform.unreachableFrom = {"dc1"};
    fixture.fleet.partitions = {{"dc0", "dc1"}};
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(std::chrono::minutes(5));
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 30);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(1)), 30, "the partitioned side keeps its revision");
    fixture.platform.unreachableFrom.clear();
    fixture.fleet.partitions.clear();
    fixture.time.runFor(propagationLimit);
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 60);
}

Test(configuration, during_an_outage_nodes_keep_their_revision_and_a_new_instance_starts_from_a_peer)
{
    FleetFixture fixture(60, 6);
    fixture.platform.setDown(true);
    fixture.time.runFor(std::chrono::minutes(10));
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(1)), 60);
    fixture.fleet.restart(5, {11});
    fixture.time.runFor(propagationLimit);
    cr_assert_eq(fixture.fleet.revisionOf(5), Revision(1));
    fixture.platform.setDown(false);
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(std::chrono::seconds(6));
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 60);
}

Test(configuration, a_data_centre_without_readers_falls_back_to_reading)
{
    FleetFixture fixture(60, 2);
    for (std::size_t node = 0; node < fixture.fleet.size(); ++node) {
        if (fixture.fleet.isReader(node) && fixture.fleet.dataCentreOf(node) == "dc1") {
            fixture.fleet.kill(node);
        }
    }
    fixture.time.runFor(std::chrono::seconds(30));
    fixture.platform.publishContracts(contracts(20));
    fixture.time.runFor(std::chrono::seconds(30));
    cr_assert_eq(fixture.fleet.liveNodeCount(Revision(2)), 57);
}

Test(configuration, platform_calls_grow_sublinearly_with_the_fleet)
{
    double previous = 1e9;
    for (const std::size_t nodes : {10UL, 40UL, 160UL}) {
        FleetFixture fixture(nodes, 6);
        const double calls = fixture.steadyStateCallsPerSecond();
        std::printf("%zu nodes: %zu readers, %.3f platform calls/s, %.5f per node\n",
                    nodes,
                    fixture.fleet.readerCount(),
                    calls,
                    calls / static_cast<double>(nodes));
        cr_assert_lt(calls / static_cast<double>(nodes), previous);
        previous = calls / static_cast<double>(nodes);
    }
}

Test(configuration, recovery_from_an_outage_stays_under_the_platforms_limit)
{
    FleetFixture fixture(160, 6);
    fixture.platform.setDown(true);
    fixture.time.runFor(std::chrono::minutes(5));
    fixture.platform.setDown(false);
    constexpr std::uint64_t platformLimit = 2000;
    std::uint64_t maxCallsPerSecond = 0;
    for (int second = 0; second < 20; ++second) {
        const std::uint64_t previous = fixture.platform.requestCount();
        fixture.time.runFor(std::chrono::seconds(1));
        maxCallsPerSecond = std::max(maxCallsPerSecond, fixture.platform.requestCount() - previous);
    }
    std::printf("160 nodes after an outage: at most %llu platform calls per second\n", static_cast<unsigned long long>(maxCallsPerSecond));
    // Scaled to the 670 nodes of docs/CAPACITY.md.
    cr_assert_lt(maxCallsPerSecond * 670 / 160, platformLimit);
}
