#include "virtualtime.h"

#include <chervilpaddle/controllers/linkcontroller.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

PublishedInstance peerInstance(const std::string &id)
{
    PublishedInstance instance;
    instance.instance = InstanceId(id);
    instance.service = ServiceName("x");
    instance.dataCentre = DataCentreName("a");
    instance.peerAddress = {"127.0.0.1", 9000};
    return instance;
}

//! A link controller with a scripted transport.
class LinkBench
{
public:
    LinkBench()
        : links({InstanceId("self"), Incarnation(1), DataCentreName("a"), false}, ServiceName("own"), hooks(), 1)
    {
    }

    LinkController::Hooks hooks()
    {
        LinkController::Hooks hooks;
        hooks.clock = time.clock();
        hooks.dial = [this](const Endpoint &) {
            dials.push_back(ConnectionId(++m_last));
            return dials.back();
        };
        hooks.send = [this](ConnectionId id, const PeerMessage &message) { sent[id].push_back(message); };
        hooks.close = [this](ConnectionId id) { closed.push_back(id); };
        hooks.hello = [] { return HelloMessage(); };
        hooks.status = [this] { return status; };
        hooks.hasOutstanding = [this](const InstanceId &) { return outstanding; };
        hooks.unreachable = [this](const InstanceId &) { ++suspects; };
        hooks.incarnationChanged = [this](const InstanceId &, Incarnation) { ++replacements; };
        hooks.linkEstablished = [this](const InstanceId &) { ++relinks; };
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

    //! Opens the link to the one wanted peer.
    ConnectionId openLink(std::uint64_t incarnation = 50)
    {
        links.setDesiredPeers({peerInstance("x-1")});
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
    int suspects = 0;
    int replacements = 0;
    int relinks = 0;
    LinkController links;

private:
    std::uint64_t m_last = 0;
};

} // namespace

Test(links, a_peer_counts_once_it_has_said_hello)
{
    LinkBench bench;
    bench.links.setDesiredPeers({peerInstance("x-1")});
    bench.links.tick();
    cr_assert_eq(bench.candidateCount(), 0);
    bench.links.opened(bench.dials.back(), false);
    bench.hello(bench.dials.back(), "x-1", 50);
    cr_assert_eq(bench.candidateCount(), 1);
    cr_assert(bench.links.candidates(ServiceName("x")).front().incarnation == Incarnation(50));
}

Test(links, somebody_else_at_the_address_is_no_peer)
{
    LinkBench bench;
    bench.links.setDesiredPeers({peerInstance("x-1")});
    bench.links.tick();
    bench.links.opened(bench.dials.back(), false);
    bench.hello(bench.dials.back(), "y-9", 50);
    cr_assert_eq(bench.candidateCount(), 0);
    cr_assert_eq(bench.closed.size(), 1);
}

Test(links, a_call_before_hello_closes_the_connection)
{
    LinkBench bench;
    bench.links.opened(ConnectionId(900), true);
    bench.receive(ConnectionId(900), CallMessage());
    cr_assert(bench.events.empty());
    cr_assert_eq(bench.closed.size(), 1);
}

Test(links, a_silent_link_with_calls_waiting_is_raced_by_a_new_one)
{
    LinkBench bench;
    const ConnectionId old = bench.openLink();
    bench.outstanding = true;
    bench.tickFor(std::chrono::milliseconds(500));
    cr_assert_eq(bench.dials.size(), 2);
    cr_assert_eq(bench.candidateCount(), 0, "no new calls go where the link is in doubt");
    const ConnectionId fresh = bench.dials.back();
    bench.links.opened(fresh, false);
    bench.hello(fresh, "x-1", 50);
    cr_assert_eq(bench.candidateCount(), 1);
    cr_assert_eq(bench.relinks, 2);
    cr_assert_eq(bench.replacements, 0);
    cr_assert(bench.closed.back() == old);
}

Test(links, a_call_on_a_silent_link_is_carried_over_before_the_shortest_deadline)
{
    // The shortest deadline of the Tandas contracts, and what the new link, the frame and the run take of it.
    constexpr Duration deadline = std::chrono::milliseconds(400);
    constexpr Duration neededAfterDial = std::chrono::milliseconds(40);
    constexpr Duration step = std::chrono::milliseconds(5);
    constexpr int stepsInTick = 10;
    for (int phase = 0; phase < stepsInTick; ++phase) {
        LinkBench bench;
        bench.openLink();
        bench.tickFor(std::chrono::seconds(1));
        Duration sinceCall = Duration::zero();
        for (int i = 0; bench.dials.size() < 2; ++i) {
            if (i == phase) {
                bench.outstanding = true;
                cr_assert(bench.links.send(InstanceId("x-1"), CallMessage()));
            }
            bench.time.skip(step);
            sinceCall += i >= phase ? step : Duration::zero();
            if (i % stepsInTick == stepsInTick - 1) {
                bench.links.tick();
            }
        }
        cr_expect_leq(sinceCall.count(), (deadline - neededAfterDial).count(), "called %d steps after a tick", phase);
    }
}

Test(links, an_idle_link_is_not_in_doubt_when_calls_begin)
{
    LinkBench bench;
    bench.openLink();
    bench.tickFor(std::chrono::seconds(2));
    bench.outstanding = true;
    bench.tickFor(std::chrono::milliseconds(300));
    cr_assert_eq(bench.dials.size(), 1);
    cr_assert_eq(bench.candidateCount(), 1);
}

Test(links, a_link_that_speaks_again_is_out_of_doubt)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    bench.outstanding = true;
    bench.tickFor(std::chrono::milliseconds(450));
    cr_assert_eq(bench.candidateCount(), 0);
    bench.receive(id, StatusMessage());
    bench.tickFor(std::chrono::milliseconds(600));
    cr_assert_geq(bench.suspects, 1, "the raced link was never answered");
}

