#include <chervilpaddle/controllers/repeatbudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! The part of the operator's ratio and slack that is spent. The rest is left for calls of repeated runs, which nobody
//! refuses: they may come at nodes that have spent their part.
constexpr double spentShare = 0.7;
//! Of that, what calls of less than the highest worth may spend.
constexpr double lesserShare = 0.6;
} // namespace

RepeatBudget::RepeatBudget(Options options, Clock clock)
    : m_options(options)
    , m_clock(std::move(clock))
{
}

void RepeatBudget::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void RepeatBudget::recordRequest(const ServiceName &service, int worth)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    account.requests.push_back(now);
    forget(account.requests, now);
    noteWorth(account, worth, now);
}

void RepeatBudget::recordInherited(const ServiceName &service)
{
    m_accounts[service].repeats.push_back(m_clock());
}

bool RepeatBudget::spend(const ServiceName &service, int worth)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    forget(account.requests, now);
    forget(account.repeats, now);
    forget(account.lesser, now);
    const double share = m_options.slack / static_cast<double>(m_nodes);
    const double allowed = spentShare * (m_options.ratio * static_cast<double>(account.requests.size()) + share);
    const bool isLesser = worth < account.highestWorth;
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

void RepeatBudget::noteWorth(Account &account, int worth, TimePoint now) const
{
    if (worth >= account.highestWorth || now - account.highestSeen > m_options.window) {
        account.highestWorth = worth;
        account.highestSeen = now;
    }
}

void RepeatBudget::forget(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && now - times.front() > m_options.window) {
        times.pop_front();
    }
}

} // namespace chervilpaddle
