#include <chervilpaddle/controllers/instancepicker.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! Share of the calls below the price of every instance that are sent nevertheless, so that a drop in the price is noticed.
constexpr double unaffordableProbeShare = 0.01;
//! Load (running and queued calls per slot) from which a call is likely to queue. Above it the cost rises steeply with the
//! load, and instances of other data centres are preferred by load as well.
constexpr double saturatedLoad = 0.85;
constexpr double loadCostFactor = 0.1;
constexpr double saturationCostFactor = 3;
//! How much lower the load of a remote instance must be for it to be preferred over a saturated local one.
constexpr double remoteLoadMargin = 0.1;
//! How much cheaper a remote instance must be: traffic between data centres is expensive, and a gain of 0.1 s matters to few
//! callers.
constexpr double remoteCostFactor = 1.1;
constexpr double remotePenaltySeconds = 0.15;
//! One in this many picks of an operation probes an instance that has no latency estimate, or an outdated one.
constexpr std::uint64_t picksPerInitialProbe = 4;
constexpr std::uint64_t picksPerProbe = 32;
constexpr Duration maxEstimateAge = std::chrono::seconds(4);
//! Bounds the memory for pick counts: the operations of thousands of routes, replaced over time, would add up.
constexpr std::size_t maxOperations = 4096;
//! Cost of a failed call to its caller, who must retry or loses the work already done.
constexpr double failurePenaltySeconds = 0.3;
//! Assumed response time of an operation for which no instance has an estimate.
constexpr double defaultSeconds = 0.05;
constexpr Duration loadLifetime = std::chrono::milliseconds(500);

std::vector<InstanceId> idsOf(const std::vector<Candidate> &candidates)
{
    std::vector<InstanceId> ids;
    ids.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        ids.push_back(candidate.instance);
    }
    return ids;
}

} // namespace

InstancePicker::InstancePicker(DataCentreName localDataCentre, std::uint64_t seed)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(seed)
{
}

InstancePicker::Selection InstancePicker::pick(const std::vector<Candidate> &candidates, const Criteria &criteria, TimePoint now)
{
    const std::vector<InstanceId> ejectedInstances =
        m_outlierDetector.hasFailures() ? m_outlierDetector.ejectedInstances(idsOf(candidates), now) : std::vector<InstanceId>();
    std::vector<const Candidate *> localPool;
    std::vector<const Candidate *> remotePool;
    for (const Candidate &candidate : candidates) {
        const bool ejected = std::find(ejectedInstances.begin(), ejectedInstances.end(), candidate.instance) != ejectedInstances.end();
        if (candidate.draining || ejected || criteria.excluded->count(candidate.instance) != 0) {
            continue;
        }
        (candidate.dataCentre == m_localDataCentre ? localPool : remotePool).push_back(&candidate);
    }
    if (localPool.empty() && remotePool.empty()) {
        return {nullptr, Refusal::NoInstance};
    }
    if (const Candidate *probe = probeCandidate(localPool, remotePool, criteria, now); probe != nullptr) {
        return {probe, Refusal::None};
    }
    const double fallbackSeconds = lowestEstimate(candidates, criteria.operation);
    const Candidate *local = pickFrom(localPool, criteria, fallbackSeconds, now);
    const Candidate *remote = pickFrom(remotePool, criteria, fallbackSeconds, now);
    if (local != nullptr && (remote == nullptr || !isRemoteBetter(*remote, *local, criteria.operation, fallbackSeconds, now))) {
        return {local, Refusal::None};
    }
    if (remote != nullptr) {
        return {remote, Refusal::None};
    }
    if (uniformFraction(m_random) < unaffordableProbeShare) {
        const auto &pool = localPool.empty() ? remotePool : localPool;
        return {pool[uniformIndex(m_random, pool.size())], Refusal::None};
    }
    return {nullptr, Refusal::Price};
}

const Candidate *
InstancePicker::pickFrom(const std::vector<const Candidate *> &pool, const Criteria &criteria, double fallbackSeconds, TimePoint now)
{
    std::vector<const Candidate *> eligible;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(eligible), [&](const auto *candidate) {
        return meetsPrice(*candidate, criteria, now);
    });
    if (eligible.empty()) {
        return nullptr;
    }
    if (eligible.size() == 1) {
        return eligible.front();
    }
    const std::size_t firstIndex = uniformIndex(m_random, eligible.size());
    const std::size_t step = 1 + uniformIndex(m_random, eligible.size() - 1);
    const Candidate *first = eligible[firstIndex];
    const Candidate *second = eligible[(firstIndex + step) % eligible.size()];
    const double firstCost = costOf(*first, criteria.operation, fallbackSeconds, now);
    const double secondCost = costOf(*second, criteria.operation, fallbackSeconds, now);
    if (firstCost == secondCost) {
        return inFlight(second->instance) < inFlight(first->instance) ? second : first;
    }
    return secondCost < firstCost ? second : first;
}

