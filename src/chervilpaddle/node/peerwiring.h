#pragma once

#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/node/logging.h>
#include <chervilpaddle/transport/peertransport.h>

#include <functional>
#include <memory>

namespace chervilpaddle {

//! How a core describes itself to its peers and handles their messages.
struct PeerMessageHooks
{
    std::function<HelloMessage()> hello;
    std::function<StatusMessage()> status;
    std::function<void(PeerEvent)> received;
};

//! Connects the link controller to the transport and the router, and logs changes of the links. All arguments
//! must outlive the hooks. The hooks run on the core thread.
LinkController::Hooks makeLinkHooks(Clock clock, PeerTransport &transport, Router &router, EventLog &log, PeerMessageHooks messageHooks);

//! Connects the transport to the link controller, which may be created after the hooks but must exist before the first one
//! is called. The hooks run on the core thread.
PeerTransport::Hooks makeTransportHooks(Clock clock, const std::unique_ptr<LinkController> &links, EventLog &log);

} // namespace chervilpaddle
