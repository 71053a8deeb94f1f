#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <deque>
#include <unordered_map>

namespace chervilpaddle {

//! Limits what a service gets beyond the first arrival of each request, over all nodes and in any window, without
//! the nodes talking of it: each node spends only its part. The sum of the parts keeps to
//! `ratio` x requests + `slack`, whatever each node believes of the others. Answers the load of backend servers that lose
//! or refuse many calls: what is most urgent may spend all of it, the rest leaves a part. Not thread safe.
class RetryBudget
{
public:
    struct Options
    {
        //! Repeats allowed for each request of the window.
        double ratio = 0.1;
        //! Repeats allowed over all nodes in a window without any request.
        double slack = 0;
        Duration window = std::chrono::seconds(10);
    };

    RetryBudget(Options options, Clock clock);

    //! Sets the number of nodes among which the slack is divided.
    void setNodeCount(std::size_t nodes);
    //! Notes a request for the service.
    void recordRequest(const ServiceName &service);
    //! Notes a call that counts as a repeat though nobody asks for it here: its parent's run was one.
    void recordInheritedRetry(const ServiceName &service);
    //! Takes one repeat out of the service's budget; false where there is none left for a call of this urgency. What is
    //! less urgent than another call that asked lately leaves a part of the budget.
    bool spend(const ServiceName &service, int urgency);

private:
    struct Account
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
        //! Those of them that were not of the highest urgency.
        std::deque<TimePoint> lesser;
        //! The highest urgency that asked, and when it last did.
        int highestUrgency = 0;
        TimePoint highestSeen;
    };

    void noteUrgency(Account &account, int urgency, TimePoint now) const;
    void forget(std::deque<TimePoint> &times, TimePoint now) const;

    Options m_options;
    Clock m_clock;
    std::size_t m_nodes = 1;
    std::unordered_map<ServiceName, Account> m_accounts;
};

} // namespace chervilpaddle
