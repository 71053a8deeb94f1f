#include "scenario.h"

#include "fakeservice.h"

#include <chervilpaddle/filters/entryfilters.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chervilpaddle::bench {

namespace {

using support::FakeNode;
using support::FakeOperation;
using support::FakeServices;
using support::VirtualTime;

constexpr Duration intervalLength = std::chrono::milliseconds(100);
constexpr double recoveredShare = 0.95;
constexpr std::size_t recoveryIntervals = 10;

class ScenarioRun
{
public:
    ScenarioRun(const Scenario &scenario, const Variant &variant, std::uint64_t seed)
        : m_scenario(scenario)
        , m_variant(variant)
        , m_services(m_time, seed)
        , m_random(seed + 1)
        , m_start(m_time.now())
    {
        build();
    }

    Outcome run()
    {
        scheduleArrival();
        m_time.after(m_scenario.before, [this] { beginPressure(); });
        m_time.after(m_scenario.before + m_scenario.pressure, [this] { endPressure(); });
        m_time.runFor(m_scenario.before + m_scenario.pressure + m_scenario.after + 2 * m_scenario.deadline);
        return evaluate();
    }

private:
    struct Root
    {
        std::size_t kind = 0;
        std::string id;
        TimePoint sent;
        int attempts = 0;
        bool ended = false;
    };

    static std::string serviceName(int level)
    {
        return "s" + std::to_string(level);
    }

    void build()
    {
        for (int level = 0; level < m_scenario.depth; ++level) {
            FakeOperation operation;
            operation.serviceTime = m_scenario.serviceTime;
            operation.deadline = m_scenario.deadline;
            if (level + 1 < m_scenario.depth) {
                operation.calls = {OperationName(serviceName(level + 1) + ".run")};
            }
            m_services.addOperation(OperationName(serviceName(level) + ".run"), operation);
            for (int number = 0; number < m_scenario.nodesPerService; ++number) {
                m_services.addNode(
                    serviceName(level) + "-" + std::to_string(number), serviceName(level), "centre-a", slotsAt(level), m_variant.policy);
            }
        }
    }

    //! A level's slots are held while the levels below work, so the levels above get more, as operators would give,
    //! and half as many again, so that the deepest service is the bottleneck.
    int slotsAt(int level) const
    {
        const int levelsBelow = m_scenario.depth - 1 - level;
        return levelsBelow == 0 ? m_scenario.slots : m_scenario.slots * (levelsBelow + 1) * 3 / 2;
    }

    double capacity(double slowdown) const
    {
        return m_scenario.slots * m_scenario.nodesPerService / (toSeconds(m_scenario.serviceTime) * slowdown);
    }

    bool isPressure(TimePoint time) const
    {
        return time >= m_start + m_scenario.before && time < m_start + m_scenario.before + m_scenario.pressure;
    }

