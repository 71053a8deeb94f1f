#include <chervilpaddle/controllers/pricecontroller.h>

#include <algorithm>
#include <cmath>

namespace chervilpaddle {

namespace {

constexpr int binsPerRank = 32;
constexpr double demandSmoothing = 0.1;
//! Demand below the price cannot be measured, as callers hold it back; the remembered demand decays slowly.
constexpr double hiddenDemandDecay = 0.98;
constexpr double negligibleDemand = 0.01;
constexpr double capacitySmoothing = 0.2;
constexpr double minAdmitFactor = 0.7;
constexpr double maxAdmitFactor = 4;
constexpr double admitDecrease = 0.96;
constexpr double admitIncrease = 1.02;
constexpr double idleIncrease = 1.25;

int binOf(Rank rank)
{
    return static_cast<int>(std::floor(rank * binsPerRank));
}

} // namespace

void PriceController::recordArrival(Rank rank)
{
    ++m_arrivals[binOf(rank)];
}

void PriceController::endWindow(const LoadWindow &window)
{
    ageDemand();
    const bool standingQueue = window.minWait > window.waitTarget;
    if (!window.slotsWereIdle || window.completions > m_capacity) {
        m_capacity += capacitySmoothing * (window.completions - m_capacity);
    }
    if (standingQueue) {
        m_admitFactor = std::max(minAdmitFactor, std::min(1.0, m_admitFactor) * admitDecrease);
    } else {
        m_admitFactor = std::min(maxAdmitFactor, m_admitFactor * (window.slotsWereIdle ? idleIncrease : admitIncrease));
    }
    if (m_price == 0 && !standingQueue) {
        return;
    }
    m_price = clearingPrice(m_capacity * m_admitFactor);
}

Rank PriceController::price() const
{
    return m_price;
}

void PriceController::ageDemand()
{
    const int priceBin = binOf(m_price);
    for (auto bin = m_demand.begin(); bin != m_demand.end();) {
        const bool isHidden = bin->first < priceBin;
        bin->second *= isHidden ? hiddenDemandDecay : 1 - demandSmoothing;
        bin = bin->second < negligibleDemand ? m_demand.erase(bin) : std::next(bin);
    }
    for (const auto &[bin, count] : m_arrivals) {
        m_demand[bin] += demandSmoothing * count;
    }
    m_arrivals.clear();
}

Rank PriceController::clearingPrice(double admitted) const
{
    double demand = 0;
    for (auto bin = m_demand.rbegin(); bin != m_demand.rend(); ++bin) {
        demand += bin->second;
        if (demand > admitted) {
            const double admittedShare = 1 - (demand - admitted) / bin->second;
            return (bin->first + 1 - std::clamp(admittedShare, 0.0, 1.0)) / binsPerRank;
        }
    }
    return 0;
}

} // namespace chervilpaddle
