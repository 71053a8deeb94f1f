#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! Estimates the response time of each instance per operation and its failure rate, from the responses that this node has
//! received. Lets calls avoid instances that are slower than others, degrade, start cold or fail part of their calls while
//! they report themselves healthy. Not thread-safe.
class LatencyEstimator
{
public:
    //! Records the time from sending a call to its response. It includes queueing, execution and nested calls.
    void recordResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now);
    //! Records that a call had no successful response after this time. Ignored if not longer than the current estimate.
    void recordMinimumResponseTime(const InstanceId &instance, const OperationName &operation, Duration elapsed, TimePoint now);
    //! Records whether a call that may have reached the backend server failed.
    void recordOutcome(const InstanceId &instance, bool hasFailed, TimePoint now);
    //! Drops all data of an instance, for instance after a restart.
    void forget(const InstanceId &instance);

    //! The estimated response time in seconds; nothing if there is no estimate.
    std::optional<double> responseSeconds(const InstanceId &instance, const OperationName &operation) const;
    //! When the estimate was last updated; nothing if there is no estimate.
    std::optional<TimePoint> lastUpdated(const InstanceId &instance, const OperationName &operation) const;
    //! The share of calls that fail, in [0, 1]. Decays while the instance receives no calls.
    double failureRate(const InstanceId &instance, TimePoint now) const;

private:
    struct Estimate
    {
        double seconds = 0;
        TimePoint updated;
    };
    struct FailureRate
    {
        double value = 0;
        TimePoint updated;
    };

    const Estimate *find(const InstanceId &instance, const OperationName &operation) const;

    std::unordered_map<OperationName, std::unordered_map<InstanceId, Estimate>> m_estimates;
    std::unordered_map<InstanceId, FailureRate> m_failureRates;
};

} // namespace chervilpaddle
