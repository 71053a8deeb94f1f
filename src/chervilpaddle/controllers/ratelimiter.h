#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <atomic>
#include <map>
#include <memory>

namespace chervilpaddle {

//! Generic cell rate algorithm (ITU-T I.371) in one atomic word. Thread safe, lock free.
class RateLimiter
{
public:
    RateLimiter(double perSecond, double burst);

    //! True where the call is within the rate; a call beyond it changes nothing.
    bool admit(TimePoint now);

private:
    std::int64_t m_interval;
    std::int64_t m_tolerance;
    std::atomic<std::int64_t> m_theoreticalArrival{0};
};

//! This node's share of each customer's rate. Rebuilt when contracts or the list change; reading is thread safe.
class RateTable
{
public:
    RateTable(const ContractBundle &bundle, const InstanceList &list);

    //! Whether a call is within the share. Operations without a rate are beyond it.
    bool admit(const CustomerName &customer, const OperationName &operation, TimePoint now) const;

private:
    std::map<std::pair<CustomerName, OperationName>, std::unique_ptr<RateLimiter>> m_limiters;
};

} // namespace chervilpaddle
