#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! Tells how long a frame lay unread: the offset between the two ends' clocks is taken from the fastest frame
//! seen lately, and whatever is beyond that is waiting. Needs no clock synchronisation. Not thread safe.
class LinkClock
{
public:
    //! The waiting time of a frame sent at `sentAt` by the sender's clock and read at `readAt` by ours.
    Duration waitOf(TimePoint sentAt, TimePoint readAt);

private:
    Duration m_smallestNow = Duration::max();
    Duration m_smallestBefore = Duration::max();
    TimePoint m_windowStart;
};

} // namespace chervilpaddle
