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
    //! The start of its backend server that the platform's list names.
    BackendId backend = BackendId();
};

//! Chooses an executor for a call: of two random instances of the own data centre that the call can pay the one where
//! it costs less time, unless another data centre is clearly better (power of two choices, Mitzenmacher 2001). Not thread
//! safe.
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

    InstancePicker(DataCentreName ownDataCentre, std::uint64_t seed);

    //! The returned pointer points into `candidates`.
    Selection pick(const std::vector<Candidate> &candidates, const Criteria &criteria, TimePoint now);

    void callStarted(const InstanceId &instance);
    void callEnded(const InstanceId &instance);
    int inFlight(const InstanceId &instance) const;

    //! Notes what an executor said of its load: calls running and queued for each of its slots.
    void recordLoad(const InstanceId &instance, double load, TimePoint now);

    PriceTable &prices();
    const PriceTable &prices() const;
    OutlierDetector &outlierDetector();
    LatencyEstimator &latencyEstimator();

    //! The lowest price among the candidates: what a call must be able to pay somewhere.
    Rank lowestPrice(const std::vector<Candidate> &candidates, const OperationName &operation, TimePoint now) const;

private:
    const Candidate *pickFrom(const std::vector<const Candidate *> &pool, const Criteria &criteria, double usual, TimePoint now);
    const Candidate *trialFrom(const std::vector<const Candidate *> &near,
                               const std::vector<const Candidate *> &far,
                               const Criteria &criteria,
                               TimePoint now);
    bool isBetter(const Candidate &remote, const Candidate &nearest, const OperationName &operation, double usual, TimePoint now) const;
    double usualSeconds(const std::vector<Candidate> &candidates, const OperationName &operation) const;
    double costOf(const Candidate &candidate, const OperationName &operation, double usual, TimePoint now) const;
    struct Load
    {
        double value = 0;
        TimePoint updated;
    };

    double loadOf(const Candidate &candidate, TimePoint now) const;
    bool canPay(const Candidate &candidate, const Criteria &criteria, TimePoint now) const;

    DataCentreName m_ownDataCentre;
    RandomSource m_random;
    std::unordered_map<OperationName, std::uint64_t> m_picks;
    std::unordered_map<InstanceId, int> m_inFlight;
    std::unordered_map<InstanceId, Load> m_loads;
    PriceTable m_prices;
    OutlierDetector m_outlierDetector;
    LatencyEstimator m_latencyEstimator;
};

} // namespace chervilpaddle
