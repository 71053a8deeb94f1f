#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/peer/messages.h>

#include <functional>

namespace chervilpaddle {

//! Passes the messages of a router to the executor of the same node, asynchronously as over a link: neither is called from within
//! a call to the other. Does no I/O. Not thread-safe.
class LocalCalls
{
public:
    struct Hooks
    {
        Clock clock;
        //! Runs an action later; actions run in the order of posting.
        std::function<void(std::function<void()>)> post;
        //! Submits a call to the executor. The delay is the time for which the message waited.
        std::function<void(const CallMessage &, Duration queueingDelay, std::function<void(const ResponseMessage &)> reply)> submit;
        std::function<void(const TicketId &)> cancel;
        //! Passes a response to the router.
        std::function<void(const ResponseMessage &)> respond;
    };

    explicit LocalCalls(Hooks hooks);

    //! Sends a call or a cancellation; other messages are dropped. Posted actions must not outlive this object.
    void send(const PeerMessage &message);

private:
    void deliver(const PeerMessage &message, Duration queueingDelay);

    Hooks m_hooks;
};

} // namespace chervilpaddle
