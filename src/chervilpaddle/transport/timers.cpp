#include <chervilpaddle/transport/timers.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace chervilpaddle {

void scheduleOn(boost::asio::io_context &context, Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void schedulePeriodically(boost::asio::io_context &context, Duration period, std::function<void()> action)
{
    scheduleOn(context, period, [&context, period, action = std::move(action)] {
        // Scheduled first, so that an action that fails is run again.
        schedulePeriodically(context, period, action);
        action();
    });
}

} // namespace chervilpaddle
