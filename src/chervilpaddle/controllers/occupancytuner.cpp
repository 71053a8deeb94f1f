#include <chervilpaddle/controllers/occupancytuner.h>

#include <algorithm>
#include <array>

namespace chervilpaddle {

namespace {

//! Parts of the slots that are compared.
constexpr std::array<double, 3> shares = {0.85, 0.94, 1.0};
//! In use until something is known: the platform says that some backend servers slow down when they are nearly full.
constexpr std::size_t firstLevel = 1;
constexpr double usualSmoothing = 0.01;
//! How much more a visited level must bring to be chosen.
constexpr double gainNeeded = 1.02;
//! A visit of a worse level costs its length over this interval, times what the level loses: less than 2 % in all.
constexpr Duration visitInterval = std::chrono::seconds(6);
//! Until each level has been visited once; nothing is known before.
constexpr Duration firstVisitInterval = std::chrono::seconds(1);
//! The least lengths of a measurement and of the pause before it, and their lengths in usual service times.
constexpr double leastMeasureSeconds = 0.3;
constexpr double leastSettleSeconds = 0.1;
constexpr double measureInCalls = 6;
constexpr double settleInCalls = 2;

} // namespace

OccupancyTuner::OccupancyTuner(TimePoint now)
    : m_chosen(firstLevel)
    , m_current(firstLevel)
    , m_visited(firstLevel)
    , m_phaseBegan(now)
    , m_nextVisit(now + firstVisitInterval)
{
}

double OccupancyTuner::share() const
{
    return shares[m_current];
}

void OccupancyTuner::record(const OperationName &operation, Duration serviceTime)
{
    const double seconds = toSeconds(serviceTime);
    double &usual = m_usualSeconds.try_emplace(operation, seconds).first->second;
    // A visit is weighed as what came before it: it must not make its own calls the usual ones.
    if (m_phase == Phase::Before) {
        usual += usualSmoothing * (seconds - usual);
        m_meanSeconds += usualSmoothing * (seconds - m_meanSeconds);
    }
    m_work += usual;
}

void OccupancyTuner::update(bool isFull, TimePoint now)
{
    if (!isFull) {
        enter(Phase::Before, m_chosen, now);
        return;
    }
    const double elapsed = toSeconds(now - m_phaseBegan);
    if (m_isSettling && elapsed >= std::max(leastSettleSeconds, settleInCalls * m_meanSeconds)) {
        m_isSettling = false;
        m_phaseBegan = now;
        m_work = 0;
    } else if (!m_isSettling && elapsed >= std::max(leastMeasureSeconds, measureInCalls * m_meanSeconds)) {
        endPhase(now);
    }
}

void OccupancyTuner::endPhase(TimePoint now)
{
    const double workPerSecond = m_work / toSeconds(now - m_phaseBegan);
    switch (m_phase) {
    case Phase::Before:
        m_workBefore = workPerSecond;
        now < m_nextVisit ? enter(Phase::Before, m_chosen, now) : enter(Phase::Visit, nextToVisit(), now);
        return;
    case Phase::Visit:
        m_workVisited = workPerSecond;
        enter(Phase::After, m_chosen, now);
        return;
    case Phase::After:
        decide(workPerSecond, now);
        return;
    }
}

void OccupancyTuner::decide(double workAfter, TimePoint now)
{
    if (m_workVisited > gainNeeded * std::max(m_workBefore, workAfter)) {
        m_chosen = m_visited;
    }
    ++m_visits;
    m_nextVisit = now + (m_visits < shares.size() - 1 ? firstVisitInterval : visitInterval);
    enter(Phase::Before, m_chosen, now);
}

void OccupancyTuner::enter(Phase phase, std::size_t level, TimePoint now)
{
    m_isSettling = level != m_current;
    m_phase = phase;
    m_current = level;
    m_phaseBegan = now;
    m_work = 0;
}

//! All levels but the chosen one, in turn.
std::size_t OccupancyTuner::nextToVisit()
{
    do {
        m_visited = (m_visited + 1) % shares.size();
    } while (m_visited == m_chosen);
    return m_visited;
}

} // namespace chervilpaddle
