#include <chervilpaddle/node/peerwiring.h>

#include <utility>

namespace chervilpaddle {

LinkController::Hooks makeLinkHooks(Clock clock, PeerTransport &transport, Router &router, EventLog &log, PeerMessageHooks messageHooks)
{
    LinkController::Hooks hooks;
    hooks.clock = std::move(clock);
    hooks.dial = [&transport](const Endpoint &address) { return transport.dial(address); };
    hooks.send = [&transport](ConnectionId connection, const PeerMessage &message) { transport.send(connection, message); };
    hooks.close = [&transport](ConnectionId connection) { transport.close(connection); };
    hooks.hello = std::move(messageHooks.hello);
    hooks.status = std::move(messageHooks.status);
    hooks.received = std::move(messageHooks.received);
    hooks.hasOutstanding = [&router](const InstanceId &instance) { return router.hasOutstanding(instance); };
    hooks.unreachable = [&router, &log](const InstanceId &instance) {
        log.warn({"instance cannot be reached", ResultCode::ExecutorGone, {}, instance.value()});
        router.handleInstanceUnreachable(instance);
    };
    hooks.incarnationChanged = [&router, &log](const InstanceId &instance, Incarnation current) {
        log.info({"instance replaced by a new incarnation", ResultCode::ExecutorReplaced, {}, instance.value()});
        router.handleInstanceReplaced(instance, current);
    };
    hooks.linkEstablished = [&router, &log](const InstanceId &instance) {
        log.debug({"link established", ResultCode::Success, {}, instance.value()});
        router.handleInstanceReconnected(instance);
    };
    return hooks;
}

PeerTransport::Hooks makeTransportHooks(Clock clock, const std::unique_ptr<LinkController> &links, EventLog &log)
{
    PeerTransport::Hooks hooks;
    hooks.clock = std::move(clock);
    hooks.opened = [&links](ConnectionId connection, bool inbound) { links->opened(connection, inbound); };
    hooks.received = [&links](ConnectionId connection, PeerFrame frame) { links->received(connection, std::move(frame)); };
    hooks.closed = [&links](ConnectionId connection) { links->closed(connection); };
    hooks.frameRejected = [&log](ConnectionId /*connection*/, std::error_code error) {
        log.warn({"invalid frame from peer; closing the connection", static_cast<ResultCode>(error.value()), {}, error.message()});
    };
    return hooks;
}

} // namespace chervilpaddle
