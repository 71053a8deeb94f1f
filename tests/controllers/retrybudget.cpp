#include <chervilpaddle/controllers/retrybudget.h>

#include <chervilpaddle/base/random.h>

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace chervilpaddle;

//! All nodes retry as much as they can: the sum of their retries must stay within ratio and slack in every window.
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
    std::deque<TimePoint> retries;
    for (int i = 0; i < 60'000; ++i) {
        now += std::chrono::milliseconds(1);
        // A load peak in the middle, little traffic before and after.
        const bool isPeak = i > 20'000 && i < 40'000;
        if (uniformFraction(random) < (isPeak ? 0.5 : 0.01)) {
            RetryBudget &node = nodes[uniformIndex(random, nodes.size())];
            node.recordRequest(service);
            requests.push_back(now);
            if (node.spend(service, 1)) {
                retries.push_back(now);
            }
        }
        for (auto *times : {&requests, &retries}) {
            while (!times->empty() && now - times->front() > options.window) {
                times->pop_front();
            }
        }
        cr_assert_leq(static_cast<double>(retries.size()), options.ratio * static_cast<double>(requests.size()) + options.slack);
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

//! A retried call makes its nested calls again. These count against the budget of the service that they call.
Test(retrybudget, nested_calls_of_retries_count)
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

//! Backend servers lose a third of all calls, more than the budget covers: the most urgent are retried first.
Test(retrybudget, a_reserve_is_left_for_the_most_urgent_calls)
{
    const ServiceName service("a");
    TimePoint now;
    RetryBudget budget({0.2, 0, std::chrono::seconds(10)}, [&now] { return now; });
    RandomSource random(2);
    constexpr int lowUrgency = 8;
    constexpr int highUrgency = 10;
    int lost[2] = {};
    int retried[2] = {};
    for (int i = 0; i < 20'000; ++i) {
        now += std::chrono::milliseconds(2);
        const int isUrgent = uniformFraction(random) < 0.15 ? 1 : 0;
        const int urgency = isUrgent != 0 ? highUrgency : lowUrgency;
        budget.recordRequest(service);
        if (uniformFraction(random) < 0.33) {
            ++lost[isUrgent];
            retried[isUrgent] += budget.spend(service, urgency) ? 1 : 0;
        }
    }
    cr_expect_gt(retried[1], 0.95 * lost[1], "%d of %d urgent calls", retried[1], lost[1]);
    cr_expect_gt(retried[0], 0.2 * lost[0], "%d of %d other calls", retried[0], lost[0]);
}
