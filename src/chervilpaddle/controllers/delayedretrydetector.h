#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/contract/routetable.h>

#include <unordered_map>

namespace chervilpaddle {

//! Recognises the requests of callers that were refused before and told to retry: they have less time left than first attempts on
//! their route. How long first attempts have is learned from the requests of the last one to two windows. Not thread-safe.
class DelayedRetryDetector
{
public:
    //! Records the caller time-out of a request, and returns whether the request is a retry.
    bool isDelayedRetry(const RouteName &route, Duration callerTimeout, TimePoint now);

private:
    struct LongestTimeouts
    {
        Duration current{};
        Duration previous{};
        TimePoint windowStart;
    };

    std::unordered_map<RouteName, LongestTimeouts> m_routes;
};

} // namespace chervilpaddle
