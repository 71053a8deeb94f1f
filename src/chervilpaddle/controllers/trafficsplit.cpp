#include <chervilpaddle/controllers/trafficsplit.h>

#include <algorithm>
#include <numeric>

namespace chervilpaddle {

TrafficSplit::TrafficSplit(double initialPhase)
    : m_initialPhase(initialPhase)
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
    RoundRobinState &state = m_states[route.name];
    if (state.weights != weights) {
        state.weights = std::move(weights);
        reset(state, route);
    }
    for (std::size_t i = 0; i < state.currentWeights.size(); ++i) {
        state.currentWeights[i] += state.weights[i];
    }
    const auto chosen = std::max_element(state.currentWeights.begin(), state.currentWeights.end());
    *chosen -= std::accumulate(state.weights.begin(), state.weights.end(), 0.0);
    return route.targets[static_cast<std::size_t>(chosen - state.currentWeights.begin())];
}

void TrafficSplit::reset(RoundRobinState &state, const Route &route) const
{
    state.currentWeights.assign(route.targets.size(), 0);
    const double total = std::accumulate(state.weights.begin(), state.weights.end(), 0.0);
    state.currentWeights.front() = (m_initialPhase - 0.5) * total;
    state.currentWeights.back() -= (m_initialPhase - 0.5) * total;
}

} // namespace chervilpaddle
