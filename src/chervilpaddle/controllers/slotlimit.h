#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! How many calls may be at the backend server at once: its slots, fewer for a while after a cold start.
//! Not thread safe.
class SlotLimit
{
public:
    explicit SlotLimit(int slots);

    int limit() const;
    int slots() const;
    void setSlots(int slots);
    //! The backend server has just started, or failed to take connections: begin with few slots.
    void enterSlowStart();
    //! Calls of a node that was here before may still hold slots: begin with half of them.
    void assumeOrphanedRuns();
    //! One call was answered; while cold, each opens room for another, which doubles the limit every round.
    void recordSuccess();
    //! The backend server refused a call though the limit allowed it. Counts once a round of as many calls as the limit
    //! has slots: a backend server that refuses at random, however empty it is, is not closed for it.
    void recordRefusal();

private:
    void endRoundIfDue();

    int m_slots;
    double m_limit;
    int m_refusalsInRound = 0;
    int m_answersInRound = 0;
};

} // namespace chervilpaddle
