#include <chervilpaddle/controllers/retrybudget.h>

#include <chervilpaddle/base/random.h>

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace chervilpaddle;

//! Many nodes that all want to repeat everything: in every window the sum keeps to the ratio and the slack.
Test(retrybudget, the_sum_over_all_nodes_holds_in_every_window)
{
    const ServiceName service("s");
    const RetryBudget::Options options{0.2, 50, std::chrono::seconds(10)};
    TimePoint now;
    std::vector<RetryBudget> nodes;
    for (int i = 0; i < 16; ++i) {
        nodes.emplace_back(options, [&now] { return now; });
        nodes.back().setNodeCount(16);
    }
    RandomSource random(5);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    for (int i = 0; i < 60'000; ++i) {
        now += std::chrono::milliseconds(1);
        // A rush in the middle, almost silence before and after.
        const bool rush = i > 20'000 && i < 40'000;
        if (uniformFraction(random) < (rush ? 0.5 : 0.01)) {
            RetryBudget &node = nodes[uniformIndex(random, nodes.size())];
            node.recordRequest(service);
            requests.push_back(now);
            if (node.spend(service, 1)) {
                repeats.push_back(now);
            }
        }
        for (auto *times : {&requests, &repeats}) {
            while (!times->empty() && now - times->front() > options.window) {
                times->pop_front();
            }
        }
        cr_assert_leq(static_cast<double>(repeats.size()), options.ratio * static_cast<double>(requests.size()) + options.slack);
    }
}

Test(retrybudget, services_have_budgets_of_their_own)
{
    TimePoint now;
    RetryBudget budget({0.2, 10, std::chrono::seconds(10)}, [&now] { return now; });
    while (budget.spend(ServiceName("a"), 1)) { }
    cr_assert(budget.spend(ServiceName("b"), 1));
    now += std::chrono::seconds(11);
    cr_assert(budget.spend(ServiceName("a"), 1));
}

//! A repeated run makes its calls once more: they use up the budget of the service that they go to.
Test(retrybudget, calls_of_repeated_runs_count)
{
    const ServiceName service("a");
    TimePoint now;
    RetryBudget budget({0.2, 10, std::chrono::seconds(10)}, [&now] { return now; });
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest(service);
    }
    for (int i = 0; i < 30; ++i) {
        budget.recordInheritedRetry(service);
    }
    cr_assert(!budget.spend(service, 1));
}

//! Backend servers lose a third of all calls, as many as five times the budget: what is most urgent is rescued first.
Test(retrybudget, the_most_urgent_finds_something_left)
{
    const ServiceName service("a");
    TimePoint now;
    RetryBudget budget({0.2, 0, std::chrono::seconds(10)}, [&now] { return now; });
    RandomSource random(2);
    constexpr int lesser = 8;
    constexpr int urgent = 10;
    int lost[2] = {};
    int rescued[2] = {};
    for (int i = 0; i < 20'000; ++i) {
        now += std::chrono::milliseconds(2);
        const int isUrgent = uniformFraction(random) < 0.15 ? 1 : 0;
        const int urgency = isUrgent != 0 ? urgent : lesser;
        budget.recordRequest(service);
        if (uniformFraction(random) < 0.33) {
            ++lost[isUrgent];
            rescued[isUrgent] += budget.spend(service, urgency) ? 1 : 0;
        }
    }
    cr_expect_gt(rescued[1], 0.95 * lost[1], "%d of %d urgent ones", rescued[1], lost[1]);
    cr_expect_gt(rescued[0], 0.2 * lost[0], "%d of %d others", rescued[0], lost[0]);
}
