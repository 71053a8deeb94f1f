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
constexpr double recoveryThreshold = 0.95;
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

    ScenarioResult run()
    {
        scheduleArrival();
        m_time.after(m_scenario.warmUpDuration, [this] { beginStress(); });
        m_time.after(m_scenario.warmUpDuration + m_scenario.stressDuration, [this] { endStress(); });
        m_time.runFor(m_scenario.warmUpDuration + m_scenario.stressDuration + m_scenario.recoveryDuration + 2 * m_scenario.deadline);
        return evaluate();
    }

private:
    struct RootRequest
    {
        std::size_t requestClass = 0;
        std::string id;
        TimePoint sent;
        int attempts = 0;
        bool isDoneInTime = false;
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
                m_services.addNode(serviceName(level) + "-" + std::to_string(number),
                                   serviceName(level),
                                   "centre-a",
                                   slotsForLevel(level),
                                   m_variant.policy);
            }
        }
    }

    //! A slot is held while the levels below work, so a level gets slots in proportion to the levels in its subtree, and
    //! half as many again, so that the deepest service is the bottleneck.
    int slotsForLevel(int level) const
    {
        const int levelsBelow = m_scenario.depth - 1 - level;
        return levelsBelow == 0 ? m_scenario.slots : m_scenario.slots * (levelsBelow + 1) * 3 / 2;
    }

    double capacity(double slowdown) const
    {
        return m_scenario.slots * m_scenario.nodesPerService / (toSeconds(m_scenario.serviceTime) * slowdown);
    }

    bool isStressPhase(TimePoint time) const
    {
        return time >= m_start + m_scenario.warmUpDuration && time < m_start + m_scenario.warmUpDuration + m_scenario.stressDuration;
    }

    void scheduleArrival()
    {
        const double load = isStressPhase(m_time.now()) ? m_scenario.stressLoad : m_scenario.steadyLoad;
        const double rate = load * capacity(1);
        const Duration gap = fromSeconds(std::exponential_distribution<double>(rate)(m_random));
        if (m_time.now() + gap > m_start + m_scenario.warmUpDuration + m_scenario.stressDuration + m_scenario.recoveryDuration) {
            return;
        }
        m_time.after(gap, [this] {
            sendRootRequest();
            scheduleArrival();
        });
    }

    void sendRootRequest()
    {
        auto root = std::make_shared<RootRequest>();
        double draw = uniformFraction(m_random);
        while (root->requestClass + 1 < m_scenario.requestClasses.size() && draw >= m_scenario.requestClasses[root->requestClass].share) {
            draw -= m_scenario.requestClasses[root->requestClass].share;
            ++root->requestClass;
        }
        root->id = "r" + std::to_string(m_roots.size());
        root->sent = m_time.now();
        m_roots.push_back(root);
        attempt(root);
    }

    void attempt(const std::shared_ptr<RootRequest> &root)
    {
        const RootRequestClass &requestClass = m_scenario.requestClasses[root->requestClass];
        OutboundCall call;
        call.context.request = RequestId(root->id);
        call.context.customer = CustomerName(requestClass.name);
        call.context.operation = OperationName(requestClass.operation);
        call.context.idempotent = true;
        call.context.rank = rankOf(call.context.request, Priority(requestClass.worth), root->attempts > 0, true);
        call.deadline = root->sent + m_scenario.deadline;
        call.allowance = std::make_shared<RetryAllowance>(root->attempts > 0 ? 0 : m_scenario.retryAllowance);
        ++root->attempts;
        const auto level = serviceOf(call.context.operation).value();
        FakeNode &entry =
            m_services.node(level + "-" + std::to_string(uniformIndex(m_random, static_cast<std::size_t>(m_scenario.nodesPerService))));
        entry.router().call(std::move(call), [this, root](const CallResult &result) { attemptEnded(root, result); });
    }

    void attemptEnded(const std::shared_ptr<RootRequest> &root, const CallResult &result)
    {
        const TimePoint now = m_time.now();
        if (result.code == ResultCode::Done) {
            root->isDoneInTime = now <= root->sent + m_scenario.deadline;
            if (root->isDoneInTime) {
                m_completions.emplace_back(now, root->requestClass);
            }
            return;
        }
        if (root->attempts <= m_scenario.callerRetries && now < root->sent + m_scenario.deadline) {
            constexpr Duration callerRetryDelay = std::chrono::milliseconds(10);
            m_time.after(callerRetryDelay, [this, root] { attempt(root); });
        }
    }

    void beginStress()
    {
        for (FakeNode *node : m_services.nodes()) {
            if (node->service().value() == serviceName(m_scenario.depth - 1)) {
                node->setSlowdown(m_scenario.deepSlowdown);
            }
        }
        if (m_scenario.replacesDeepNode) {
            m_services.replaceNode(serviceName(m_scenario.depth - 1) + "-0").executor().backendRestarted();
        }
    }

    void endStress()
    {
        for (FakeNode *node : m_services.nodes()) {
            node->setSlowdown(1);
        }
    }

    ScenarioResult evaluate() const
    {
        ScenarioResult result;
        const TimePoint stressStart = m_start + m_scenario.warmUpDuration;
        const TimePoint stressEnd = stressStart + m_scenario.stressDuration;
        evaluateGoodput(result, stressStart, stressEnd);
        evaluateRoots(result);
        result.recoverySeconds = recoverySeconds();
        return result;
    }

    void evaluateGoodput(ScenarioResult &result, TimePoint stressStart, TimePoint stressEnd) const
    {
        const auto intervals = static_cast<std::size_t>(
            (m_scenario.warmUpDuration + m_scenario.stressDuration + m_scenario.recoveryDuration) / intervalLength);
        result.goodputPerSecond.assign(intervals, 0);
        double done = 0;
        double doneWorth = 0;
        for (const auto &[time, requestClass] : m_completions) {
            const auto interval = static_cast<std::size_t>((time - m_start) / intervalLength);
            if (interval < intervals) {
                result.goodputPerSecond[interval] += 1 / toSeconds(intervalLength);
            }
            if (time >= stressStart && time < stressEnd) {
                done += 1;
                doneWorth += m_scenario.requestClasses[requestClass].worth;
            }
        }
        const double seconds = toSeconds(m_scenario.stressDuration);
        const double possible = std::min(capacity(m_scenario.deepSlowdown), m_scenario.stressLoad * capacity(1)) * seconds;
        result.goodputShare = done / possible;
        result.worthShare = doneWorth / bestWorth(possible);
    }

    //! The highest total worth of `possible` root requests chosen from those that arrive during the stress phase.
    double bestWorth(double possible) const
    {
        const double arriving = m_scenario.stressLoad * capacity(1) * toSeconds(m_scenario.stressDuration);
        std::vector<RootRequestClass> classes = m_scenario.requestClasses;
        std::sort(classes.begin(), classes.end(), [](const auto &a, const auto &b) { return a.worth > b.worth; });
        double worth = 0;
        for (const RootRequestClass &requestClass : classes) {
            const double taken = std::min(possible, requestClass.share * arriving);
            worth += taken * requestClass.worth;
            possible -= taken;
        }
        return worth;
    }

    void evaluateRoots(ScenarioResult &result) const
    {
        const auto top = std::max_element(m_scenario.requestClasses.begin(),
                                          m_scenario.requestClasses.end(),
                                          [](const auto &a, const auto &b) { return a.worth < b.worth; });
        double topSent = 0;
        double topDone = 0;
        double slotTime = 0;
        double wastedTime = 0;
        for (const auto &root : m_roots) {
            if (m_scenario.requestClasses[root->requestClass].name == top->name) {
                topSent += 1;
                topDone += root->isDoneInTime ? 1 : 0;
            }
            const auto spent = m_services.slotSeconds.find(root->id);
            if (spent != m_services.slotSeconds.end()) {
                slotTime += spent->second;
                wastedTime += root->isDoneInTime ? 0 : spent->second;
            }
        }
        result.topWorthShare = topSent > 0 ? topDone / topSent : 1;
        result.wastedShare = slotTime > 0 ? wastedTime / slotTime : 0;
        for (const auto &[key, count] : m_services.startCounts) {
            result.maximumRuns = std::max(result.maximumRuns, count);
        }
    }

    //! Seconds from the end of the stress phase until the recovery criterion holds; -1 if it never does. Compares fractions
    //! of the arriving root requests, as the number of arrivals in one second alone varies by more than 5 %.
    double recoverySeconds() const
    {
        const auto first = static_cast<std::size_t>(m_scenario.warmUpDuration / intervalLength);
        const auto end = static_cast<std::size_t>((m_scenario.warmUpDuration + m_scenario.stressDuration) / intervalLength);
        const auto last = end + static_cast<std::size_t>(m_scenario.recoveryDuration / intervalLength);
        std::vector<double> sent(last + 1, 0);
        std::vector<double> done(last + 1, 0);
        for (const auto &root : m_roots) {
            const auto interval = std::min(last, static_cast<std::size_t>((root->sent - m_start) / intervalLength));
            sent[interval] += 1;
            done[interval] += root->isDoneInTime ? 1 : 0;
        }
        const auto share = [&](std::size_t begin, std::size_t length) {
            const auto from = static_cast<std::ptrdiff_t>(begin);
            const auto to = static_cast<std::ptrdiff_t>(begin + length);
            return std::accumulate(done.begin() + from, done.begin() + to, 0.0)
                / std::max(1.0, std::accumulate(sent.begin() + from, sent.begin() + to, 0.0));
        };
        const double warmUpShare = share(0, first);
        for (std::size_t begin = end; begin + recoveryIntervals <= last; ++begin) {
            if (share(begin, recoveryIntervals) >= recoveryThreshold * warmUpShare) {
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
    std::vector<std::shared_ptr<RootRequest>> m_roots;
    std::vector<std::pair<TimePoint, std::size_t>> m_completions;
};

} // namespace

ScenarioResult runScenario(const Scenario &scenario, const Variant &variant, std::uint64_t seed)
{
    return ScenarioRun(scenario, variant, seed).run();
}

} // namespace chervilpaddle::bench
