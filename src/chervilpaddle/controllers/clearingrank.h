#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/peer/messages.h>

#include <deque>
#include <map>

namespace chervilpaddle {

//! The part of a class that is let through however scarce the room is, so that no class is starved and its costs
//! stay known.
constexpr double leastAdmittedShare = 0.1;

//! The part of the requests of a worth that is admitted under a clearing rank, in [leastAdmittedShare, 1].
double admittedShare(Rank clearing, int worth);

//! Tells which requests must be refused at the entries so that the calls that reach this backend server fit its slots.
//! Answers the load of a service deep in the call tree that gets more calls than it can run: it estimates what would
//! arrive if nothing were refused, in slots and by worth, and clears it against the slots, the least worth first. The
//! queue that stands is to be worked off within half a second. Not thread safe.
class ClearingRank
{
public:
    struct Window
    {
        //! Slot time that the calls which arrived will hold, by worth, in seconds.
        std::map<int, double> arrived;
        //! Slot time that waiting calls will hold, in seconds.
        double waiting = 0;
        int slots = 1;
        Duration length{};
        //! The rank by which the entries decide now: that of all instances of the service.
        Rank inForce = 0;
    };

    //! Takes what was seen since the last call.
    void update(const Window &window);
    //! The whole part is the worth of the class that is refused in part, the fraction how far it is; all of less worth
    //! are refused as far as they may be. Zero where everything fits.
    Rank rank() const;

private:
    double shareWhileDecided(int worth) const;

    //! Slots that calls of a worth would hold if none were refused.
    std::map<int, double> m_offered;
    //! The ranks in force in the last windows: what arrives now was admitted under them.
    std::deque<Rank> m_recent;
    Rank m_rank = 0;
};

} // namespace chervilpaddle
