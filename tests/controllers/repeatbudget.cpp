#include <chervilpaddle/controllers/repeatbudget.h>

#include <chervilpaddle/base/random.h>

#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace chervilpaddle;

//! Many nodes that all want to repeat everything: in every window the sum keeps to the ratio and the slack.
Test(repeatbudget, the_sum_over_all_nodes_holds_in_every_window)
{
    const ServiceName service("s");
    const RepeatBudget::Options options{0.2, 50, std::chrono::seconds(10)};
    TimePoint now;
    std::vector<RepeatBudget> nodes;
    for (int i = 0; i < 16; ++i) {
        nodes.emplace_back(options, [&now] { return now; });
        nodes.back().setNodes(16);
    }
    RandomSource random(5);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    for (int i = 0; i < 60'000; ++i) {
        now += std::chrono::milliseconds(1);
        // A rush in the middle, almost silence before and after.
        const bool rush = i > 20'000 && i < 40'000;
        if (uniformFraction(random) < (rush ? 0.5 : 0.01)) {
            RepeatBudget &node = nodes[uniformIndex(random, nodes.size())];
            node.recordRequest(service);
            requests.push_back(now);
            if (node.spend(service)) {
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

Test(repeatbudget, services_have_budgets_of_their_own)
{
    TimePoint now;
    RepeatBudget budget({0.2, 10, std::chrono::seconds(10)}, [&now] { return now; });
    while (budget.spend(ServiceName("a"))) { }
    cr_assert(budget.spend(ServiceName("b")));
    now += std::chrono::seconds(11);
    cr_assert(budget.spend(ServiceName("a")));
}
