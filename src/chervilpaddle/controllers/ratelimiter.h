#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <atomic>
#include <map>
#include <memory>

namespace chervilpaddle {

//! Rate limiter by the generic cell rate algorithm (ITU-T I.371) on one atomic word. Thread-safe and lock-free.
class RateLimiter
{
public:
    RateLimiter(double perSecond, double burst);

    //! Returns whether a call conforms to the rate. A call that does not conform leaves the state unchanged.
    bool admit(TimePoint now);

private:
    std::int64_t m_interval;
    std::int64_t m_tolerance;
    std::atomic<std::int64_t> m_theoreticalArrival{0};
};

//! This node's share of each customer's contracted rates. Built anew when the contracts or the instance list change;
//! admit() is thread-safe.
class RateTable
{
public:
    RateTable(const ContractBundle &bundle, const InstanceList &list);

    //! Returns whether a call is within this node's share. Operations without a contracted rate never are.
    bool admit(const CustomerName &customer, const OperationName &operation, TimePoint now) const;

private:
    std::map<std::pair<CustomerName, OperationName>, std::unique_ptr<RateLimiter>> m_limiters;
};

} // namespace chervilpaddle
