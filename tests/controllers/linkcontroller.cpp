#include "virtualtime.h"

#include <chervilpaddle/controllers/linkcontroller.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

PublishedInstance publishedPeer(const std::string &id)
{
    PublishedInstance instance;
    instance.instance = InstanceId(id);
    instance.service = ServiceName("x");
    instance.dataCentre = DataCentreName("a");
    instance.peerAddress = {"127.0.0.1", 9000};
    return instance;
}

//! A LinkController with a fake transport that the test drives.
class LinkFixture
{
public:
    LinkFixture()
        : links({InstanceId("self"), Incarnation(1), DataCentreName("a"), false}, ServiceName("own"), hooks(), 1)
    {
    }

    LinkController::Hooks hooks()
    {
        LinkController::Hooks hooks;
        hooks.clock = time.clock();
        hooks.dial = [this](const Endpoint &) {
            dials.push_back(ConnectionId(++m_lastId));
            return dials.back();
        };
        hooks.send = [this](ConnectionId id, const PeerMessage &message) { sent[id].push_back(message); };
        hooks.close = [this](ConnectionId id) { closed.push_back(id); };
        hooks.hello = [] { return HelloMessage(); };
        hooks.status = [this] { return status; };
        hooks.hasOutstanding = [this](const InstanceId &) { return outstanding; };
        hooks.unreachable = [this](const InstanceId &) { ++unreachableCount; };
        hooks.incarnationChanged = [this](const InstanceId &, Incarnation) { ++incarnationChanges; };
        hooks.linkEstablished = [this](const InstanceId &) { ++establishedLinks; };
        hooks.received = [this](const PeerEvent &event) { events.push_back(event); };
        return hooks;
    }

    void hello(ConnectionId id, const std::string &instance, std::uint64_t incarnation)
    {
        HelloMessage hello;
        hello.instance = InstanceId(instance);
        hello.incarnation = Incarnation(incarnation);
        receive(id, hello);
    }

    void receive(ConnectionId id, const PeerMessage &message)
    {
        links.received(id, {message, time.now()});
    }

    //! Establishes the link to the only desired peer.
    ConnectionId openLink(std::uint64_t incarnation = 50)
    {
        links.setDesiredPeers({publishedPeer("x-1")});
        links.tick();
        const ConnectionId id = dials.back();
        links.opened(id, false);
        hello(id, "x-1", incarnation);
        return id;
    }

    void tickFor(Duration length)
    {
        constexpr Duration period = std::chrono::milliseconds(50);
        for (Duration passed{}; passed < length; passed += period) {
            time.skip(period);
            links.tick();
        }
    }

    std::size_t candidateCount()
    {
        return links.candidates(ServiceName("x")).size();
    }

    VirtualTime time;
    std::vector<ConnectionId> dials;
    std::vector<ConnectionId> closed;
    std::map<ConnectionId, std::vector<PeerMessage>> sent;
    std::vector<PeerEvent> events;
    StatusMessage status;
    bool outstanding = false;
    int unreachableCount = 0;
    int incarnationChanges = 0;
    int establishedLinks = 0;
    LinkController links;

private:
    std::uint64_t m_lastId = 0;
};

} // namespace

Test(links, a_peer_is_a_candidate_after_its_hello)
{
    LinkFixture fixture;
    fixture.links.setDesiredPeers({publishedPeer("x-1")});
    fixture.links.tick();
    cr_assert_eq(fixture.candidateCount(), 0);
    fixture.links.opened(fixture.dials.back(), false);
    fixture.hello(fixture.dials.back(), "x-1", 50);
    cr_assert_eq(fixture.candidateCount(), 1);
    cr_assert(fixture.links.candidates(ServiceName("x")).front().incarnation == Incarnation(50));
}

Test(links, a_hello_from_another_instance_closes_the_connection)
{
    LinkFixture fixture;
    fixture.links.setDesiredPeers({publishedPeer("x-1")});
    fixture.links.tick();
    fixture.links.opened(fixture.dials.back(), false);
    fixture.hello(fixture.dials.back(), "y-9", 50);
    cr_assert_eq(fixture.candidateCount(), 0);
    cr_assert_eq(fixture.closed.size(), 1);
}

