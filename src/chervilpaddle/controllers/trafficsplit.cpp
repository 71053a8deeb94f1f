#include <chervilpaddle/controllers/trafficsplit.h>

#include <algorithm>
#include <numeric>

namespace chervilpaddle {

TrafficSplit::TrafficSplit(double firstTurn)
    : m_firstTurn(firstTurn)
{
}

const RouteTarget &TrafficSplit::next(const Route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front();
    }
    std::vector<double> weights;
    std::transform(
        route.targets.begin(), route.targets.end(), std::back_inserter(weights), [](const auto &target) { return target.weight; });
    Turns &turns = m_turns[route.name];
    if (turns.weights != weights) {
        turns.weights = std::move(weights);
        restart(turns, route);
    }
    for (std::size_t i = 0; i < turns.credits.size(); ++i) {
        turns.credits[i] += turns.weights[i];
    }
    const auto chosen = std::max_element(turns.credits.begin(), turns.credits.end());
    *chosen -= std::accumulate(turns.weights.begin(), turns.weights.end(), 0.0);
    return route.targets[static_cast<std::size_t>(chosen - turns.credits.begin())];
}

void TrafficSplit::restart(Turns &turns, const Route &route) const
{
    turns.credits.assign(route.targets.size(), 0);
    const double total = std::accumulate(turns.weights.begin(), turns.weights.end(), 0.0);
    turns.credits.front() = (m_firstTurn - 0.5) * total;
    turns.credits.back() -= (m_firstTurn - 0.5) * total;
}

} // namespace chervilpaddle
