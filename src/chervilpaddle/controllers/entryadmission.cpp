#include <chervilpaddle/controllers/entryadmission.h>

#include <chervilpaddle/controllers/clearingrank.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chervilpaddle {

namespace {

constexpr double costSmoothing = 0.1;
//! A service counts as needed by an operation where no less than this part of its requests has needed it.
constexpr double neededShare = 0.95;
//! Below this a request does not count as leading to a service.
constexpr double leastCost = 0.001;
//! While there is some room, who has waited as told is refused this much more rarely: a second refusal is the worst
//! answer. Where there is none, the preference would let in all who were refused once.
constexpr double returnedFactor = 0.5;
//! An instance that has not been heard of for this long says nothing of the present.
constexpr Duration reportLifetime = std::chrono::milliseconds(1500);

} // namespace

void EntryAdmission::recordCosts(const OperationName &operation, int worth, const std::vector<ServiceCost> &costs)
{
    Costs &known = m_costs[operation];
    std::map<ServiceName, double> sample;
    for (const ServiceCost &cost : costs) {
        sample[cost.service] += cost.seconds;
    }
    for (const auto &[service, seconds] : sample) {
        known.try_emplace(service, Cost{seconds, 1});
        const auto least = m_leastWorth.try_emplace(service, worth).first;
        least->second = std::min(least->second, worth);
    }
    for (auto &[service, cost] : known) {
        const auto seen = sample.find(service);
        const bool isNeeded = seen != sample.end();
        cost.seconds += costSmoothing * ((isNeeded ? seen->second : 0) - cost.seconds);
        cost.share += costSmoothing * ((isNeeded ? 1 : 0) - cost.share);
    }
}

void EntryAdmission::recordClearingRank(const ServiceName &service, const InstanceId &instance, Rank clearing, TimePoint now)
{
    m_reports[service][instance] = {clearing, now};
}

void EntryAdmission::retainInstances(const std::set<InstanceId> &instances)
{
    for (auto &[service, reports] : m_reports) {
        for (auto report = reports.begin(); report != reports.end();) {
            report = instances.count(report->first) == 0 ? reports.erase(report) : std::next(report);
        }
    }
}

std::optional<ServiceName> EntryAdmission::unreachableService(const OperationName &operation,
                                                              const std::function<bool(const ServiceName &)> &isReachable) const
{
    const auto costs = m_costs.find(operation);
    if (costs == m_costs.end()) {
        return std::nullopt;
    }
    const auto missing = std::find_if(costs->second.begin(), costs->second.end(), [&](const auto &entry) {
        return entry.second.share >= neededShare && !isReachable(entry.first);
    });
    return missing == costs->second.end() ? std::nullopt : std::optional<ServiceName>(missing->first);
}

std::optional<ServiceName> EntryAdmission::overloadedService(const Request &request, TimePoint now) const
{
    const auto costs = m_costs.find(request.operation);
    if (costs == m_costs.end()) {
        return std::nullopt;
    }
    const double worth = std::floor(request.rank);
    const double fraction = request.rank - worth;
    for (const auto &[service, cost] : costs->second) {
        if (cost.seconds < leastCost) {
            continue;
        }
        const double refused = 1 - admittedShare(clearingRank(service, now), static_cast<int>(worth));
        const double returnedShare = returnedFactor + (1 - returnedFactor) * refused / (1 - minAdmittedShare);
        if (fraction < refused * (request.hasReturned ? returnedShare : 1)) {
            return service;
        }
    }
    return std::nullopt;
}

Rank EntryAdmission::clearingRank(const ServiceName &service, TimePoint now) const
{
    const auto reports = m_reports.find(service);
    if (reports == m_reports.end()) {
        return 0;
    }
    const auto least = m_leastWorth.find(service);
    const Rank nothingRefused = least == m_leastWorth.end() ? 0 : least->second;
    double sum = 0;
    int count = 0;
    for (const auto &[instance, report] : reports->second) {
        if (now - report.updated <= reportLifetime) {
            sum += std::max(report.clearing, nothingRefused);
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace chervilpaddle
