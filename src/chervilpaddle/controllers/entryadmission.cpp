#include <chervilpaddle/controllers/entryadmission.h>

#include <chervilpaddle/controllers/clearingrank.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chervilpaddle {

namespace {

constexpr double costSmoothing = 0.1;
//! An operation requires a service if at lowest this share of its requests calls it.
constexpr double requiredShare = 0.95;
//! Services at which a request uses less slot time than this are ignored.
constexpr double minCostSeconds = 0.001;
//! Reduces the refusals of delayed retries, as callers suffer most from being refused twice. The reduction shrinks to
//! nothing as the service's capacity runs out, since otherwise every request would be admitted on its second attempt.
constexpr double delayedRetryFactor = 0.5;
//! Older reports of an instance's clearing rank are ignored.
constexpr Duration reportLifetime = std::chrono::milliseconds(1500);

//! Interval of the requests that are admitted although a service that they need is unreachable. Longer than most outages, since
//! each of them may fail half-way.
constexpr Duration probeInterval = std::chrono::seconds(10);

} // namespace

void EntryAdmission::recordCosts(const OperationName &operation, int priority, const std::vector<ServiceCost> &costs)
{
    Costs &known = m_costs[operation];
    std::map<ServiceName, double> sample;
    for (const ServiceCost &cost : costs) {
        sample[cost.service] += cost.seconds;
    }
    for (const auto &[service, seconds] : sample) {
        known.try_emplace(service, Cost{seconds, 1});
        const auto lowest = m_minPriority.try_emplace(service, priority).first;
        lowest->second = std::min(lowest->second, priority);
    }
    for (auto &[service, cost] : known) {
        const auto seen = sample.find(service);
        const bool wasCalled = seen != sample.end();
        cost.seconds += costSmoothing * ((wasCalled ? seen->second : 0) - cost.seconds);
        cost.share += costSmoothing * ((wasCalled ? 1 : 0) - cost.share);
    }
}

void EntryAdmission::recordClearingRank(const ServiceName &service, const InstanceId &instance, Rank clearingRank, TimePoint now)
{
    m_reports[service][instance] = {clearingRank, now};
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
                                                              const std::function<bool(const ServiceName &)> &isReachable,
                                                              TimePoint now)
{
    const auto costs = m_costs.find(operation);
    if (costs == m_costs.end()) {
        return std::nullopt;
    }
    const auto unreachable = std::find_if(costs->second.begin(), costs->second.end(), [&](const auto &entry) {
        return entry.second.share >= requiredShare && !isReachable(entry.first);
    });
    if (unreachable == costs->second.end()) {
        m_nextProbeAt.erase(operation);
        return std::nullopt;
    }
    const auto [nextProbe, isFirst] = m_nextProbeAt.try_emplace(operation, now + probeInterval);
    if (!isFirst && now >= nextProbe->second) {
        nextProbe->second = now + probeInterval;
        return std::nullopt;
    }
    return unreachable->first;
}

std::optional<ServiceName> EntryAdmission::overloadedService(const Request &request, TimePoint now) const
{
    const auto costs = m_costs.find(request.operation);
    if (costs == m_costs.end()) {
        return std::nullopt;
    }
    const double priority = std::floor(request.rank);
    const double fraction = request.rank - priority;
    for (const auto &[service, cost] : costs->second) {
        if (cost.seconds < minCostSeconds) {
            continue;
        }
        const double refused = 1 - admittedShare(clearingRank(service, now), static_cast<int>(priority));
        const double delayedRetryShare = delayedRetryFactor + (1 - delayedRetryFactor) * refused / (1 - minAdmittedShare);
        if (fraction < refused * (request.isDelayedRetry ? delayedRetryShare : 1)) {
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
    const auto lowest = m_minPriority.find(service);
    const Rank admitsAll = lowest == m_minPriority.end() ? 0 : lowest->second;
    double sum = 0;
    int count = 0;
    for (const auto &[instance, report] : reports->second) {
        if (now - report.updated <= reportLifetime) {
            sum += std::max(report.clearingRank, admitsAll);
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace chervilpaddle
