#pragma once

#include <chervilpaddle/base/clock.h>

#include <functional>
#include <queue>
#include <vector>

namespace chervilpaddle::support {

//! A clock that moves only when asked to, and the events that are due on the way.
class VirtualTime
{
public:
    TimePoint now() const;
    Clock clock();
    Scheduler scheduler();

    void at(TimePoint time, std::function<void()> action);
    void after(Duration delay, std::function<void()> action);
    //! Runs all events that are due until then, in order of time and of their making.
    void runUntil(TimePoint end);
    void runFor(Duration length);
    //! Moves the clock without running anything, as for a process that is paused.
    void skip(Duration length);

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const Event &a, const Event &b)
        {
            return a.time == b.time ? a.number > b.number : a.time > b.time;
        }
    };

    TimePoint m_now{std::chrono::seconds(1000)};
    std::uint64_t m_events = 0;
    std::priority_queue<Event> m_queue;
};

} // namespace chervilpaddle::support
