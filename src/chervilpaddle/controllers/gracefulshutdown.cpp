#include <chervilpaddle/controllers/gracefulshutdown.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! The platform probes readiness every second and stops routing to a node after two failed probes; until then new calls arrive.
constexpr Duration minShutdownDuration = std::chrono::milliseconds(3200);
//! How long calls of callers are admitted regardless of their deadline. Callers of later calls had two failed readiness probes.
constexpr Duration unconditionalAdmission = std::chrono::seconds(3);
//! Reserved for the exit of the process once its connections are closed.
constexpr Duration exitMargin = std::chrono::milliseconds(200);
//! Reserved at the end of the grace period for closing connections, which includes the exit.
constexpr Duration closeMargin = std::chrono::milliseconds(500);
//! Time from a deadline until the answer of the backend server that has reached it is here.
constexpr Duration answerMargin = std::chrono::milliseconds(250);

} // namespace

void GracefulShutdown::start(TimePoint now, Duration gracePeriod)
{
    m_startedAt = now;
    m_latestExit = now + gracePeriod - exitMargin;
    m_latestClose = now + gracePeriod - closeMargin;
    m_latestDeadline = m_latestClose - answerMargin;
}

bool GracefulShutdown::hasStarted() const
{
    return m_startedAt.has_value();
}

std::optional<TimePoint> GracefulShutdown::admitCall(TimePoint now, TimePoint deadline, CallOrigin origin) const
{
    if (!m_startedAt || (deadline <= m_latestDeadline && !m_isClosing)) {
        return deadline;
    }
    // A shorter deadline is better than a refusal for a call that is likely to end sooner and would not come back.
    const bool mayBeShortened = origin == CallOrigin::Run || now - *m_startedAt < unconditionalAdmission;
    if (m_isClosing || !mayBeShortened || now >= m_latestDeadline) {
        return std::nullopt;
    }
    return m_latestDeadline;
}

bool GracefulShutdown::isComplete(TimePoint now, bool isIdle) const
{
    return now >= m_latestClose || (isIdle && now - *m_startedAt >= minShutdownDuration);
}

void GracefulShutdown::beginClosing()
{
    m_isClosing = true;
}

TimePoint GracefulShutdown::latestExit() const
{
    return m_latestExit;
}

} // namespace chervilpaddle
