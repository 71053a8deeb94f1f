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

Test(trafficsplit, each_part_is_within_a_request_or_two_of_its_weight)
{
    for (const std::vector<double> &weights : {std::vector<double>{90, 10}, {50, 50}, {1, 2, 7}, {3, 0}}) {
        const Route route = splitRoute(weights);
        double total = 0;
        for (const double weight : weights) {
            total += weight;
        }
        TrafficSplit split(0.7);
        std::map<ServiceName, int> counts;
        for (int asked = 1; asked <= 1000; ++asked) {
            ++counts[split.next(route).service];
            for (const RouteTarget &target : route.targets) {
                const double wanted = asked * target.weight / total;
                cr_assert_lt(std::abs(counts[target.service] - wanted), 2.01, "%s after %d", target.service.value().c_str(), asked);
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