//! A data centre is cut off for six seconds. Calls that wait there are given up and go elsewhere, after which nothing waits;
//! that must not bring new calls to the same dead link.
Test(links, a_cut_off_peer_gets_no_new_calls_until_it_is_heard_again)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    bench.outstanding = true;
    bench.tickFor(std::chrono::milliseconds(500));
    cr_assert_eq(bench.candidateCount(), 0);
    bench.outstanding = false;
    for (int i = 0; i < 110; ++i) {
        bench.tickFor(std::chrono::milliseconds(50));
        cr_assert_eq(bench.candidateCount(), 0, "after %d ms", 50 * i);
    }
    cr_assert_geq(bench.dials.size(), 5, "it is tried again all the while");
    const std::size_t dialsInCut = bench.dials.size();
    bench.tickFor(std::chrono::milliseconds(1600));
    cr_assert_gt(bench.dials.size(), dialsInCut, "a healed cut is noticed soon");
    bench.receive(id, StatusMessage());
    bench.tickFor(std::chrono::milliseconds(50));
    cr_assert_eq(bench.candidateCount(), 1);
}

Test(links, a_peer_that_cannot_be_reached_is_suspect)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    bench.outstanding = true;
    bench.links.closed(id);
    cr_assert_eq(bench.dials.size(), 2, "a lost link is dialled again at once");
    bench.links.closed(bench.dials.back());
    cr_assert_eq(bench.suspects, 1);
}

Test(links, a_new_incarnation_at_the_same_address_is_told)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink(50);
    bench.links.closed(id);
    bench.links.opened(bench.dials.back(), false);
    bench.hello(bench.dials.back(), "x-1", 51);
    cr_assert_eq(bench.replacements, 1);
    cr_assert_eq(bench.relinks, 1);
}

Test(links, a_paused_process_does_not_blame_its_peers)
{
    LinkBench bench;
    bench.openLink();
    bench.outstanding = true;
    bench.links.tick();
    bench.time.skip(std::chrono::seconds(60));
    bench.links.tick();
    cr_assert_eq(bench.dials.size(), 1);
    cr_assert_eq(bench.suspects, 0);
}

