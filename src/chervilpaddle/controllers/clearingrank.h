#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/peer/messages.h>

#include <deque>
#include <map>

namespace chervilpaddle {

//! The share of each priority class that is admitted even under the strongest overload, so that no class starves and
//! the costs of its requests stay known.
constexpr double minAdmittedShare = 0.1;

//! The share of a priority's requests that a clearing rank admits, in [minAdmittedShare, 1].
double admittedShare(Rank clearingRank, int priority);

//! Computes the rank up to which entry nodes must refuse requests so that the calls that reach this backend server fit
//! its slots. Meant for a service deep in the call tree that receives more calls than it can run. Estimates the demand
//! in slots, by priority, as if nothing were refused, and matches it against the slots as a market-clearing price does:
//! the lowest priorities are refused first. A standing queue reduces the demand that is admitted, so that it drains
//! within half a second. Not thread-safe.
class ClearingRank
{
public:
    struct Window
    {
        //! Expected slot time of the calls that arrived, by priority, in seconds.
        std::map<int, double> arrived;
        //! Expected slot time of the queued calls, in seconds.
        double waiting = 0;
        int slots = 1;
        Duration length{};
        //! The rank that the entry nodes apply now, which is that of all instances of the service.
        Rank effective = 0;
    };

    //! Takes the measurements of the window since the previous call.
    void update(const Window &window);
    //! The whole part is the priority class that is refused in part; the fraction is how much of its refusable share is
    //! refused. Of lower classes only minAdmittedShare is admitted. Zero if nothing has to be refused.
    Rank rank() const;

private:
    double meanAdmittedShare(int priority) const;

    //! Slots that a priority's calls would occupy if none were refused.
    std::map<int, double> m_offered;
    //! The effective ranks of the last windows, under which the calls that arrive now were admitted.
    std::deque<Rank> m_recentRanks;
    Rank m_rank = 0;
};

} // namespace chervilpaddle
