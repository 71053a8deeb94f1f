#include <chervilpaddle/controllers/clearingrank.h>

#include <algorithm>
#include <cmath>

namespace chervilpaddle {

namespace {

//! Of the slots; the rest takes up the unevenness of arrivals.
constexpr double wantedOccupancy = 0.95;
constexpr double leastWantedOccupancy = 0.7;
//! The time in which a standing queue is to be worked off; callers of inner calls can spare about as much.
constexpr double queueHorizonSeconds = 0.5;
constexpr double smoothing = 0.15;
//! A class of which less than this is offered, in slots, does not count.
constexpr double negligible = 0.01;
//! Windows of 50 ms: a request's calls arrive for some half a second after it was admitted.
constexpr std::size_t windowsRemembered = 12;

} // namespace

double admittedShare(Rank clearing, int worth)
{
    const double part = std::clamp(clearing - worth, 0.0, 1.0);
    return 1 - part * (1 - leastAdmittedShare);
}

void ClearingRank::update(const Window &window)
{
    m_recent.push_back(window.inForce);
    if (m_recent.size() > windowsRemembered) {
        m_recent.pop_front();
    }
    const double seconds = toSeconds(window.length);
    for (const auto &[worth, held] : window.arrived) {
        m_offered.try_emplace(worth, 0);
    }
    double total = 0;
    for (auto &[worth, offered] : m_offered) {
        const auto arrived = window.arrived.find(worth);
        const double held = arrived == window.arrived.end() ? 0 : arrived->second / seconds;
        offered += smoothing * (held / shareWhileDecided(worth) - offered);
        total += offered;
    }
    const double queueSlots = window.waiting / queueHorizonSeconds;
    const double wanted = std::max(leastWantedOccupancy * window.slots, wantedOccupancy * window.slots - queueSlots);
    double excess = total - wanted;
    m_rank = 0;
    for (const auto &[worth, offered] : m_offered) {
        const double refusable = offered * (1 - leastAdmittedShare);
        if (excess <= 0) {
            break;
        }
        if (refusable < negligible) {
            continue;
        }
        m_rank = worth + std::min(1.0, excess / refusable);
        excess -= refusable;
    }
}

Rank ClearingRank::rank() const
{
    return m_rank;
}

//! What arrives in a window was admitted over the last few.
double ClearingRank::shareWhileDecided(int worth) const
{
    if (m_recent.empty()) {
        return 1;
    }
    double sum = 0;
    for (const Rank rank : m_recent) {
        sum += admittedShare(rank, worth);
    }
    return sum / static_cast<double>(m_recent.size());
}

} // namespace chervilpaddle
