#include "virtualtime.h"

#include <algorithm>

namespace chervilpaddle::support {

TimePoint VirtualTime::now() const
{
    return m_now;
}

Clock VirtualTime::clock()
{
    return [this] { return m_now; };
}

Scheduler VirtualTime::scheduler()
{
    return [this](Duration delay, std::function<void()> action) { after(delay, std::move(action)); };
}

void VirtualTime::at(TimePoint time, std::function<void()> action)
{
    m_queue.push({time, m_nextEventNumber++, std::move(action)});
}

void VirtualTime::after(Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

void VirtualTime::runUntil(TimePoint end)
{
    while (!m_queue.empty() && m_queue.top().time <= end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, event.time);
        event.action();
    }
    m_now = std::max(m_now, end);
}

void VirtualTime::runFor(Duration length)
{
    runUntil(m_now + length);
}

void VirtualTime::skip(Duration length)
{
    m_now += length;
}

} // namespace chervilpaddle::support
