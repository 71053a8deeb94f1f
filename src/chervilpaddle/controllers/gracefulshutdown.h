#pragma once

#include <chervilpaddle/base/clock.h>

#include <optional>

namespace chervilpaddle {

//! Decides which calls a node that is shutting down still admits, and when the process may exit. Callers may go on using open
//! connections during the shutdown. Each call that is admitted ends, with an answer, before the process begins to close its
//! connections; the others are refused as not run. Not thread-safe.
class GracefulShutdown
{
public:
    //! Who makes a call: a caller, which can come back elsewhere after a refusal, or a run in progress at the backend server beside
    //! this node, which fails with its call.
    enum class CallOrigin { Caller, Run };

    //! Starts the shutdown. The process exits within `gracePeriod`, less a margin.
    //! Precondition: called once.
    void start(TimePoint now, Duration gracePeriod);
    bool hasStarted() const;

    //! Returns the deadline with which a call may be started: its own, or an earlier one if the process could not answer by then.
    //! Nothing is returned if the call must be refused. Before the shutdown, calls keep their deadlines.
    std::optional<TimePoint> admitCall(TimePoint now, TimePoint deadline, CallOrigin origin) const;
    //! Whether the process may begin to close: either callers have had time to stop sending and no call is in flight, or calls in
    //! flight cannot be waited for any longer. Precondition: the shutdown has started.
    bool isComplete(TimePoint now, bool isIdle) const;
    //! Ends admission: what arrives while connections are being closed is refused. Precondition: the shutdown has started.
    void beginClosing();
    //! The latest time at which the process exits. Precondition: the shutdown has started.
    TimePoint latestExit() const;

private:
    std::optional<TimePoint> m_startedAt;
    bool m_isClosing = false;
    TimePoint m_latestDeadline;
    TimePoint m_latestClose;
    TimePoint m_latestExit;
};

} // namespace chervilpaddle
