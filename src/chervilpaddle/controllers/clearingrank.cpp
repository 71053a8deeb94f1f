#include <chervilpaddle/controllers/clearingrank.h>

#include <algorithm>
#include <cmath>

namespace chervilpaddle {

namespace {

//! Target share of the slots in use; the remainder absorbs the variation of arrivals.
constexpr double targetOccupancy = 0.95;
//! Lower bound of the target while a standing queue drains.
constexpr double minTargetOccupancy = 0.7;
//! Time in which a standing queue should drain, about as long as callers of inner calls can wait.
constexpr double queueDrainSeconds = 0.5;
constexpr double smoothing = 0.15;
//! Priority classes with less offered load than this, in slots, are ignored.
constexpr double negligibleLoad = 0.01;
//! 600 ms in windows of 50 ms: the calls of a request arrive for about half a second after it was admitted.
constexpr std::size_t rememberedWindows = 12;

} // namespace

double admittedShare(Rank clearingRank, int priority)
{
    const double refusedPart = std::clamp(clearingRank - priority, 0.0, 1.0);
    return 1 - refusedPart * (1 - minAdmittedShare);
}

void ClearingRank::update(const Window &window)
{
    m_recentRanks.push_back(window.effective);
    if (m_recentRanks.size() > rememberedWindows) {
        m_recentRanks.pop_front();
    }
    const double seconds = toSeconds(window.length);
    for (const auto &[priority, held] : window.arrived) {
        m_offered.try_emplace(priority, 0);
    }
    double total = 0;
    for (auto &[priority, offered] : m_offered) {
        const auto arrived = window.arrived.find(priority);
        const double held = arrived == window.arrived.end() ? 0 : arrived->second / seconds;
        offered += smoothing * (held / meanAdmittedShare(priority) - offered);
        total += offered;
    }
    const double queueSlots = window.waiting / queueDrainSeconds;
    const double targetSlots = std::max(minTargetOccupancy * window.slots, targetOccupancy * window.slots - queueSlots);
    double excess = total - targetSlots;
    m_rank = 0;
    for (const auto &[priority, offered] : m_offered) {
        const double refusable = offered * (1 - minAdmittedShare);
        if (excess <= 0) {
            break;
        }
        if (refusable < negligibleLoad) {
            continue;
        }
        m_rank = priority + std::min(1.0, excess / refusable);
        excess -= refusable;
    }
}

Rank ClearingRank::rank() const
{
    return m_rank;
}

//! The mean over the remembered windows, as the calls of one window belong to requests that were admitted in several.
double ClearingRank::meanAdmittedShare(int priority) const
{
    if (m_recentRanks.empty()) {
        return 1;
    }
    double sum = 0;
    for (const Rank rank : m_recentRanks) {
        sum += admittedShare(rank, priority);
    }
    return sum / static_cast<double>(m_recentRanks.size());
}

} // namespace chervilpaddle
