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
    m_began = now;
    m_end = now + grace - closingMargin;
}

bool GracefulShutdown::hasStarted() const
{
    return m_began.has_value();
}

bool GracefulShutdown::admitsCall(TimePoint now, TimePoint deadline) const
{
    return !m_began || now - *m_began < admissionLength || deadline <= m_end;
}

bool GracefulShutdown::isComplete(TimePoint now, bool isIdle) const
{
    return now >= m_end || (isIdle && now - *m_began >= callersLeave);
}

TimePoint GracefulShutdown::end() const
{
    return m_end;
}

} // namespace chervilpaddle
