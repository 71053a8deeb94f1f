#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <cstddef>
#include <unordered_map>

namespace chervilpaddle {

//! Finds the part of its slots at which a backend server gets most done. Answers the load of a full backend server that
//! runs all of its calls more slowly when it is nearly full, so that its last slots cost more than they bring. While calls
//! wait all the time, another level is visited shortly now and then; what gets done there is compared with what got done
//! just before and just after. Not thread safe.
class OccupancyTuner
{
public:
    explicit OccupancyTuner(TimePoint now);

    //! The part of the slots to be used now, in (0, 1].
    double share() const;
    //! Takes a call that was served.
    void record(const OperationName &operation, Duration serviceTime);
    //! Moves between levels; call every few dozen milliseconds. `isFull`: calls wait for a slot.
    void update(bool isFull, TimePoint now);

private:
    //! Each but the first begins with a pause in which the calls of the level before end.
    enum class Phase {
        //! Measures the level in use.
        Before,
        //! Measures the visited level.
        Visit,
        //! Measures the level in use once more: what changed with it was not the visit's doing.
        After,
    };

    void enter(Phase phase, std::size_t level, TimePoint now);
    void endPhase(TimePoint now);
    void decide(double workAfter, TimePoint now);
    std::size_t nextToVisit();
    double workPerSecond(TimePoint now) const;

    //! What calls take, in seconds: the weight of each in what gets done.
    std::unordered_map<OperationName, double> m_usualSeconds;
    double m_meanSeconds = 0;
    //! The level in use between visits, and the one in use now.
    std::size_t m_chosen;
    std::size_t m_current;
    std::size_t m_visited;
    std::size_t m_visits = 0;
    Phase m_phase = Phase::Before;
    bool m_isSettling = false;
    TimePoint m_phaseBegan;
    TimePoint m_nextVisit;
    //! Done since the phase began, in usual seconds.
    double m_work = 0;
    double m_workBefore = 0;
    double m_workVisited = 0;
};

} // namespace chervilpaddle
