#include <chervilpaddle/transport/eventloop.h>

#include <boost/core/demangle.hpp>
#include <exception>
#include <typeinfo>

namespace chervilpaddle {

void runEventLoop(boost::asio::io_context &context, const HandlerFailed &handlerFailed)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            handlerFailed(boost::core::demangle(typeid(error).name()) + ": " + error.what());
        } catch (...) {
            handlerFailed("not a std::exception");
        }
    }
}

} // namespace chervilpaddle
