#include <chervilpaddle/controllers/entryadmission.h>

#include <algorithm>
#include <iterator>

namespace chervilpaddle {

namespace {

constexpr double costSmoothing = 0.1;
//! Below this a request does not count as leading to a service.
constexpr double leastCost = 0.001;
//! The part of a class that is let through under any pressure, so that none is starved and its costs stay known.
constexpr double leastShare = 0.2;
//! Who has waited as told is refused this much more rarely: a second refusal is the worst answer.
constexpr double returnedFactor = 0.4;
//! An instance that has not been heard of for this long says nothing of the present.
constexpr Duration reportLifetime = std::chrono::milliseconds(1500);

} // namespace

void EntryAdmission::recordCosts(const OperationName &operation, int priority, const std::vector<ServiceCost> &costs)
{
    Tree &tree = m_trees[operation];
    tree.priority = priority;
    std::map<ServiceName, double> sample;
    for (const ServiceCost &cost : costs) {
        sample[cost.service] += cost.seconds;
        tree.seconds.try_emplace(cost.service, cost.seconds);
    }
    for (auto &[service, seconds] : tree.seconds) {
        const auto seen = sample.find(service);
        seconds += costSmoothing * ((seen == sample.end() ? 0 : seen->second) - seconds);
        if (seconds >= leastCost) {
            m_classes[service].insert(priority);
        }
    }
}

void EntryAdmission::setPressure(const ServiceName &service, const InstanceId &instance, double pressure, TimePoint now)
{
    m_reports[service][instance] = {pressure, now};
}

void EntryAdmission::retain(const std::set<InstanceId> &instances)
{
    for (auto &[service, reports] : m_reports) {
        for (auto report = reports.begin(); report != reports.end();) {
            report = instances.count(report->first) == 0 ? reports.erase(report) : std::next(report);
        }
    }
}

std::optional<ServiceName> EntryAdmission::refusedBy(const Request &request, TimePoint now) const
{
    const auto tree = m_trees.find(request.operation);
    if (tree == m_trees.end()) {
        return std::nullopt;
    }
    for (const auto &[service, seconds] : tree->second.seconds) {
        if (seconds < leastCost) {
            continue;
        }
        const double refused = 1 - admittedShareAt(service, request.priority, now);
        if (request.fraction < refused * (request.hasReturned ? returnedFactor : 1)) {
            return service;
        }
    }
    return std::nullopt;
}

double EntryAdmission::admittedShare(const OperationName &operation, int priority, TimePoint now) const
{
    double share = 1;
    const auto tree = m_trees.find(operation);
    if (tree == m_trees.end()) {
        return share;
    }
    for (const auto &[service, seconds] : tree->second.seconds) {
        if (seconds >= leastCost) {
            share = std::min(share, admittedShareAt(service, priority, now));
        }
    }
    return share;
}

double EntryAdmission::admittedShareAt(const ServiceName &service, int priority, TimePoint now) const
{
    const double total = pressure(service, now);
    const auto classes = m_classes.find(service);
    if (total <= 0 || classes == m_classes.end()) {
        return 1;
    }
    // The least urgent class carries the pressure alone until no more of it may be refused.
    const auto lessUrgent = std::distance(classes->second.upper_bound(priority), classes->second.end());
    const double part = std::clamp(total - static_cast<double>(lessUrgent), 0.0, 1.0);
    return 1 - part * (1 - leastShare);
}

double EntryAdmission::pressure(const ServiceName &service, TimePoint now) const
{
    const auto reports = m_reports.find(service);
    if (reports == m_reports.end()) {
        return 0;
    }
    double sum = 0;
    int count = 0;
    for (const auto &[instance, report] : reports->second) {
        if (now - report.updated <= reportLifetime) {
            sum += report.pressure;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

double EntryAdmission::cost(const OperationName &operation, const ServiceName &service) const
{
    const auto tree = m_trees.find(operation);
    if (tree == m_trees.end()) {
        return 0;
    }
    const auto seconds = tree->second.seconds.find(service);
    return seconds == tree->second.seconds.end() ? 0 : seconds->second;
}

} // namespace chervilpaddle
