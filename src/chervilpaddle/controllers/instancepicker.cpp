#include <chervilpaddle/controllers/instancepicker.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! The share of calls that are let through though they cannot pay, so that a fallen price is noticed.
constexpr double trickleShare = 0.01;
//! Below this part of its slots a call starts at once; above it a call is likely to wait, the longer the more is there,
//! and the own data centre is compared with the others by load.
constexpr double fullLoad = 0.85;
constexpr double costOfLoad = 0.1;
constexpr double costOfFullLoad = 3;
//! How much emptier an instance of another data centre must be to be preferred.
constexpr double remoteLoadMargin = 0.1;
//! How much faster it must be: its bytes are dear, and a tenth of a second decides for few callers.
constexpr double remoteFactor = 1.1;
constexpr double remoteSeconds = 0.15;
//! One pick in so many of an operation tries an instance of which nothing is known, or that was not tried for long.
constexpr std::uint64_t picksPerFirstTrial = 4;
constexpr std::uint64_t picksPerTrial = 32;
constexpr Duration forecastAge = std::chrono::seconds(4);
//! Operations whose picks are counted; a configuration of thousands of routes may bring more over time.
constexpr std::size_t mostOperations = 4096;
//! What a failed call costs its caller: it has to ask again, or all that was done for it is lost.
constexpr double failureSeconds = 0.3;
//! Assumed of an operation that nobody was seen to answer.
constexpr double unknownSeconds = 0.05;
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

InstancePicker::InstancePicker(DataCentreName ownDataCentre, std::uint64_t seed)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_random(seed)
{
}

InstancePicker::Selection InstancePicker::pick(const std::vector<Candidate> &candidates, const Criteria &criteria, TimePoint now)
{
    const std::vector<InstanceId> ejectedInstances = m_outlierDetector.ejectedInstances(idsOf(candidates), now);
    std::vector<const Candidate *> near;
    std::vector<const Candidate *> far;
    for (const Candidate &candidate : candidates) {
        const bool ejected = std::find(ejectedInstances.begin(), ejectedInstances.end(), candidate.instance) != ejectedInstances.end();
        if (candidate.draining || ejected || criteria.excluded->count(candidate.instance) != 0) {
            continue;
        }
        (candidate.dataCentre == m_ownDataCentre ? near : far).push_back(&candidate);
    }
    if (near.empty() && far.empty()) {
        return {nullptr, Refusal::NoInstance};
    }
    if (const Candidate *trial = trialFrom(near, far, criteria, now); trial != nullptr) {
        return {trial, Refusal::None};
    }
    const double usual = usualSeconds(candidates, criteria.operation);
    const Candidate *nearest = pickFrom(near, criteria, usual, now);
    const Candidate *remote = pickFrom(far, criteria, usual, now);
    if (nearest != nullptr && (remote == nullptr || !isBetter(*remote, *nearest, criteria.operation, usual, now))) {
        return {nearest, Refusal::None};
    }
    if (remote != nullptr) {
        return {remote, Refusal::None};
    }
    if (uniformFraction(m_random) < trickleShare) {
        const auto &pool = near.empty() ? far : near;
        return {pool[uniformIndex(m_random, pool.size())], Refusal::None};
    }
    return {nullptr, Refusal::Price};
}

const Candidate *InstancePicker::pickFrom(const std::vector<const Candidate *> &pool, const Criteria &criteria, double usual, TimePoint now)
{
    std::vector<const Candidate *> payable;
    std::copy_if(
        pool.begin(), pool.end(), std::back_inserter(payable), [&](const auto *candidate) { return canPay(*candidate, criteria, now); });
    if (payable.empty()) {
        return nullptr;
    }
    if (payable.size() == 1) {
        return payable.front();
    }
    const std::size_t firstIndex = uniformIndex(m_random, payable.size());
    const std::size_t step = 1 + uniformIndex(m_random, payable.size() - 1);
    const Candidate *first = payable[firstIndex];
    const Candidate *second = payable[(firstIndex + step) % payable.size()];
    const double firstCost = costOf(*first, criteria.operation, usual, now);
    const double secondCost = costOf(*second, criteria.operation, usual, now);
    if (firstCost == secondCost) {
        return inFlight(second->instance) < inFlight(first->instance) ? second : first;
    }
    return secondCost < firstCost ? second : first;
}

