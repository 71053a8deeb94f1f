#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! Forecasts, from the answers that this node has seen, how long an instance takes for an operation and how often it
//! fails. Answers the load of instances that differ in speed, turn slow, start cold, or fail part of their calls while
//! they say that they are well: calls go where they will be answered soonest. Not thread safe.
class LatencyEstimator
{
public:
    //! Takes the time from sending a call to its answer, whatever it held back: queue, run and calls below.
    void recordResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now);
    //! Takes a call that has not been answered after this time: counts only where it is longer than forecast.
    void recordMinimumResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now);
    //! Takes whether a backend server that was reached failed the call.
    void recordOutcome(const InstanceId &instance, bool hasFailed, TimePoint now);
    //! The instance was replaced: what is known of it holds no more.
    void forget(const InstanceId &instance);

    //! Seconds that an answer takes; nothing where none was seen.
    std::optional<double> seconds(const InstanceId &instance, const OperationName &operation) const;
    //! When the forecast was last put to the test; nothing where it never was.
    std::optional<TimePoint> updated(const InstanceId &instance, const OperationName &operation) const;
    //! The part of the calls that fail, in [0, 1]; fades while the instance gets none.
    double failureRate(const InstanceId &instance, TimePoint now) const;

private:
    struct Estimate
    {
        double seconds = 0;
        TimePoint updated;
    };
    struct Failures
    {
        double share = 0;
        TimePoint updated;
    };

    const Estimate *find(const InstanceId &instance, const OperationName &operation) const;

    std::unordered_map<OperationName, std::unordered_map<InstanceId, Estimate>> m_estimates;
    std::unordered_map<InstanceId, Failures> m_failures;
};

} // namespace chervilpaddle