Test(links, a_call_before_hello_closes_the_connection)
{
    LinkFixture fixture;
    fixture.links.opened(ConnectionId(900), true);
    fixture.receive(ConnectionId(900), CallMessage());
    cr_assert(fixture.events.empty());
    cr_assert_eq(fixture.closed.size(), 1);
}

Test(links, a_silent_link_with_outstanding_calls_is_replaced_by_a_new_connection)
{
    LinkFixture fixture;
    const ConnectionId old = fixture.openLink();
    fixture.outstanding = true;
    fixture.tickFor(std::chrono::milliseconds(500));
    cr_assert_eq(fixture.dials.size(), 2);
    cr_assert_eq(fixture.candidateCount(), 0, "no new calls are sent over a suspected link");
    const ConnectionId replacement = fixture.dials.back();
    fixture.links.opened(replacement, false);
    fixture.hello(replacement, "x-1", 50);
    cr_assert_eq(fixture.candidateCount(), 1);
    cr_assert_eq(fixture.establishedLinks, 2);
    cr_assert_eq(fixture.incarnationChanges, 0);
    cr_assert(fixture.closed.back() == old);
}

Test(links, a_call_on_a_silent_link_can_be_resent_before_the_shortest_deadline)
{
    // The shortest deadline of the Tandas contracts, and the time needed for connecting, sending and running the call.
    constexpr Duration deadline = std::chrono::milliseconds(400);
    constexpr Duration resendAndRunTime = std::chrono::milliseconds(40);
    constexpr Duration step = std::chrono::milliseconds(5);
    constexpr int stepsInTick = 10;
    for (int phase = 0; phase < stepsInTick; ++phase) {
        LinkFixture fixture;
        fixture.openLink();
        fixture.tickFor(std::chrono::seconds(1));
        Duration timeSinceCall = Duration::zero();
        for (int i = 0; fixture.dials.size() < 2; ++i) {
            if (i == phase) {
                fixture.outstanding = true;
                cr_assert(fixture.links.send(InstanceId("x-1"), CallMessage()));
            }
            fixture.time.skip(step);
            timeSinceCall += i >= phase ? step : Duration::zero();
            if (i % stepsInTick == stepsInTick - 1) {
                fixture.links.tick();
            }
        }
        cr_expect_leq(timeSinceCall.count(), (deadline - resendAndRunTime).count(), "called %d steps after a tick", phase);
    }
}

Test(links, an_idle_link_is_not_suspected_when_calls_begin)
{
    LinkFixture fixture;
    fixture.openLink();
    fixture.tickFor(std::chrono::seconds(2));
    fixture.outstanding = true;
    fixture.tickFor(std::chrono::milliseconds(300));
    cr_assert_eq(fixture.dials.size(), 1);
    cr_assert_eq(fixture.candidateCount(), 1);
}

Test(links, a_dial_without_response_reports_the_peer_unreachable)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.outstanding = true;
    fixture.tickFor(std::chrono::milliseconds(450));
    cr_assert_eq(fixture.candidateCount(), 0);
    fixture.receive(id, StatusMessage());
    fixture.tickFor(std::chrono::milliseconds(600));
    cr_assert_geq(fixture.unreachableCount, 1, "the dial of the suspected peer has timed out");
}

//! A data centre is partitioned for six seconds. The outstanding calls are given up and resent to other instances. Guards
//! against clearing the suspicion when no calls are outstanding any more, which sent new calls over the dead link.
Test(links, a_partitioned_peer_gets_no_new_calls_until_a_message_arrives)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.outstanding = true;
    fixture.tickFor(std::chrono::milliseconds(500));
    cr_assert_eq(fixture.candidateCount(), 0);
    fixture.outstanding = false;
    for (int i = 0; i < 110; ++i) {
        fixture.tickFor(std::chrono::milliseconds(50));
        cr_assert_eq(fixture.candidateCount(), 0, "after %d ms", 50 * i);
    }
    cr_assert_geq(fixture.dials.size(), 5, "the peer is redialled during the partition");
    const std::size_t dialsDuringPartition = fixture.dials.size();
    fixture.tickFor(std::chrono::milliseconds(1600));
    cr_assert_gt(fixture.dials.size(), dialsDuringPartition, "the redial interval stays short enough to detect the end of the partition");
    fixture.receive(id, StatusMessage());
    fixture.tickFor(std::chrono::milliseconds(50));
    cr_assert_eq(fixture.candidateCount(), 1);
}