//! The instance whose forecast is the least certain, where it is time for a trial and it can pay.
const Candidate *InstancePicker::trialFrom(const std::vector<const Candidate *> &near,
                                           const std::vector<const Candidate *> &far,
                                           const Criteria &criteria,
                                           TimePoint now)
{
    if (m_picks.size() > mostOperations) {
        m_picks.clear();
    }
    const std::uint64_t pick = ++m_picks[criteria.operation];
    if (pick % picksPerFirstTrial != 0) {
        return nullptr;
    }
    std::vector<const Candidate *> pool = near;
    pool.insert(pool.end(), far.begin(), far.end());
    const auto updated = [&](const Candidate *candidate) {
        return m_latencyEstimator.updated(candidate->instance, criteria.operation).value_or(TimePoint::min());
    };
    const Candidate *oldest = nullptr;
    for (const Candidate *candidate : pool) {
        const bool isTried = inFlight(candidate->instance) > 0 && updated(candidate) == TimePoint::min();
        if (!isTried && canPay(*candidate, criteria, now) && (oldest == nullptr || updated(candidate) < updated(oldest))) {
            oldest = candidate;
        }
    }
    if (oldest == nullptr || loadOf(*oldest, now) >= fullLoad) {
        return nullptr;
    }
    const bool isUnknown = updated(oldest) == TimePoint::min();
    const bool isOld = !isUnknown && now - updated(oldest) > forecastAge;
    return isUnknown || (isOld && pick % picksPerTrial == 0) ? oldest : nullptr;
}

bool InstancePicker::isBetter(
    const Candidate &remote, const Candidate &nearest, const OperationName &operation, double usual, TimePoint now) const
{
    const bool isEmptier = loadOf(nearest, now) >= fullLoad && loadOf(nearest, now) > loadOf(remote, now) + remoteLoadMargin;
    const double nearestCost = costOf(nearest, operation, usual, now);
    return isEmptier || nearestCost > remoteFactor * costOf(remote, operation, usual, now) + remoteSeconds;
}

//! What the fastest instance takes: an instance of which nothing is known is taken to be as fast.
double InstancePicker::usualSeconds(const std::vector<Candidate> &candidates, const OperationName &operation) const
{
    std::optional<double> least;
    for (const Candidate &candidate : candidates) {
        if (const auto seconds = m_latencyEstimator.seconds(candidate.instance, operation); seconds) {
            least = std::min(least.value_or(*seconds), *seconds);
        }
    }
    return least.value_or(unknownSeconds);
}

//! Seconds that a call sent there is worth to its caller.
double InstancePicker::costOf(const Candidate &candidate, const OperationName &operation, double usual, TimePoint now) const
{
    const double seconds = m_latencyEstimator.seconds(candidate.instance, operation).value_or(usual);
    const double load = loadOf(candidate, now);
    const double waiting = costOfLoad * load + costOfFullLoad * std::max(0.0, load - fullLoad);
    return seconds * (1 + waiting) + failureSeconds * m_latencyEstimator.failureRate(candidate.instance, now);
}

void InstancePicker::recordLoad(const InstanceId &instance, double load, TimePoint now)
{
    m_loads[instance] = {load, now};
}

//! What an executor said last; forgotten when it has not been asked for a while, so that it is tried again.
double InstancePicker::loadOf(const Candidate &candidate, TimePoint now) const
{
    const auto load = m_loads.find(candidate.instance);
    return load == m_loads.end() || now - load->second.updated > loadLifetime ? 0 : load->second.value;
}

bool InstancePicker::canPay(const Candidate &candidate, const Criteria &criteria, TimePoint now) const
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
