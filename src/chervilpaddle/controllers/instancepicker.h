#pragma once

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/latencyestimator.h>
#include <chervilpaddle/controllers/outlierdetector.h>
#include <chervilpaddle/controllers/pricetable.h>

#include <set>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! An instance to which a link is open.
struct Candidate
{
    InstanceId instance;
    Incarnation incarnation;
    DataCentreName dataCentre;
    bool draining = false;
    //! The backend server process that the platform's instance list names; empty if the platform does not report it.
    BackendId backend = BackendId();
};

//! Load balancer: selects the executor of a call. Compares two random eligible instances of the local data centre and takes
//! the one with the lower expected cost (power of two choices, Mitzenmacher 2001), unless an instance of another data centre
//! is clearly better. Instances without a recent latency estimate are probed with a small share of the calls. Not thread-safe.
class InstancePicker
{
public:
    enum class Refusal {
        None,
        NoInstance,
        Price,
    };
    struct Selection
    {
        const Candidate *candidate = nullptr;
        Refusal refusal = Refusal::None;
    };
    struct Criteria
    {
        OperationName operation;
        Rank rank = 0;
        const std::set<InstanceId> *excluded = nullptr;
        bool ignorePrice = false;
    };

    InstancePicker(DataCentreName localDataCentre, std::uint64_t seed);

    //! The returned pointer refers to an element of `candidates`.
    Selection pick(const std::vector<Candidate> &candidates, const Criteria &criteria, TimePoint now);

    void callStarted(const InstanceId &instance);
    void callEnded(const InstanceId &instance);
    int inFlight(const InstanceId &instance) const;

    //! Records the load that an executor reported: running and queued calls per slot.
    void recordLoad(const InstanceId &instance, double load, TimePoint now);

    PriceTable &prices();
    const PriceTable &prices() const;
    OutlierDetector &outlierDetector();
    LatencyEstimator &latencyEstimator();

    //! The lowest price among the candidates that are not draining: calls of a lower rank are admitted nowhere.
    Rank lowestPrice(const std::vector<Candidate> &candidates, const OperationName &operation, TimePoint now) const;

private:
    const Candidate *pickFrom(const std::vector<const Candidate *> &pool, const Criteria &criteria, double fallbackSeconds, TimePoint now);
    const Candidate *probeCandidate(const std::vector<const Candidate *> &localPool,
                                    const std::vector<const Candidate *> &remotePool,
                                    const Criteria &criteria,
                                    TimePoint now);
    bool isRemoteBetter(
        const Candidate &remote, const Candidate &local, const OperationName &operation, double fallbackSeconds, TimePoint now) const;
    double lowestEstimate(const std::vector<Candidate> &candidates, const OperationName &operation) const;
    double costOf(const Candidate &candidate, const OperationName &operation, double fallbackSeconds, TimePoint now) const;
    struct Load
    {
        double value = 0;
        TimePoint updated;
    };

    double loadOf(const Candidate &candidate, TimePoint now) const;
    bool meetsPrice(const Candidate &candidate, const Criteria &criteria, TimePoint now) const;

    DataCentreName m_localDataCentre;
    RandomSource m_random;
    std::unordered_map<OperationName, std::uint64_t> m_picks;
    std::unordered_map<InstanceId, int> m_inFlight;
    std::unordered_map<InstanceId, Load> m_loads;
    PriceTable m_prices;
    OutlierDetector m_outlierDetector;
    LatencyEstimator m_latencyEstimator;
};

} // namespace chervilpaddle