Test(links, a_closed_dial_reports_the_peer_unreachable)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.outstanding = true;
    fixture.links.closed(id);
    cr_assert_eq(fixture.dials.size(), 2, "a closed link is redialled immediately");
    fixture.links.closed(fixture.dials.back());
    cr_assert_eq(fixture.unreachableCount, 1);
}

Test(links, a_new_incarnation_at_the_same_address_is_reported)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink(50);
    fixture.links.closed(id);
    fixture.links.opened(fixture.dials.back(), false);
    fixture.hello(fixture.dials.back(), "x-1", 51);
    cr_assert_eq(fixture.incarnationChanges, 1);
    cr_assert_eq(fixture.establishedLinks, 1);
}

Test(links, a_suspended_process_does_not_time_out_its_links)
{
    LinkFixture fixture;
    fixture.openLink();
    fixture.outstanding = true;
    fixture.links.tick();
    fixture.time.skip(std::chrono::seconds(60));
    fixture.links.tick();
    cr_assert_eq(fixture.dials.size(), 1);
    cr_assert_eq(fixture.unreachableCount, 0);
}

//! A tick that was due before the process stood still runs before what has arrived in the meantime is read.
Test(links, a_tick_after_a_short_pause_does_not_suspect_links_whose_messages_are_unread)
{
    for (int milliseconds = 50; milliseconds <= 1000; milliseconds += 10) {
        LinkFixture fixture;
        const ConnectionId id = fixture.openLink();
        fixture.outstanding = true;
        fixture.receive(id, StatusMessage());
        fixture.tickFor(std::chrono::milliseconds(150));
        fixture.time.skip(std::chrono::milliseconds(milliseconds));
        fixture.links.tick();
        cr_expect_eq(fixture.candidateCount(), 1, "after a pause of %d ms", milliseconds);
        cr_expect_eq(fixture.dials.size(), 1, "after a pause of %d ms", milliseconds);
        fixture.receive(id, StatusMessage());
        fixture.tickFor(std::chrono::milliseconds(150));
        cr_expect_eq(fixture.candidateCount(), 1);
    }
}

Test(links, a_tick_after_a_short_pause_does_not_suspect_a_link_whose_first_call_was_sent_before)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.tickFor(std::chrono::seconds(4));
    fixture.outstanding = true;
    cr_assert(fixture.links.send(InstanceId("x-1"), CallMessage()));
    fixture.tickFor(std::chrono::milliseconds(150));
    fixture.time.skip(std::chrono::milliseconds(200));
    fixture.links.tick();
    cr_expect_eq(fixture.candidateCount(), 1);
    cr_expect_eq(fixture.dials.size(), 1);
    fixture.receive(id, StatusMessage());
    fixture.tickFor(std::chrono::milliseconds(150));
    cr_expect_eq(fixture.candidateCount(), 1);
}

//! The peer is partitioned, and its calls have been given up.
Test(links, a_suspected_link_stays_suspected_across_a_pause)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.outstanding = true;
    fixture.tickFor(std::chrono::milliseconds(800));
    fixture.outstanding = false;
    cr_assert_eq(fixture.candidateCount(), 0);
    fixture.time.skip(std::chrono::seconds(2));
    for (int i = 0; i < 20; ++i) {
        fixture.tickFor(std::chrono::milliseconds(50));
        cr_assert_eq(fixture.candidateCount(), 0, "%d ms after the pause", 50 * (i + 1));
    }
    fixture.receive(id, StatusMessage());
    fixture.tickFor(std::chrono::seconds(2));
    cr_assert_eq(fixture.candidateCount(), 1);
}

