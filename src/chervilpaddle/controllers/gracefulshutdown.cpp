#include <chervilpaddle/controllers/gracefulshutdown.h>

namespace chervilpaddle {

namespace {

//! The platform probes readiness every second and stops routing to a node after two failed probes; until then new calls arrive.
constexpr Duration minShutdownDuration = std::chrono::milliseconds(3200);
//! How long calls are admitted regardless of their deadline. Callers of later calls had two failed readiness probes.
constexpr Duration unconditionalAdmission = std::chrono::seconds(3);
//! Reserved at the end of the grace period for closing connections.
constexpr Duration closeMargin = std::chrono::milliseconds(500);

} // namespace

void GracefulShutdown::start(TimePoint now, Duration gracePeriod)
{
    m_startedAt = now;
    m_latestExit = now + gracePeriod - closeMargin;
}

bool GracefulShutdown::hasStarted() const
{
    return m_startedAt.has_value();
}

bool GracefulShutdown::admitsCall(TimePoint now, TimePoint deadline) const
{
    return !m_startedAt || now - *m_startedAt < unconditionalAdmission || deadline <= m_latestExit;
}

bool GracefulShutdown::isComplete(TimePoint now, bool isIdle) const
{
    return now >= m_latestExit || (isIdle && now - *m_startedAt >= minShutdownDuration);
}

TimePoint GracefulShutdown::latestExit() const
{
    return m_latestExit;
}

} // namespace chervilpaddle
