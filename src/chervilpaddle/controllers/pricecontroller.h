#pragma once

#include <chervilpaddle/peer/messages.h>

#include <map>

namespace chervilpaddle {

//! Measurements of an executor over one window.
struct LoadWindow
{
    //! The minimum queueing delay in the window, as in CoDel: the time in which the shortest queue would drain.
    Duration minWait{};
    //! A minimum queueing delay above this counts as a standing queue.
    Duration waitTarget{};
    int completions = 0;
    bool slotsWereIdle = false;
};

//! Computes an executor's price. A price is an admission threshold: the lowest rank that is admitted. It is the rank at
//! which recent demand matches the measured capacity, corrected for a standing queue; calls below it would have to be
//! shed. Demand below the price is no longer seen, as callers stop sending it, but is remembered for a while, so that the
//! price falls in steps of predictable size. After DAGOR (Zhou et al., 2018) and Rajomon (Xing et al., 2025). Not
//! thread-safe.
class PriceController
{
public:
    void recordArrival(Rank rank);
    //! Ends a window of length priceWindow and updates the price.
    void endWindow(const LoadWindow &window);
    Rank price() const;

private:
    void ageDemand();
    Rank clearingPrice(double admitted) const;

    //! Smoothed arrivals per window, by rank in steps of 1/binsPerRank.
    std::map<int, double> m_demand;
    std::map<int, int> m_arrivals;
    double m_capacity = 0;
    double m_admitFactor = 1;
    Rank m_price = 0;
};

//! Length of the price controller's windows.
constexpr Duration priceWindow = std::chrono::milliseconds(50);

} // namespace chervilpaddle
