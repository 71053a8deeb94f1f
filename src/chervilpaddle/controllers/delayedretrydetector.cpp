#include <chervilpaddle/controllers/delayedretrydetector.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

namespace {

//! Transit time by which the caller time-out of a first attempt may fall short of the longest one of its route.
constexpr Duration tolerance = std::chrono::milliseconds(60);
constexpr Duration window = std::chrono::seconds(30);
//! Bounds the memory: thousands of routes, replaced over time, would add up.
constexpr std::size_t maxRoutes = 4096;

} // namespace

bool DelayedRetryDetector::isDelayedRetry(const RouteName &route, Duration callerTimeout, TimePoint now)
{
    if (m_routes.size() > maxRoutes) {
        m_routes.clear();
    }
    LongestTimeouts &longest = m_routes[route];
    if (now - longest.windowStart >= window) {
        longest.previous = std::exchange(longest.current, Duration::zero());
        longest.windowStart = now;
    }
    longest.current = std::max(longest.current, callerTimeout);
    return callerTimeout < std::max(longest.current, longest.previous) - tolerance;
}

} // namespace chervilpaddle