Test(links, time_in_a_socket_buffer_is_measured_without_synchronised_clocks)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    const Duration offset = std::chrono::hours(5);
    bench.links.received(id, {CancelMessage(), bench.time.now() + offset});
    bench.time.skip(std::chrono::milliseconds(700));
    bench.links.received(id, {CancelMessage(), bench.time.now() + offset - std::chrono::milliseconds(300)});
    cr_assert_eq(bench.events.back().queueingDelay.count(), 300000);
}

Test(links, a_draining_peer_gets_no_new_calls_and_hears_that_it_was_understood)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    StatusMessage leaving;
    leaving.draining = true;
    leaving.incarnation = Incarnation(50);
    bench.receive(id, leaving);
    cr_assert(bench.links.candidates(ServiceName("x")).front().draining);
    const auto *status = std::get_if<StatusMessage>(&bench.sent[id].back());
    cr_assert_not_null(status);
    cr_assert(status->drainSeen);
}

Test(links, a_drain_is_confirmed_on_each_connection)
{
    LinkBench bench;
    const ConnectionId outbound = bench.openLink();
    const ConnectionId inbound(900);
    bench.links.opened(inbound, true);
    bench.hello(inbound, "x-1", 50);
    StatusMessage leaving;
    leaving.draining = true;
    leaving.incarnation = Incarnation(50);
    bench.receive(inbound, leaving);
    bench.receive(outbound, leaving);
    for (const ConnectionId id : {inbound, outbound}) {
        const auto *status = std::get_if<StatusMessage>(&bench.sent[id].back());
        cr_assert_not_null(status);
        cr_assert(status->drainSeen);
    }
}

Test(links, a_drain_is_seen_by_all_only_when_each_inbound_peer_has_said_so)
{
    LinkBench bench;
    const ConnectionId inbound(900);
    bench.links.opened(inbound, true);
    bench.hello(inbound, "y-1", 3);
    cr_assert_eq(bench.links.drainUnacknowledgedBy().size(), 1);
    StatusMessage seen;
    seen.drainSeen = true;
    bench.receive(inbound, seen);
    cr_assert(bench.links.drainUnacknowledgedBy().empty());
}

Test(links, the_published_list_naming_a_leaving_instance_as_live_changes_nothing)
{
    LinkBench bench;
    const ConnectionId id = bench.openLink();
    StatusMessage leaving;
    leaving.draining = true;
    leaving.incarnation = Incarnation(50);
    bench.receive(id, leaving);
    for (int i = 0; i < 60; ++i) {
        bench.links.setDesiredPeers({peerInstance("x-1")});
        bench.tickFor(std::chrono::seconds(1));
        bench.receive(id, leaving);
        cr_assert(bench.links.candidates(ServiceName("x")).front().draining);
    }
}

Test(links, heartbeats_are_frequent_only_while_calls_are_unanswered)
{
    LinkBench bench;
    const ConnectionId inbound(900);
    bench.links.opened(inbound, true);
    bench.hello(inbound, "y-1", 3);
    const std::size_t before = bench.sent[inbound].size();
    bench.tickFor(std::chrono::seconds(10));
    cr_assert_eq(bench.sent[inbound].size() - before, 2);
    bench.links.adjustUnansweredCalls(inbound, 1);
    const std::size_t busyBefore = bench.sent[inbound].size();
    bench.tickFor(std::chrono::seconds(1));
    cr_assert_eq(bench.sent[inbound].size() - busyBefore, 10);
}

Test(links, a_call_that_is_answered_soon_costs_no_heartbeat)
{
    LinkBench bench;
    const ConnectionId inbound(900);
    bench.links.opened(inbound, true);
    bench.hello(inbound, "y-1", 3);
    bench.tickFor(std::chrono::seconds(1));
    const std::size_t before = bench.sent[inbound].size();
    for (int i = 0; i < 20; ++i) {
        bench.links.adjustUnansweredCalls(inbound, 1);
        bench.tickFor(std::chrono::milliseconds(50));
        bench.links.adjustUnansweredCalls(inbound, -1);
        bench.tickFor(std::chrono::milliseconds(50));
    }
    cr_assert_eq(bench.sent[inbound].size(), before);
}