Test(links, a_silent_link_is_suspected_although_each_tick_is_late)
{
    LinkFixture fixture;
    fixture.openLink();
    fixture.outstanding = true;
    for (int i = 0; i < 8; ++i) {
        fixture.time.skip(std::chrono::milliseconds(300));
        fixture.links.tick();
    }
    cr_assert_eq(fixture.candidateCount(), 0);
}

//! The instance has been removed from the list, and its process ends the link.
Test(links, a_link_that_ends_with_outstanding_calls_is_dialled_again_although_the_peer_has_left_the_list)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.outstanding = true;
    fixture.links.setDesiredPeers({});
    fixture.links.closed(id);
    cr_assert_eq(fixture.dials.size(), 2, "the calls are resent or given up");
    fixture.links.closed(fixture.dials.back());
    cr_assert_eq(fixture.unreachableCount, 1);
    fixture.tickFor(std::chrono::milliseconds(200));
    cr_assert_eq(fixture.dials.size(), 3);
    fixture.outstanding = false;
    fixture.links.closed(fixture.dials.back());
    fixture.tickFor(std::chrono::seconds(2));
    cr_assert_eq(fixture.dials.size(), 3, "without outstanding calls the peer is forgotten");
}

//! The host of the peer has vanished, so that no end of the connection arrives.
Test(links, an_accepted_connection_is_closed_when_nothing_arrives_for_longer_than_the_heartbeat_interval)
{
    for (const bool hasHello : {true, false}) {
        LinkFixture fixture;
        const ConnectionId silent(900);
        const ConnectionId lively(901);
        fixture.links.opened(silent, true);
        fixture.links.opened(lively, true);
        fixture.hello(lively, "y-2", 4);
        if (hasHello) {
            fixture.hello(silent, "y-1", 3);
        }
        for (int i = 0; i < 120; ++i) {
            fixture.tickFor(std::chrono::seconds(5));
            fixture.receive(lively, StatusMessage());
        }
        cr_expect_eq(fixture.links.connectionCount(), 1);
        cr_expect_eq(fixture.closed.size(), 1);
        cr_expect(!fixture.closed.empty() && fixture.closed.front() == silent);
    }
}

Test(links, status_goes_to_the_connection_that_an_instance_was_last_heard_on)
{
    LinkFixture fixture;
    const ConnectionId dead(900);
    const ConnectionId current(901);
    for (const ConnectionId id : {dead, current}) {
        fixture.links.opened(id, true);
        fixture.hello(id, "y-1", 3);
        fixture.tickFor(std::chrono::milliseconds(100));
    }
    fixture.receive(current, StatusMessage());
    fixture.sent.clear();
    fixture.links.sendStatus(InstanceId("y-1"));
    fixture.links.sendStatusToInstances();
    cr_expect_eq(fixture.sent[current].size(), 2);
    cr_expect_eq(fixture.sent[dead].size(), 0);
}

Test(links, each_change_of_a_peers_incarnation_without_a_restart_is_reported)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink(50);
    StatusMessage status;
    for (const std::uint64_t incarnation : {51, 51, 52}) {
        status.incarnation = Incarnation(incarnation);
        fixture.receive(id, status);
        cr_expect(fixture.links.candidates(ServiceName("x")).front().incarnation == status.incarnation);
    }
    cr_expect_eq(fixture.incarnationChanges, 2);
    status.draining = true;
    fixture.receive(id, status);
    cr_expect(fixture.links.candidates(ServiceName("x")).front().draining);
}

//! Calls that peers send under the previous incarnation are refused, and whether they ran is not known to them.
Test(links, a_new_incarnation_of_this_node_is_announced_at_once)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    fixture.sent.clear();
    fixture.links.setOwnCandidate({InstanceId("self"), Incarnation(1), DataCentreName("a"), true, {}});
    cr_expect(fixture.sent[id].empty());
    fixture.links.setOwnCandidate({InstanceId("self"), Incarnation(2), DataCentreName("a"), true, {}});
    cr_expect_eq(fixture.sent[id].size(), 1);
}