    void scheduleArrival()
    {
        const double load = isPressure(m_time.now()) ? m_scenario.pressureLoad : m_scenario.steadyLoad;
        const double rate = load * capacity(1);
        const Duration gap = fromSeconds(std::exponential_distribution<double>(rate)(m_random));
        if (m_time.now() + gap > m_start + m_scenario.before + m_scenario.pressure + m_scenario.after) {
            return;
        }
        m_time.after(gap, [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        auto root = std::make_shared<Root>();
        double draw = uniformFraction(m_random);
        while (root->kind + 1 < m_scenario.kinds.size() && draw >= m_scenario.kinds[root->kind].share) {
            draw -= m_scenario.kinds[root->kind].share;
            ++root->kind;
        }
        root->id = "r" + std::to_string(m_roots.size());
        root->sent = m_time.now();
        m_roots.push_back(root);
        attempt(root);
    }

    void attempt(const std::shared_ptr<Root> &root)
    {
        const RootKind &kind = m_scenario.kinds[root->kind];
        OutboundCall call;
        call.context.request = RequestId(root->id);
        call.context.customer = CustomerName(kind.name);
        call.context.operation = OperationName(kind.operation);
        call.context.idempotent = true;
        call.context.rank = rankOf(call.context.request, Priority(kind.worth), root->attempts > 0, true);
        call.deadline = root->sent + m_scenario.deadline;
        call.allowance = std::make_shared<RetryAllowance>(root->attempts > 0 ? 0 : m_scenario.grant);
        ++root->attempts;
        const auto level = serviceOf(call.context.operation).value();
        FakeNode &entry =
            m_services.node(level + "-" + std::to_string(uniformIndex(m_random, static_cast<std::size_t>(m_scenario.nodesPerService))));
        entry.router().call(std::move(call), [this, root](const CallResult &result) { attemptEnded(root, result); });
    }

    void attemptEnded(const std::shared_ptr<Root> &root, const CallResult &result)
    {
        const TimePoint now = m_time.now();
        if (result.code == ResultCode::Done) {
            root->ended = now <= root->sent + m_scenario.deadline;
            if (root->ended) {
                m_doneAt.emplace_back(now, root->kind);
            }
            return;
        }
        if (root->attempts <= m_scenario.callerRepeats && now < root->sent + m_scenario.deadline) {
            constexpr Duration callerPause = std::chrono::milliseconds(10);
            m_time.after(callerPause, [this, root] { attempt(root); });
        }
    }

    void beginPressure()
    {
        for (FakeNode *node : m_services.nodes()) {
            if (node->service().value() == serviceName(m_scenario.depth - 1)) {
                node->setSlowdown(m_scenario.deepSlowdown);
            }
        }
        if (m_scenario.replaceThird) {
            m_services.replaceNode(serviceName(m_scenario.depth - 1) + "-0").executor().backendRestarted();
        }
    }

    void endPressure()
    {
        for (FakeNode *node : m_services.nodes()) {
            node->setSlowdown(1);
        }
    }

    Outcome evaluate() const
    {
        Outcome outcome;
        const TimePoint pressureStart = m_start + m_scenario.before;
        const TimePoint pressureEnd = pressureStart + m_scenario.pressure;
        evaluateGoodput(outcome, pressureStart, pressureEnd);
        evaluateRoots(outcome);
        outcome.recoverySeconds = recovery();
        return outcome;
    }

    void evaluateGoodput(Outcome &outcome, TimePoint pressureStart, TimePoint pressureEnd) const
    {
        const auto intervals = static_cast<std::size_t>((m_scenario.before + m_scenario.pressure + m_scenario.after) / intervalLength);
        outcome.goodputPerSecond.assign(intervals, 0);
        double done = 0;
        double doneWorth = 0;
        for (const auto &[time, kind] : m_doneAt) {
            const auto interval = static_cast<std::size_t>((time - m_start) / intervalLength);
            if (interval < intervals) {
                outcome.goodputPerSecond[interval] += 1 / toSeconds(intervalLength);
            }
            if (time >= pressureStart && time < pressureEnd) {
                done += 1;
                doneWorth += m_scenario.kinds[kind].worth;
            }
        }
        const double seconds = toSeconds(m_scenario.pressure);
        const double possible = std::min(capacity(m_scenario.deepSlowdown), m_scenario.pressureLoad * capacity(1)) * seconds;
        outcome.goodputShare = done / possible;
        outcome.worthShare = doneWorth / bestWorth(possible);
    }

    //! The worth of the best choice of `possible` roots from what arrives during the pressure.
    double bestWorth(double possible) const
    {
        const double arriving = m_scenario.pressureLoad * capacity(1) * toSeconds(m_scenario.pressure);
        std::vector<RootKind> kinds = m_scenario.kinds;
        std::sort(kinds.begin(), kinds.end(), [](const auto &a, const auto &b) { return a.worth > b.worth; });
        double worth = 0;
        for (const RootKind &kind : kinds) {
            const double taken = std::min(possible, kind.share * arriving);
            worth += taken * kind.worth;
            possible -= taken;
        }
        return worth;
    }

    void evaluateRoots(Outcome &outcome) const
    {
        const auto top = std::max_element(
            m_scenario.kinds.begin(), m_scenario.kinds.end(), [](const auto &a, const auto &b) { return a.worth < b.worth; });
        double topSent = 0;
        double topDone = 0;
        double slotTime = 0;
        double wastedTime = 0;
        for (const auto &root : m_roots) {
            if (m_scenario.kinds[root->kind].name == top->name) {
                topSent += 1;
                topDone += root->ended ? 1 : 0;
            }
            const auto spent = m_services.slotSeconds.find(root->id);
            if (spent != m_services.slotSeconds.end()) {
                slotTime += spent->second;
                wastedTime += root->ended ? 0 : spent->second;
            }
        }
        outcome.topServed = topSent > 0 ? topDone / topSent : 1;
        outcome.wasted = slotTime > 0 ? wastedTime / slotTime : 0;
        for (const auto &[key, count] : m_services.startCounts) {
            outcome.mostRuns = std::max(outcome.mostRuns, count);
        }
    }

    //! From the end of the pressure until, for a second, the share of the arriving roots that are done in time is
    //! back at 95 % of what it was before. A share, since the arrivals of one second vary by more than 5 % themselves.
    double recovery() const
    {
        const auto first = static_cast<std::size_t>(m_scenario.before / intervalLength);
        const auto end = static_cast<std::size_t>((m_scenario.before + m_scenario.pressure) / intervalLength);
        const auto last = end + static_cast<std::size_t>(m_scenario.after / intervalLength);
        std::vector<double> sent(last + 1, 0);
        std::vector<double> done(last + 1, 0);
        for (const auto &root : m_roots) {
            const auto interval = std::min(last, static_cast<std::size_t>((root->sent - m_start) / intervalLength));
            sent[interval] += 1;
            done[interval] += root->ended ? 1 : 0;
        }
        const auto share = [&](std::size_t begin, std::size_t length) {
            const auto from = static_cast<std::ptrdiff_t>(begin);
            const auto to = static_cast<std::ptrdiff_t>(begin + length);
            return std::accumulate(done.begin() + from, done.begin() + to, 0.0)
                / std::max(1.0, std::accumulate(sent.begin() + from, sent.begin() + to, 0.0));
        };
        const double before = share(0, first);
        for (std::size_t begin = end; begin + recoveryIntervals <= last; ++begin) {
            if (share(begin, recoveryIntervals) >= recoveredShare * before) {
                return toSeconds(intervalLength) * static_cast<double>(begin - end);
            }
        }
        return -1;
    }

    Scenario m_scenario;
    Variant m_variant;
    VirtualTime m_time;
    FakeServices m_services;
    RandomSource m_random;
    TimePoint m_start;
    std::vector<std::shared_ptr<Root>> m_roots;
    std::vector<std::pair<TimePoint, std::size_t>> m_doneAt;
};

} // namespace

Outcome runScenario(const Scenario &scenario, const Variant &variant, std::uint64_t seed)
{
    return ScenarioRun(scenario, variant, seed).run();
}

} // namespace chervilpaddle::bench
