#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! Measured service times of one backend server, by operation: smoothed mean and mean deviation, as TCP's
//! round-trip estimator does (RFC 6298). Estimates age out, so that an old slow spell cannot keep work away.
//! Not thread safe.
class ServiceTimes
{
public:
    void record(const OperationName &operation, Duration serviceTime, TimePoint now);

    //! The time that a call of the operation surely takes: mean less deviation; zero where nothing fresh is known.
    Duration leastExpected(const OperationName &operation, TimePoint now) const;

    //! The mean of an operation, however old; nothing where it has not run.
    std::optional<Duration> expected(const OperationName &operation) const;
    //! Mean over all operations, weighted by how often each ran lately; zero where nothing is known.
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
