#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>

namespace chervilpaddle {

//! Why a server's connection ended.
enum class CloseReason {
    IdleTimeout, //!< No request arrived for the idle timeout.
    ClientClosed, //!< The client closed its end.
    ReceiveTimeout, //!< A request was not received completely in time.
    ReadError,
    WriteError,
    Malformed, //!< What was received is not a request.
    OverLimit, //!< A limit of bodies, memory or connections was exceeded.
    LastResponse, //!< The last response announced the close, as the client or the handler had asked for it.
    Shutdown, //!< The last response announced the close, as the server is stopping.
};
constexpr std::size_t closeReasonCount = static_cast<std::size_t>(CloseReason::Shutdown) + 1;

//! Returns the label of a reason in logs and metrics, such as "idle_timeout". Thread-safe.
const char *toText(CloseReason reason);

//! What a server's connection is doing.
enum class ConnectionPhase {
    Idle, //!< Waits for a request.
    Receiving, //!< A request has begun to arrive.
    Handling, //!< A request is being handled; its response is due.
    Responding, //!< A response is being sent.
    Closing, //!< The last response has been sent, and the client may still be reading it.
};

//! What is known of a server's connection when it ends.
struct ClosedConnection
{
    CloseReason reason = CloseReason::ClientClosed;
    //! The error behind ReadError and WriteError.
    std::error_code error;
    Duration age{};
    //! Time since the head of the last request was complete, or since the connection was opened.
    Duration sinceLastRequest{};
    std::uint64_t requests = 0;
    //! In the phases Receiving to Responding, a client gets no complete response to its request.
    ConnectionPhase phase = ConnectionPhase::Idle;
    //! The request whose response is due or being sent, if its handler has named it.
    RequestId openRequest;
};

//! Returns the label of a phase in logs, such as "handling". Thread-safe.
const char *toText(ConnectionPhase phase);

//! Whether a request that has begun to arrive is left without a complete response. Thread-safe.
bool leavesRequestUnanswered(const ClosedConnection &closed);

//! Returns the reason and the figures of a closed connection as a log line's detail. Thread-safe.
std::string toText(const ClosedConnection &closed);

} // namespace chervilpaddle
