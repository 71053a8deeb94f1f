#pragma once

#include <chervilpaddle/contract/routetable.h>

#include <map>
#include <vector>

namespace chervilpaddle {

//! Divides the requests of a route among its targets exactly in proportion to their weights (smooth weighted round
//! robin): after any number of requests each target is less than one request off its part. Not thread safe.
class TrafficSplit
{
public:
    //! `firstTurn` in [0, 1) shifts the start, so that many nodes do not all begin with the same target.
    explicit TrafficSplit(double firstTurn);

    //! The target of the next request. Precondition: the route has a target.
    const RouteTarget &next(const Route &route);

private:
    struct Turns
    {
        std::vector<double> weights;
        std::vector<double> credits;
    };

    void restart(Turns &turns, const Route &route) const;

    double m_firstTurn;
    std::map<RouteName, Turns> m_turns;
};

} // namespace chervilpaddle
