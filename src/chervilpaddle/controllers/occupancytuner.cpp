#include <chervilpaddle/controllers/occupancytuner.h>

#include <algorithm>
#include <array>

namespace chervilpaddle {

namespace {

//! The levels that are compared, as shares of the slots.
constexpr std::array<double, 3> shares = {0.85, 0.94, 1.0};
//! Used until probes have been compared. Not the full slots, as the platform documents that some backend servers slow
//! down when they are nearly full.
constexpr std::size_t initialLevel = 1;
constexpr double meanSmoothing = 0.01;
//! Ratio by which a probed level's throughput must be higher for the level to be chosen.
constexpr double requiredGain = 1.02;
//! A probe of a worse level costs the ratio of its length to this interval, times the level's loss of throughput, which
//! is less than 2 % in total.
constexpr Duration probeInterval = std::chrono::seconds(6);
//! Interval until each level has been probed once.
constexpr Duration initialProbeInterval = std::chrono::seconds(1);
//! Lengths of a measurement and of the pause before it: a minimum, and a multiple of the mean service time.
constexpr double minMeasureSeconds = 0.3;
constexpr double minSettleSeconds = 0.1;
constexpr double measureServiceTimes = 6;
constexpr double settleServiceTimes = 2;

} // namespace

OccupancyTuner::OccupancyTuner(TimePoint now)
    : m_chosen(initialLevel)
    , m_current(initialLevel)
    , m_probed(initialLevel)
    , m_phaseBegan(now)
    , m_nextProbe(now + initialProbeInterval)
{
}

double OccupancyTuner::share() const
{
    return shares[m_current];
}

void OccupancyTuner::record(const OperationName &operation, Duration serviceTime)
{
    const double seconds = toSeconds(serviceTime);
    double &operationMean = m_meanSecondsOf.try_emplace(operation, seconds).first->second;
    // The weights change only outside probes, as a probe's own service times would bias the comparison.
    if (m_phase == Phase::Baseline) {
        operationMean += meanSmoothing * (seconds - operationMean);
        m_meanSeconds += meanSmoothing * (seconds - m_meanSeconds);
    }
    m_work += operationMean;
}

void OccupancyTuner::update(bool isFull, TimePoint now)
{
    if (!isFull) {
        enter(Phase::Baseline, m_chosen, now);
        return;
    }
    const double elapsed = toSeconds(now - m_phaseBegan);
    if (m_isSettling && elapsed >= std::max(minSettleSeconds, settleServiceTimes * m_meanSeconds)) {
        m_isSettling = false;
        m_phaseBegan = now;
        m_work = 0;
    } else if (!m_isSettling && elapsed >= std::max(minMeasureSeconds, measureServiceTimes * m_meanSeconds)) {
        endPhase(now);
    }
}

void OccupancyTuner::endPhase(TimePoint now)
{
    const double throughput = m_work / toSeconds(now - m_phaseBegan);
    switch (m_phase) {
    case Phase::Baseline:
        m_baselineThroughput = throughput;
        now < m_nextProbe ? enter(Phase::Baseline, m_chosen, now) : enter(Phase::Probe, nextToProbe(), now);
        return;
    case Phase::Probe:
        m_probeThroughput = throughput;
        enter(Phase::Recheck, m_chosen, now);
        return;
    case Phase::Recheck:
        decide(throughput, now);
        return;
    }
}

void OccupancyTuner::decide(double recheckThroughput, TimePoint now)
{
    if (m_probeThroughput > requiredGain * std::max(m_baselineThroughput, recheckThroughput)) {
        m_chosen = m_probed;
    }
    ++m_probes;
    m_nextProbe = now + (m_probes < shares.size() - 1 ? initialProbeInterval : probeInterval);
    enter(Phase::Baseline, m_chosen, now);
}

void OccupancyTuner::enter(Phase phase, std::size_t level, TimePoint now)
{
    m_isSettling = level != m_current;
    m_phase = phase;
    m_current = level;
    m_phaseBegan = now;
    m_work = 0;
}

//! Cycles through all levels except the chosen one.
std::size_t OccupancyTuner::nextToProbe()
{
    do {
        m_probed = (m_probed + 1) % shares.size();
    } while (m_probed == m_chosen);
    return m_probed;
}

} // namespace chervilpaddle
