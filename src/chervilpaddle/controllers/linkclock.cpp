#include <chervilpaddle/controllers/linkclock.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! Clocks drift apart: an offset older than two windows is forgotten.
constexpr Duration offsetWindow = std::chrono::seconds(30);
} // namespace

Duration LinkClock::waitOf(TimePoint sentAt, TimePoint readAt)
{
    const Duration offset = readAt - sentAt;
    if (readAt - m_windowStart > offsetWindow) {
        m_smallestBefore = m_smallestNow;
        m_smallestNow = Duration::max();
        m_windowStart = readAt;
    }
    m_smallestNow = std::min(m_smallestNow, offset);
    return offset - std::min(m_smallestNow, m_smallestBefore);
}

} // namespace chervilpaddle
