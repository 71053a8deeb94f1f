#include <chervilpaddle/controllers/queueingdelayestimator.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! Clocks drift: samples older than two windows are discarded.
constexpr Duration baseDelayWindow = std::chrono::seconds(30);
} // namespace

Duration QueueingDelayEstimator::queueingDelay(TimePoint sentAt, TimePoint readAt)
{
    const Duration delay = readAt - sentAt;
    if (readAt - m_windowStart > baseDelayWindow) {
        m_previousBaseDelay = m_baseDelay;
        m_baseDelay = Duration::max();
        m_windowStart = readAt;
    }
    m_baseDelay = std::min(m_baseDelay, delay);
    return delay - std::min(m_baseDelay, m_previousBaseDelay);
}

} // namespace chervilpaddle
