#pragma once

#include <chervilpaddle/peer/messages.h>

#include <map>

namespace chervilpaddle {

//! What one window of an executor's life looked like.
struct LoadWindow
{
    //! The shortest wait that any started call had in the queue (as in CoDel), or how long the head has waited.
    Duration shortestWait{};
    //! The wait that is taken for a standing queue.
    Duration waitTarget{};
    int completions = 0;
    bool slotsWereIdle = false;
};

//! Finds the rank below which an executor would have to shed: the price that clears the demand seen lately
//! against the capacity measured, corrected by the standing queue. Ranks below the price stay in the picture of
//! the demand for a while after callers have stopped sending them, so the price comes down in steps of known size.
//! After DAGOR (Zhou et al., 2018) and Rajomon (Xing et al., 2025). Not thread safe.
class PriceController
{
public:
    //! Counts one arriving call.
    void recordArrival(Rank rank);
    //! Ends a window of kept length and sets the price anew.
    void endWindow(const LoadWindow &window);
    Rank price() const;

private:
    void ageDemand();
    Rank clearingPrice(double admitted) const;

    //! Smoothed arrivals a window, by rank in steps of 1/binsPerRank.
    std::map<int, double> m_demand;
    std::map<int, int> m_arrivals;
    double m_capacity = 0;
    double m_admitFactor = 1;
    Rank m_price = 0;
};

//! How long a window of the price controller lasts.
constexpr Duration priceWindow = std::chrono::milliseconds(50);

} // namespace chervilpaddle
