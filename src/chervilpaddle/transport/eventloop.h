#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace chervilpaddle {

//! Receives the type and the description of an exception that has left a handler. Must not throw.
using HandlerFailed = std::function<void(const std::string &what)>;

//! Runs the context on the calling thread until it is stopped or out of work. An exception that leaves a handler ends this handler
//! only: it is reported, and the loop goes on, as the other connections must not be cut because of one message.
void runEventLoop(boost::asio::io_context &context, const HandlerFailed &handlerFailed);

} // namespace chervilpaddle
