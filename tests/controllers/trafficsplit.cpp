#include <chervilpaddle/controllers/trafficsplit.h>

#include <cmath>
#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

Route splitRoute(const std::vector<double> &weights)
{
    Route route;
    route.name = RouteName("r");
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const std::string service = "s" + std::to_string(i);
        route.targets.push_back({ServiceName(service), weights[i], OperationName(service + ".r")});
    }
    return route;
}

} // namespace

Test(trafficsplit, each_target_is_within_two_requests_of_its_share)
{
    for (const std::vector<double> &weights : {std::vector<double>{90, 10}, {50, 50}, {1, 2, 7}, {3, 0}}) {
        const Route route = splitRoute(weights);
        double total = 0;
        for (const double weight : weights) {
            total += weight;
        }
        TrafficSplit split(0.7);
        std::map<ServiceName, int> counts;
        for (int requests = 1; requests <= 1000; ++requests) {
            ++counts[split.next(route).service];
            for (const RouteTarget &target : route.targets) {
                const double expected = requests * target.weight / total;
                cr_assert_lt(std::abs(counts[target.service] - expected), 2.01, "%s after %d", target.service.value().c_str(), requests);
            }
        }
    }
}

Test(trafficsplit, new_weights_take_effect_at_once)
{
    TrafficSplit split(0.2);
    for (int i = 0; i < 7; ++i) {
        split.next(splitRoute({90, 10}));
    }
    int second = 0;
    for (int i = 0; i < 100; ++i) {
        second += split.next(splitRoute({0, 100})).service == ServiceName("s1") ? 1 : 0;
    }
    cr_assert_geq(second, 99);
}
