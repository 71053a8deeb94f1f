#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! Service times of one backend server by operation: smoothed mean and mean deviation, as in TCP's round-trip time
//! estimator (RFC 6298). The lower bound expires, so that an outdated estimate from a slow period does not cause calls
//! to be refused. Not thread-safe.
class ServiceTimes
{
public:
    void record(const OperationName &operation, Duration serviceTime, TimePoint now);

    //! A lower bound of the operation's service time: mean minus deviation. Zero if there is no recent measurement.
    Duration lowerBound(const OperationName &operation, TimePoint now) const;

    //! The operation's mean service time, regardless of its age, or nothing if it has never run.
    std::optional<Duration> expected(const OperationName &operation) const;
    //! The smoothed mean over all calls, whatever their operation; zero without measurements.
    Duration mean() const;

private:
    struct Estimate
    {
        double mean = 0;
        double deviation = 0;
        TimePoint updated;
    };

    std::unordered_map<OperationName, Estimate> m_estimates;
    double m_overallMean = 0;
};

} // namespace chervilpaddle
