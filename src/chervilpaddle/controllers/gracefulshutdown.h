#pragma once

#include <chervilpaddle/base/clock.h>

#include <optional>

namespace chervilpaddle {

//! Decides which calls a node that is shutting down still admits, and when the process may exit. Callers may go on using open
//! connections during the shutdown, so calls that the exit of the process could interrupt are not admitted. Not thread-safe.
class GracefulShutdown
{
public:
    //! Starts the shutdown. The process exits within `gracePeriod`, less a margin for closing connections.
    //! Precondition: called once.
    void start(TimePoint now, Duration gracePeriod);
    bool hasStarted() const;

    //! Whether a call with this deadline may be started. Always true before the shutdown.
    bool admitsCall(TimePoint now, TimePoint deadline) const;
    //! Whether the process may exit: either callers have had time to stop sending and no call is in flight, or the grace period
    //! is over. Precondition: the shutdown has started.
    bool isComplete(TimePoint now, bool isIdle) const;
    //! The latest time at which the process exits. Precondition: the shutdown has started.
    TimePoint latestExit() const;

private:
    std::optional<TimePoint> m_startedAt;
    TimePoint m_latestExit;
};

} // namespace chervilpaddle
