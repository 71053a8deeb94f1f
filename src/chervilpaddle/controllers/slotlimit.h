#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! Limits how many calls run at the backend server at once: its number of slots, and fewer during slow start.
//! Not thread-safe.
class SlotLimit
{
public:
    explicit SlotLimit(int slots);

    int limit() const;
    int slots() const;
    void setSlots(int slots);
    //! To be called when the backend server has started or has failed to accept a connection: lowers the limit to a
    //! small share of the slots.
    void enterSlowStart();
    //! Lowers the limit to half of the slots, as runs of a previous node process may still occupy the others.
    void assumeOrphanedRuns();
    //! Records an answered call. Below the number of slots, every answer raises the limit by one call, which doubles it in
    //! each round.
    void recordSuccess();
    //! Records a call that the backend server refused although the limit admitted it. Only the first refusal in a round of
    //! as many calls as the limit lowers it, so that a backend server that refuses at random, whatever its load, keeps
    //! most of its limit.
    void recordRefusal();

private:
    void endRoundIfDue();

    int m_slots;
    double m_limit;
    int m_refusalsInRound = 0;
    int m_answersInRound = 0;
};

} // namespace chervilpaddle
