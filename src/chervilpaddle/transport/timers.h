#pragma once

#include <chervilpaddle/base/clock.h>

#include <boost/asio/io_context.hpp>
#include <functional>

namespace chervilpaddle {

//! Runs an action once on the context's thread, after a delay. May be called from any thread. The context must outlive
//! the objects that the action captures.
void scheduleOn(boost::asio::io_context &context, Duration delay, std::function<void()> action);
//! Runs an action on the context's thread after each period, for as long as the context runs. May be called from any
//! thread.
void schedulePeriodically(boost::asio::io_context &context, Duration period, std::function<void()> action);

} // namespace chervilpaddle
