#include <chervilpaddle/controllers/gracefulshutdown.h>

namespace chervilpaddle {

namespace {

//! The platform asks for readiness every second and takes a node out after two refusals; callers come until then.
constexpr Duration callersLeave = std::chrono::milliseconds(3200);
//! Callers that still come after this were told twice that the node is not ready.
constexpr Duration admissionLength = std::chrono::seconds(3);
//! Left of the grace period for closing what is open.
constexpr Duration closingMargin = std::chrono::milliseconds(500);

} // namespace

void GracefulShutdown::start(TimePoint now, Duration grace)
{
    m_startedAt = now;
    m_latestExit = now + grace - closingMargin;
}

bool GracefulShutdown::hasStarted() const
{
    return m_startedAt.has_value();
}

bool GracefulShutdown::admitsCall(TimePoint now, TimePoint deadline) const
{
    return !m_startedAt || now - *m_startedAt < admissionLength || deadline <= m_latestExit;
}

bool GracefulShutdown::isComplete(TimePoint now, bool isIdle) const
{
    return now >= m_latestExit || (isIdle && now - *m_startedAt >= callersLeave);
}

TimePoint GracefulShutdown::latestExit() const
{
    return m_latestExit;
}

} // namespace chervilpaddle
