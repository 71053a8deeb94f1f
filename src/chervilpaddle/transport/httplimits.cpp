#include <chervilpaddle/transport/httplimits.h>

#include <chervilpaddle/peer/messages.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! Time from the end of the announced idle time until an idle connection is closed.
constexpr Duration idleCloseMargin = std::chrono::seconds(10);
constexpr Duration maxIdleTimeout = std::chrono::hours(1);
//! A limit of header sizes may not count the request line.
constexpr std::size_t requestLineBytes = 8 * kibibyte;
constexpr std::size_t maxWidenedHeaderBytes = 64 * kibibyte;
static_assert(maxWidenedHeaderBytes <= maxReadAheadBytes);
static_assert(maxWidenedHeaderBytes <= maxHeadTextBytes);
//! Time for a header that was sent in time to arrive.
constexpr Duration headerMargin = std::chrono::seconds(2);
constexpr Duration maxHeaderTimeout = std::chrono::minutes(1);
//! Clients learn of a configuration earlier or later than the server.
constexpr Duration configurationLag = std::chrono::seconds(10);
constexpr std::size_t maxReplacedLimits = 16;

HttpLimits widestOf(const HttpLimits &a, const HttpLimits &b)
{
    return {std::max(a.headerBytes, b.headerBytes), std::max(a.headerTimeout, b.headerTimeout), std::max(a.idleTimeout, b.idleTimeout)};
}

bool covers(const HttpLimits &outer, const HttpLimits &inner)
{
    return outer.headerBytes >= inner.headerBytes && outer.headerTimeout >= inner.headerTimeout && outer.idleTimeout >= inner.idleTimeout;
}

} // namespace

std::chrono::seconds announcedIdleTime(Duration idleTimeout)
{
    return std::max(std::chrono::seconds::zero(), std::chrono::duration_cast<std::chrono::seconds>(idleTimeout - idleCloseMargin));
}

HttpLimits widened(HttpLimits limits, const ClientLimits &allowed)
{
    const std::size_t headerBytes = std::min(allowed.headerBytes, maxWidenedHeaderBytes - requestLineBytes) + requestLineBytes;
    const Duration headerTimeout = std::min(allowed.headerTimeout, maxHeaderTimeout) + headerMargin;
    const Duration idleTimeout = std::min(allowed.idleTimeout, maxIdleTimeout) + idleCloseMargin;
    limits.headerBytes = std::max(limits.headerBytes, headerBytes);
    limits.headerTimeout = std::max(limits.headerTimeout, headerTimeout);
    limits.idleTimeout = std::max(limits.idleTimeout, idleTimeout);
    return limits;
}

HttpLimitsInForce::HttpLimitsInForce(const HttpLimits &initial)
    : m_current(initial)
{
}

void HttpLimitsInForce::set(const HttpLimits &limits, TimePoint now)
{
    m_replaced.push_back({m_current, now});
    m_current = limits;
    const auto isCovered = [this](const Replaced &replaced) { return covers(m_current, replaced.limits); };
    m_replaced.erase(std::remove_if(m_replaced.begin(), m_replaced.end(), isCovered), m_replaced.end());
    if (m_replaced.size() > maxReplacedLimits) {
        // Merging makes limits wider, never narrower.
        m_replaced[1].limits = widestOf(m_replaced[0].limits, m_replaced[1].limits);
        m_replaced.erase(m_replaced.begin());
    }
}

const HttpLimits &HttpLimitsInForce::current() const
{
    return m_current;
}

HttpLimits HttpLimitsInForce::widestSince(TimePoint since) const
{
    HttpLimits widest = m_current;
    for (const auto &[limits, replacedAt] : m_replaced) {
        if (replacedAt + configurationLag >= since) {
            widest = widestOf(widest, limits);
        }
    }
    return widest;
}

} // namespace chervilpaddle
