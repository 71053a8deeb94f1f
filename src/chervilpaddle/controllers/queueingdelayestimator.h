#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! Estimates how long a received frame was queued before it was read: its one-way delay less the base delay, the smallest
//! one-way delay of the last one to two windows (as in LEDBAT, RFC 6817). A constant offset between the clocks of the two
//! ends cancels out, so clock synchronisation is not needed. Not thread-safe.
class QueueingDelayEstimator
{
public:
    //! Adds a sample. `sentAt` is by the sender's clock, `readAt` by the receiver's.
    Duration queueingDelay(TimePoint sentAt, TimePoint readAt);

private:
    Duration m_baseDelay = Duration::max();
    Duration m_previousBaseDelay = Duration::max();
    TimePoint m_windowStart;
};

} // namespace chervilpaddle
