#include <chervilpaddle/controllers/instancepicker.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! The share of calls that are let through though they cannot pay, so that a fallen price is noticed.
constexpr double trickleShare = 0.01;
//! Above this part of its slots an instance of the own data centre is compared with those of the others.
constexpr double fullLoad = 0.85;
//! How much emptier an instance of another data centre must be to be preferred.
constexpr double remoteLoadMargin = 0.1;
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

InstancePicker::Choice InstancePicker::pick(const std::vector<Candidate> &candidates, const Question &question, TimePoint now)
{
    const std::vector<InstanceId> leftOut = m_ejection.leftOut(idsOf(candidates), now);
    std::vector<const Candidate *> near;
    std::vector<const Candidate *> far;
    for (const Candidate &candidate : candidates) {
        const bool ejected = std::find(leftOut.begin(), leftOut.end(), candidate.instance) != leftOut.end();
        if (candidate.draining || ejected || question.excluded->count(candidate.instance) != 0) {
            continue;
        }
        (candidate.dataCentre == m_ownDataCentre ? near : far).push_back(&candidate);
    }
    if (near.empty() && far.empty()) {
        return {nullptr, Refusal::NoInstance};
    }
    const Candidate *nearest = pickFrom(near, question, now);
    if (nearest != nullptr && (far.empty() || hasRoom(*nearest, now))) {
        return {nearest, Refusal::None};
    }
    const Candidate *remote = pickFrom(far, question, now);
    if (nearest != nullptr && (remote == nullptr || loadOf(*nearest, now) <= loadOf(*remote, now) + remoteLoadMargin)) {
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

const Candidate *InstancePicker::pickFrom(const std::vector<const Candidate *> &pool, const Question &question, TimePoint now)
{
    std::vector<const Candidate *> payable;
    std::copy_if(
        pool.begin(), pool.end(), std::back_inserter(payable), [&](const auto *candidate) { return canPay(*candidate, question, now); });
    if (payable.empty()) {
        return nullptr;
    }
    const Candidate *first = payable[uniformIndex(m_random, payable.size())];
    const Candidate *second = payable[uniformIndex(m_random, payable.size())];
    const double firstLoad = loadOf(*first, now);
    const double secondLoad = loadOf(*second, now);
    if (firstLoad == secondLoad) {
        return inFlight(second->instance) < inFlight(first->instance) ? second : first;
    }
    return secondLoad < firstLoad ? second : first;
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

bool InstancePicker::hasRoom(const Candidate &candidate, TimePoint now) const
{
    return loadOf(candidate, now) < fullLoad;
}

bool InstancePicker::canPay(const Candidate &candidate, const Question &question, TimePoint now) const
{
    return question.ignorePrice || m_prices.price(candidate.instance, question.operation, now) <= question.rank;
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

Ejection &InstancePicker::ejection()
{
    return m_ejection;
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
