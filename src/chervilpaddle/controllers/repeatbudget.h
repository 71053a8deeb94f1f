#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <deque>
#include <unordered_map>

namespace chervilpaddle {

//! Limits what a service gets beyond the first arrival of each request, over all nodes and in any window, without
//! the nodes talking of it: each node spends only its part. The sum of the parts keeps to
//! `ratio` x requests + `slack`, whatever each node believes of the others. Not thread safe.
class RepeatBudget
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

    RepeatBudget(Options options, Clock clock);

    //! Sets the number of nodes among which the slack is divided.
    void setNodes(std::size_t nodes);
    //! Notes a request for the service.
    void recordRequest(const ServiceName &service);
    //! Takes one repeat out of the service's budget; false where there is none left.
    bool spend(const ServiceName &service);

private:
    struct Account
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    void forget(std::deque<TimePoint> &times, TimePoint now) const;

    Options m_options;
    Clock m_clock;
    std::size_t m_nodes = 1;
    std::unordered_map<ServiceName, Account> m_accounts;
};

} // namespace chervilpaddle