Test(links, queueing_delay_is_measured_without_synchronised_clocks)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    const Duration offset = std::chrono::hours(5);
    fixture.links.received(id, {CancelMessage(), fixture.time.now() + offset});
    fixture.time.skip(std::chrono::milliseconds(700));
    fixture.links.received(id, {CancelMessage(), fixture.time.now() + offset - std::chrono::milliseconds(300)});
    cr_assert_eq(fixture.events.back().queueingDelay.count(), 300000);
}

Test(links, a_draining_peer_gets_no_new_calls_and_an_acknowledgement)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    StatusMessage draining;
    draining.draining = true;
    draining.incarnation = Incarnation(50);
    fixture.receive(id, draining);
    cr_assert(fixture.links.candidates(ServiceName("x")).front().draining);
    const auto *status = std::get_if<StatusMessage>(&fixture.sent[id].back());
    cr_assert_not_null(status);
    cr_assert(status->drainAcknowledged);
}

Test(links, a_drain_is_acknowledged_on_each_connection)
{
    LinkFixture fixture;
    const ConnectionId outbound = fixture.openLink();
    const ConnectionId inbound(900);
    fixture.links.opened(inbound, true);
    fixture.hello(inbound, "x-1", 50);
    StatusMessage draining;
    draining.draining = true;
    draining.incarnation = Incarnation(50);
    fixture.receive(inbound, draining);
    fixture.receive(outbound, draining);
    for (const ConnectionId id : {inbound, outbound}) {
        const auto *status = std::get_if<StatusMessage>(&fixture.sent[id].back());
        cr_assert_not_null(status);
        cr_assert(status->drainAcknowledged);
    }
}

Test(links, a_drain_is_complete_only_when_each_inbound_peer_has_acknowledged_it)
{
    LinkFixture fixture;
    const ConnectionId inbound(900);
    fixture.links.opened(inbound, true);
    fixture.hello(inbound, "y-1", 3);
    cr_assert_eq(fixture.links.drainUnacknowledgedBy().size(), 1);
    StatusMessage acknowledgement;
    acknowledgement.drainAcknowledged = true;
    fixture.receive(inbound, acknowledgement);
    cr_assert(fixture.links.drainUnacknowledgedBy().empty());
}

Test(links, a_stale_list_does_not_clear_the_draining_state_of_a_peer)
{
    LinkFixture fixture;
    const ConnectionId id = fixture.openLink();
    StatusMessage draining;
    draining.draining = true;
    draining.incarnation = Incarnation(50);
    fixture.receive(id, draining);
    for (int i = 0; i < 60; ++i) {
        fixture.links.setDesiredPeers({publishedPeer("x-1")});
        fixture.tickFor(std::chrono::seconds(1));
        fixture.receive(id, draining);
        cr_assert(fixture.links.candidates(ServiceName("x")).front().draining);
    }
}

Test(links, heartbeats_are_frequent_only_while_calls_are_unanswered)
{
    LinkFixture fixture;
    const ConnectionId inbound(900);
    fixture.links.opened(inbound, true);
    fixture.hello(inbound, "y-1", 3);
    const std::size_t before = fixture.sent[inbound].size();
    fixture.tickFor(std::chrono::seconds(10));
    cr_assert_eq(fixture.sent[inbound].size() - before, 2);
    fixture.links.adjustUnansweredCalls(inbound, 1);
    const std::size_t activeBefore = fixture.sent[inbound].size();
    fixture.tickFor(std::chrono::seconds(1));
    cr_assert_eq(fixture.sent[inbound].size() - activeBefore, 10);
}

Test(links, a_call_answered_quickly_causes_no_heartbeat)
{
    LinkFixture fixture;
    const ConnectionId inbound(900);
    fixture.links.opened(inbound, true);
    fixture.hello(inbound, "y-1", 3);
    fixture.tickFor(std::chrono::seconds(1));
    const std::size_t before = fixture.sent[inbound].size();
    for (int i = 0; i < 20; ++i) {
        fixture.links.adjustUnansweredCalls(inbound, 1);
        fixture.tickFor(std::chrono::milliseconds(50));
        fixture.links.adjustUnansweredCalls(inbound, -1);
        fixture.tickFor(std::chrono::milliseconds(50));
    }
    cr_assert_eq(fixture.sent[inbound].size(), before);
}
