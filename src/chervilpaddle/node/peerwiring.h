#pragma once

#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/node/logging.h>
#include <chervilpaddle/transport/peertransport.h>

#include <functional>
#include <memory>

namespace chervilpaddle {

//! What a core tells its peers and does with what they send.
struct PeerConversation
{
    std::function<HelloMessage()> hello;
    std::function<StatusMessage()> status;
    std::function<void(const PeerEvent &)> received;
};

//! Joins links to the transport and the router, and logs what they lose and regain. All must outlive the hooks.
//! The hooks belong to the core's thread.
LinkController::Hooks linkHooksFor(Clock clock, PeerTransport &transport, Router &router, EventLog &log, PeerConversation conversation);

//! Joins a transport to the links, which may be made later than the hooks but before the first of them is called.
//! The hooks belong to the core's thread.
PeerTransport::Hooks transportHooksFor(Clock clock, const std::unique_ptr<LinkController> &links, EventLog &log);

} // namespace chervilpaddle
