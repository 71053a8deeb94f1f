#include <chervilpaddle/controllers/ratelimiter.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
constexpr double nanosecondsPerSecond = 1e9;
constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
} // namespace

RateLimiter::RateLimiter(double perSecond, double burst)
    : m_interval(static_cast<std::int64_t>(nanosecondsPerSecond / perSecond))
    , m_tolerance(static_cast<std::int64_t>(std::max(0.0, burst - 1) * static_cast<double>(m_interval)))
{
}

bool RateLimiter::admit(TimePoint now)
{
    const std::int64_t time = now.time_since_epoch().count() * nanosecondsPerMicrosecond;
    std::int64_t arrival = m_theoreticalArrival.load(std::memory_order_relaxed);
    while (true) {
        if (arrival - time > m_tolerance) {
            return false;
        }
        const std::int64_t next = std::max(arrival, time) + m_interval;
        if (m_theoreticalArrival.compare_exchange_weak(arrival, next, std::memory_order_relaxed)) {
            return true;
        }
    }
}

RateTable::RateTable(const ContractBundle &bundle, const InstanceList &list)
{
    for (const DerivedLimits &limits : deriveLimits(bundle)) {
        const auto nodes = static_cast<double>(std::max<std::size_t>(1, list.liveCount(serviceOf(limits.operation))));
        const double burst = std::max(1.0, limits.burst / nodes);
        m_limiters[{limits.customer, limits.operation}] = std::make_unique<RateLimiter>(limits.ratePerSecond / nodes, burst);
    }
}

bool RateTable::admit(const CustomerName &customer, const OperationName &operation, TimePoint now) const
{
    const auto limiter = m_limiters.find({customer, operation});
    return limiter != m_limiters.end() && limiter->second->admit(now);
}

} // namespace chervilpaddle
