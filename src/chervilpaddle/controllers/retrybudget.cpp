#include <chervilpaddle/controllers/retrybudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! The part of the operator's ratio and slack that is spent. The rest is left for calls of repeated runs, which nobody
//! refuses: they may come at nodes that have spent their part.
constexpr double spentShare = 0.7;
//! Of that, what calls of less than the highest urgency may spend.
constexpr double lesserShare = 0.6;
} // namespace

RetryBudget::RetryBudget(Options options, Clock clock)
    : m_options(options)
    , m_clock(std::move(clock))
{
}

void RetryBudget::setNodeCount(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void RetryBudget::recordRequest(const ServiceName &service)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    account.requests.push_back(now);
    forget(account.requests, now);
}

void RetryBudget::recordInheritedRetry(const ServiceName &service)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    account.repeats.push_back(now);
    forget(account.repeats, now);
}

bool RetryBudget::spend(const ServiceName &service, int urgency)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    forget(account.requests, now);
    forget(account.repeats, now);
    forget(account.lesser, now);
    const double share = m_options.slack / static_cast<double>(m_nodes);
    const double allowed = spentShare * (m_options.ratio * static_cast<double>(account.requests.size()) + share);
    noteUrgency(account, urgency, now);
    const bool isLesser = urgency < account.highestUrgency;
    const bool isLeftToUrgent = isLesser && static_cast<double>(account.lesser.size()) + 1 > lesserShare * allowed;
    if (isLeftToUrgent || static_cast<double>(account.repeats.size()) + 1 > allowed) {
        return false;
    }
    account.repeats.push_back(now);
    if (isLesser) {
        account.lesser.push_back(now);
    }
    return true;
}

void RetryBudget::noteUrgency(Account &account, int urgency, TimePoint now) const
{
    if (urgency >= account.highestUrgency || now - account.highestSeen > m_options.window) {
        account.highestUrgency = urgency;
        account.highestSeen = now;
    }
}

void RetryBudget::forget(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && now - times.front() > m_options.window) {
        times.pop_front();
    }
}

} // namespace chervilpaddle
