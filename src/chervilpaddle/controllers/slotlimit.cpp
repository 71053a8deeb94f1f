#include <chervilpaddle/controllers/slotlimit.h>

#include <algorithm>
#include <cmath>

namespace chervilpaddle {

namespace {
constexpr double slowStartShare = 0.1;
constexpr double refusalFactor = 0.9;
constexpr double orphanedRunsShare = 0.5;
} // namespace

SlotLimit::SlotLimit(int slots)
    : m_slots(std::max(1, slots))
    , m_limit(m_slots)
{
}

int SlotLimit::limit() const
{
    return std::max(1, static_cast<int>(std::floor(m_limit)));
}

int SlotLimit::slots() const
{
    return m_slots;
}

void SlotLimit::setSlots(int slots)
{
    const double limitShare = m_limit / m_slots;
    m_slots = std::max(1, slots);
    m_limit = std::max(1.0, m_slots * limitShare);
}

void SlotLimit::enterSlowStart()
{
    m_limit = std::max(1.0, m_slots * slowStartShare);
}

void SlotLimit::recordSuccess()
{
    m_limit = std::min(static_cast<double>(m_slots), m_limit + 1);
    ++m_answersInRound;
    endRoundIfDue();
}

void SlotLimit::recordRefusal()
{
    if (m_refusalsInRound++ == 0) {
        m_limit = std::max(1.0, m_limit * refusalFactor);
    }
    endRoundIfDue();
}

void SlotLimit::assumeOrphanedRuns()
{
    m_limit = std::max(1.0, m_slots * orphanedRunsShare);
}

void SlotLimit::endRoundIfDue()
{
    if (m_refusalsInRound + m_answersInRound >= limit()) {
        m_refusalsInRound = 0;
        m_answersInRound = 0;
    }
}

} // namespace chervilpaddle
