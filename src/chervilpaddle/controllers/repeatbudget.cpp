#include <chervilpaddle/controllers/repeatbudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
//! The part of the operator's ratio and slack that is spent on purpose. A repeated run repeats its own calls, which
//! count as repeats at the services called and cannot be refused there.
constexpr double spentShare = 0.5;
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

void RepeatBudget::recordRequest(const ServiceName &service)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    account.requests.push_back(now);
    forget(account.requests, now);
}

bool RepeatBudget::spend(const ServiceName &service)
{
    const TimePoint now = m_clock();
    Account &account = m_accounts[service];
    forget(account.requests, now);
    forget(account.repeats, now);
    const double share = m_options.slack / static_cast<double>(m_nodes);
    const double allowed = spentShare * (m_options.ratio * static_cast<double>(account.requests.size()) + share);
    if (static_cast<double>(account.repeats.size()) + 1 > allowed) {
        return false;
    }
    account.repeats.push_back(now);
    return true;
}

void RepeatBudget::forget(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && now - times.front() > m_options.window) {
        times.pop_front();
    }
}

} // namespace chervilpaddle
