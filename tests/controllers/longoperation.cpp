#include "linkednodes.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

// Nodes in operation for longer than any of their timeouts, retention times and measurement windows: idle times of up to two minutes
// between bursts of calls, and faults beside them.

namespace {

constexpr std::size_t nodeCount = 4;
constexpr Duration burstLength = std::chrono::seconds(3);
constexpr Duration callInterval = std::chrono::milliseconds(30);
//! Time until the effects of a fault are over, and the longest time of a call.
constexpr Duration recoveryTime = std::chrono::seconds(3);
constexpr Duration callTimeout = std::chrono::seconds(2);

enum class Fault {
    None,
    ShortPause,
    LongPause,
    Partition,
    Reset,
    Restart,
    Unpublished,
};

class LongOperation
{
public:
    explicit LongOperation(std::uint64_t seed)
        : m_random(seed)
        , nodes(time, nodeCount, seed)
    {
        time.runFor(std::chrono::seconds(2));
    }

    void idle(Duration longest)
    {
        time.runFor(randomDuration(m_random, std::chrono::seconds(1), longest));
    }

    //! Calls between all nodes; the fault begins after a second.
    void burst(Fault fault)
    {
        time.after(std::chrono::seconds(1), [this, fault] { inject(fault); });
        for (Duration at{}; at < burstLength; at += callInterval) {
            time.after(at, [this] {
                for (std::size_t node = 0; node < nodeCount; ++node) {
                    nodes.call(node, uniformIndex(m_random, 2) == 0);
                }
            });
        }
        time.runFor(burstLength + recoveryTime);
        if (!m_disturbed.empty()) {
            time.runUntil(std::max(time.now(), m_disturbed.back().second));
        }
    }

    void inject(Fault fault)
    {
        const std::size_t node = uniformIndex(m_random, nodeCount);
        const std::size_t other = (node + 1 + uniformIndex(m_random, nodeCount - 1)) % nodeCount;
        Duration length{};
        switch (fault) {
        case Fault::None:
            return;
        case Fault::ShortPause:
            length = randomDuration(m_random, std::chrono::milliseconds(20), std::chrono::milliseconds(280));
            nodes.pause(node, length);
            break;
        case Fault::LongPause:
            length = randomDuration(m_random, std::chrono::milliseconds(300), std::chrono::seconds(40));
            nodes.pause(node, length);
            break;
        case Fault::Partition:
            length = randomDuration(m_random, std::chrono::milliseconds(100), std::chrono::seconds(20));
            nodes.partition(node, other, length);
            break;
        case Fault::Reset:
            nodes.reset(node, other);
            break;
        case Fault::Restart:
            length = std::chrono::milliseconds(500);
            nodes.restart(node, length);
            break;
        case Fault::Unpublished:
            length = std::chrono::seconds(1);
            nodes.setPublished(node, false);
            nodes.reset(node, other);
            time.after(length, [this, node] { nodes.setPublished(node, true); });
            break;
        }
        m_disturbed.emplace_back(time.now() - callTimeout, time.now() + length + recoveryTime);
    }

    bool isDisturbed(const TracedCall &call) const
    {
        return std::any_of(m_disturbed.begin(), m_disturbed.end(), [&](const auto &span) {
            return span.first <= call.madeAt && call.madeAt <= span.second;
        });
    }

    //! Checks each call made since the last check, and returns how many ended otherwise than done.
    std::size_t check(const char *what)
    {
        std::size_t notDone = 0;
        for (; m_checked < nodes.calls().size(); ++m_checked) {
            const TracedCall &call = nodes.calls()[m_checked];
            if (!call.isIdempotent) {
                cr_expect_leq(call.starts, 1, "%s: call %zu ran %d times", what, m_checked, call.starts);
            }
            if (call.isCallerKilled) {
                continue;
            }
            cr_expect_eq(call.results.size(), 1, "%s: call %zu ended %zu times", what, m_checked, call.results.size());
            if (call.results.size() != 1) {
                continue;
            }
            const ResultCode code = call.results.front();
            const Outcome outcome = outcomeOf(code);
            notDone += outcome == Outcome::Done ? 0 : 1;
            cr_expect(outcome != Outcome::Done || call.starts > 0, "%s: call %zu is done and never ran", what, m_checked);
            cr_expect(outcome != Outcome::NotRun || call.starts == 0, "%s: call %zu is refused as not run and ran", what, m_checked);
            cr_expect(outcome == Outcome::Done || isDisturbed(call),
                      "%s: call %zu ended as %s without a fault",
                      what,
                      m_checked,
                      describe(code).name);
        }
        return notDone;
    }

    void checkNothingIsLeft()
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            cr_expect_eq(nodes.router(node).outstanding(), 0, "node %zu", node);
            cr_expect_eq(nodes.executor(node).running(), 0, "node %zu", node);
            cr_expect_eq(nodes.executor(node).queued(), 0, "node %zu", node);
            cr_expect_eq(nodes.links(node).linkCount(), nodeCount - 1, "node %zu", node);
            cr_expect_eq(nodes.links(node).connectionCount(),
                         2 * (nodeCount - 1),
                         "node %zu has %zu connections",
                         node,
                         nodes.links(node).connectionCount());
        }
    }

private:
    RandomSource m_random;
    std::vector<std::pair<TimePoint, TimePoint>> m_disturbed;
    std::size_t m_checked = 0;

public:
    VirtualTime time;
    LinkedNodes nodes;
};

void operate(Fault fault, const char *what, std::uint64_t seed)
{
    LongOperation operation(seed);
    std::size_t notDone = 0;
    while (operation.time.now() < TimePoint(std::chrono::seconds(1000)) + std::chrono::minutes(20)) {
        operation.burst(fault);
        operation.idle(std::chrono::seconds(120));
        notDone += operation.check(what);
        operation.checkNothingIsLeft();
    }
    std::printf("%s: %zu calls, %zu not done\n", what, operation.nodes.calls().size(), notDone);
}

} // namespace

Test(longoperation, serves_each_call_between_idle_times)
{
    operate(Fault::None, "no fault", 1);
}

Test(longoperation, keeps_its_promises_across_short_pauses)
{
    operate(Fault::ShortPause, "short pauses", 2);
}

Test(longoperation, keeps_its_promises_across_long_pauses)
{
    operate(Fault::LongPause, "long pauses", 3);
}

Test(longoperation, keeps_its_promises_across_partitions)
{
    operate(Fault::Partition, "partitions", 4);
}

Test(longoperation, keeps_its_promises_across_resets)
{
    operate(Fault::Reset, "resets", 5);
}

Test(longoperation, keeps_its_promises_across_restarts)
{
    operate(Fault::Restart, "restarts", 6);
}

Test(longoperation, keeps_its_promises_when_a_peer_leaves_the_list_and_a_link_ends)
{
    operate(Fault::Unpublished, "unpublished", 7);
}
