#pragma once

#include <chervilpaddle/base/clock.h>

#include <optional>

namespace chervilpaddle {

//! Decides what a node that was asked to stop still takes, and when it ends. Answers the load of callers that go on using
//! open connections to a node that is stopping: nothing may be begun that would be cut off by the end of the process.
//! Not thread safe.
class GracefulShutdown
{
public:
    //! Starts the stop; the process ends at the latest `grace` later, less a margin for closing what is open.
    //! Precondition: called once.
    void start(TimePoint now, Duration grace);
    bool hasStarted() const;

    //! Whether a call with this deadline may be begun. Always true before the stop.
    bool admitsCall(TimePoint now, TimePoint deadline) const;
    //! Whether the process may end: callers have had time to leave and nothing is in flight, or the grace is over.
    //! Precondition: the stop has begun.
    bool isComplete(TimePoint now, bool isIdle) const;
    //! The last moment at which the process ends. Precondition: the stop has begun.
    TimePoint latestExit() const;

private:
    std::optional<TimePoint> m_startedAt;
    TimePoint m_latestExit;
};

} // namespace chervilpaddle
