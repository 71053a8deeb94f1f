#pragma once

#include <chervilpaddle/contract/routetable.h>

#include <map>
#include <vector>

namespace chervilpaddle {

//! Distributes the requests of a route over its targets in proportion to their weights (smooth weighted round robin). After
//! any number of requests the count of each target is at most about two requests off its exact share. Not thread-safe.
class TrafficSplit
{
public:
    //! `initialPhase` in [0, 1) shifts the start of the sequence, so that the nodes do not all start with the same target.
    explicit TrafficSplit(double initialPhase);

    //! Returns the target of the next request. Precondition: the route has a target.
    const RouteTarget &next(const Route &route);

private:
    struct RoundRobinState
    {
        std::vector<double> weights;
        std::vector<double> currentWeights;
    };

    void reset(RoundRobinState &state, const Route &route) const;

    double m_initialPhase;
    std::map<RouteName, RoundRobinState> m_states;
};

} // namespace chervilpaddle
