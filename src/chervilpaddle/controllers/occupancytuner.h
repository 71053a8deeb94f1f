#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <cstddef>
#include <unordered_map>

namespace chervilpaddle {

//! Finds the share of a backend server's slots at which its throughput is highest. Meant for a backend server whose
//! calls all slow down when it is nearly full, so that using the last slots lowers the throughput. While calls are
//! queued all the time, it probes another level for a short time at intervals and compares the throughput there with
//! that just before and just after the probe. Not thread-safe.
class OccupancyTuner
{
public:
    explicit OccupancyTuner(TimePoint now);

    //! The share of the slots to use now, in (0, 1].
    double share() const;
    //! Records a completed call.
    void record(const OperationName &operation, Duration serviceTime);
    //! Advances measurements and probes. To be called every few tens of milliseconds. `isFull`: calls wait for a slot.
    void update(bool isFull, TimePoint now);

private:
    //! Where the level changes, a phase begins with a pause in which calls started at the previous level complete.
    enum class Phase {
        //! Measures the chosen level.
        Baseline,
        //! Measures the probed level.
        Probe,
        //! Measures the chosen level again, to tell the effect of the probe from a change of the load.
        Recheck,
    };

    void enter(Phase phase, std::size_t level, TimePoint now);
    void endPhase(TimePoint now);
    void decide(double recheckThroughput, TimePoint now);
    std::size_t nextToProbe();
    double workPerSecond(TimePoint now) const;

    //! Mean service time of each operation in seconds: the weight of its calls in the throughput.
    std::unordered_map<OperationName, double> m_meanSecondsOf;
    double m_meanSeconds = 0;
    //! The level chosen so far, and the one in use now.
    std::size_t m_chosen;
    std::size_t m_current;
    std::size_t m_probed;
    std::size_t m_probes = 0;
    Phase m_phase = Phase::Baseline;
    bool m_isSettling = false;
    TimePoint m_phaseBegan;
    TimePoint m_nextProbe;
    //! Work completed since the phase began: the sum of its calls' mean service times, in seconds.
    double m_work = 0;
    double m_baselineThroughput = 0;
    double m_probeThroughput = 0;
};

} // namespace chervilpaddle
