#pragma once

#include <chervilpaddle/base/clock.h>

#include <functional>
#include <queue>
#include <vector>

namespace chervilpaddle::support {

//! A clock for tests that advances only on request, and a queue of timed events.
class VirtualTime
{
public:
    TimePoint now() const;
    Clock clock();
    Scheduler scheduler();

    void at(TimePoint time, std::function<void()> action);
    void after(Duration delay, std::function<void()> action);
    //! Runs all events due up to `end`, ordered by time; events due at the same time run in the order of scheduling.
    void runUntil(TimePoint end);
    void runFor(Duration length);
    //! Advances the clock without running events, as if the process had been suspended.
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
    std::uint64_t m_nextEventNumber = 0;
    std::priority_queue<Event> m_queue;
};

} // namespace chervilpaddle::support
