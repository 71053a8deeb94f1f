#include <chervilpaddle/controllers/retrybudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! Share of the configured budget that is used. The rest covers calls below retried calls: these are never refused, and they
//! may arrive at nodes that have spent their share.
constexpr double usableShare = 0.7;
//! Share of the usable budget that calls below the highest urgency may spend.
constexpr double lowerUrgencyShare = 0.6;
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
    dropExpired(account.requests, now);
}

void RetryBudget::recordInheritedRetry(const ServiceName &service)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    account.retries.push_back(now);
    dropExpired(account.retries, now);
}

bool RetryBudget::spend(const ServiceName &service, int urgency)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    dropExpired(account.requests, now);
    dropExpired(account.retries, now);
    dropExpired(account.lowerUrgencyRetries, now);
    const double slackShare = m_options.slack / static_cast<double>(m_nodes);
    const double allowed = usableShare * (m_options.ratio * static_cast<double>(account.requests.size()) + slackShare);
    recordUrgency(account, urgency, now);
    const bool isLowerUrgency = urgency < account.highestUrgency;
    const bool isReservedForUrgent =
        isLowerUrgency && static_cast<double>(account.lowerUrgencyRetries.size()) + 1 > lowerUrgencyShare * allowed;
    if (isReservedForUrgent || static_cast<double>(account.retries.size()) + 1 > allowed) {
        return false;
    }
    account.retries.push_back(now);
    if (isLowerUrgency) {
        account.lowerUrgencyRetries.push_back(now);
    }
    return true;
}

void RetryBudget::recordUrgency(Account &account, int urgency, TimePoint now) const
{
    if (urgency >= account.highestUrgency || now - account.highestUrgencySeen > m_options.window) {
        account.highestUrgency = urgency;
        account.highestUrgencySeen = now;
    }
}

void RetryBudget::dropExpired(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && now - times.front() > m_options.window) {
        times.pop_front();
    }
}

} // namespace chervilpaddle
