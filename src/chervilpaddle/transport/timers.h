#pragma once

#include <chervilpaddle/base/clock.h>

#include <boost/asio/io_context.hpp>
#include <functional>

namespace chervilpaddle {

//! Runs an action on the context's thread after a delay. Any thread. The context must outlive the action's captures.
void scheduleOn(boost::asio::io_context &context, Duration delay, std::function<void()> action);
//! Runs an action on the context's thread after each period, for as long as the context runs. Any thread.
void schedulePeriodically(boost::asio::io_context &context, Duration period, std::function<void()> action);

} // namespace chervilpaddle
