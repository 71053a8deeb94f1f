#pragma once

#include <chrono>
#include <functional>

namespace chervilpaddle {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

//! Returns the current time. Injected everywhere, so that tests can run in virtual time.
using Clock = std::function<TimePoint()>;
//! Runs a function once, after a delay, on the thread that owns the caller.
using Scheduler = std::function<void(Duration, std::function<void()>)>;

//! Returns the monotonic system clock. Thread-safe.
Clock steadyClock();

//! Converts a duration to seconds, for rates and metrics.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

//! Converts a duration to milliseconds, for reports and logs.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

//! Converts seconds to a duration; fractions of a microsecond are truncated.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace chervilpaddle
