#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <deque>
#include <unordered_map>

namespace chervilpaddle {

//! Limits the retries that a service receives from all nodes within any window, without coordination between the nodes: each
//! node spends only its own share, and the sum of the shares does not exceed `ratio` x requests + `slack`. Prevents retry
//! storms when backend servers lose or refuse many calls. Calls of the highest urgency may spend the whole budget; other
//! calls leave a reserve. Not thread-safe.
class RetryBudget
{
public:
    struct Options
    {
        //! Retries allowed per request of the window.
        double ratio = 0.1;
        //! Retries allowed per window regardless of the number of requests, over all nodes.
        double slack = 0;
        Duration window = std::chrono::seconds(10);
    };

    RetryBudget(Options options, Clock clock);

    //! Sets the number of nodes among which the slack is divided.
    void setNodeCount(std::size_t nodes);
    //! Records a request to the service.
    void recordRequest(const ServiceName &service);
    //! Records a call that counts as a retry because its parent call was one. Such calls are never refused.
    void recordInheritedRetry(const ServiceName &service);
    //! Takes one retry from the service's budget; false if none is left for this urgency. A call that is less urgent than
    //! another one within the last window leaves a reserve of the budget.
    bool spend(const ServiceName &service, int urgency);

private:
    struct Account
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
        //! The retries that were not of the highest urgency.
        std::deque<TimePoint> lowerUrgencyRetries;
        //! The highest urgency that was requested, and when it was last requested.
        int highestUrgency = 0;
        TimePoint highestUrgencySeen;
    };

    void recordUrgency(Account &account, int urgency, TimePoint now) const;
    void dropExpired(std::deque<TimePoint> &times, TimePoint now) const;

    Options m_options;
    Clock m_clock;
    std::size_t m_nodes = 1;
    std::unordered_map<ServiceName, Account> m_accounts;
};

} // namespace chervilpaddle