//! Returns the eligible instance with no estimate or the oldest one if a probe is due, else null.
const Candidate *InstancePicker::probeCandidate(const std::vector<const Candidate *> &localPool,
                                                const std::vector<const Candidate *> &remotePool,
                                                const Criteria &criteria,
                                                TimePoint now)
{
    if (m_picks.size() > maxOperations) {
        m_picks.clear();
    }
    const std::uint64_t pick = ++m_picks[criteria.operation];
    if (pick % picksPerInitialProbe != 0) {
        return nullptr;
    }
    std::vector<const Candidate *> pool = localPool;
    pool.insert(pool.end(), remotePool.begin(), remotePool.end());
    const auto updated = [&](const Candidate *candidate) {
        return m_latencyEstimator.lastUpdated(candidate->instance, criteria.operation).value_or(TimePoint::min());
    };
    const Candidate *oldest = nullptr;
    for (const Candidate *candidate : pool) {
        const bool isBeingProbed = inFlight(candidate->instance) > 0 && updated(candidate) == TimePoint::min();
        if (!isBeingProbed && meetsPrice(*candidate, criteria, now) && (oldest == nullptr || updated(candidate) < updated(oldest))) {
            oldest = candidate;
        }
    }
    if (oldest == nullptr || loadOf(*oldest, now) >= saturatedLoad) {
        return nullptr;
    }
    const bool hasNoEstimate = updated(oldest) == TimePoint::min();
    const bool isOutdated = !hasNoEstimate && now - updated(oldest) > maxEstimateAge;
    return hasNoEstimate || (isOutdated && pick % picksPerProbe == 0) ? oldest : nullptr;
}

bool InstancePicker::isRemoteBetter(
    const Candidate &remote, const Candidate &local, const OperationName &operation, double fallbackSeconds, TimePoint now) const
{
    const bool isLessLoaded = loadOf(local, now) >= saturatedLoad && loadOf(local, now) > loadOf(remote, now) + remoteLoadMargin;
    const double localCost = costOf(local, operation, fallbackSeconds, now);
    return isLessLoaded || localCost > remoteCostFactor * costOf(remote, operation, fallbackSeconds, now) + remotePenaltySeconds;
}

//! The lowest estimated response time; instances without an estimate are assumed to be as fast.
double InstancePicker::lowestEstimate(const std::vector<Candidate> &candidates, const OperationName &operation) const
{
    std::optional<double> lowest;
    for (const Candidate &candidate : candidates) {
        if (const auto seconds = m_latencyEstimator.responseSeconds(candidate.instance, operation); seconds) {
            lowest = std::min(lowest.value_or(*seconds), *seconds);
        }
    }
    return lowest.value_or(defaultSeconds);
}

//! The expected cost of a call to its caller in seconds: response time, queueing and the risk of failure.
double InstancePicker::costOf(const Candidate &candidate, const OperationName &operation, double fallbackSeconds, TimePoint now) const
{
    const double seconds = m_latencyEstimator.responseSeconds(candidate.instance, operation).value_or(fallbackSeconds);
    const double load = loadOf(candidate, now);
    const double waiting = loadCostFactor * load + saturationCostFactor * std::max(0.0, load - saturatedLoad);
    return seconds * (1 + waiting) + failurePenaltySeconds * m_latencyEstimator.failureRate(candidate.instance, now);
}

void InstancePicker::recordLoad(const InstanceId &instance, double load, TimePoint now)
{
    m_loads[instance] = {load, now};
}

//! The last reported load. A report expires, so that an instance that was avoided is tried again.
double InstancePicker::loadOf(const Candidate &candidate, TimePoint now) const
{
    const auto load = m_loads.find(candidate.instance);
    return load == m_loads.end() || now - load->second.updated > loadLifetime ? 0 : load->second.value;
}

bool InstancePicker::meetsPrice(const Candidate &candidate, const Criteria &criteria, TimePoint now) const
{
    return criteria.ignorePrice || m_prices.price(candidate.instance, criteria.operation, now) <= criteria.rank;
}

void InstancePicker::callStarted(const InstanceId &instance)
{
    ++m_inFlight[instance];
}

void InstancePicker::callEnded(const InstanceId &instance)
{
    if (const auto count = m_inFlight.find(instance); count != m_inFlight.end() && --count->second <= 0) {
        m_inFlight.erase(count);
    }
}

int InstancePicker::inFlight(const InstanceId &instance) const
{
    const auto count = m_inFlight.find(instance);
    return count == m_inFlight.end() ? 0 : count->second;
}

PriceTable &InstancePicker::prices()
{
    return m_prices;
}

const PriceTable &InstancePicker::prices() const
{
    return m_prices;
}

OutlierDetector &InstancePicker::outlierDetector()
{
    return m_outlierDetector;
}

LatencyEstimator &InstancePicker::latencyEstimator()
{
    return m_latencyEstimator;
}

Rank InstancePicker::lowestPrice(const std::vector<Candidate> &candidates, const OperationName &operation, TimePoint now) const
{
    Rank lowest = 0;
    bool any = false;
    for (const Candidate &candidate : candidates) {
        if (candidate.draining) {
            continue;
        }
        const Rank price = m_prices.price(candidate.instance, operation, now);
        lowest = any ? std::min(lowest, price) : price;
        any = true;
    }
    return lowest;
}

} // namespace chervilpaddle
