#include <chervilpaddle/transport/closedconnection.h>

namespace chervilpaddle {

namespace {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

} // namespace

const char *toText(CloseReason reason)
{
    switch (reason) {
    case CloseReason::IdleTimeout:
        return "idle_timeout";
    case CloseReason::ClientClosed:
        return "client_closed";
    case CloseReason::ReceiveTimeout:
        return "receive_timeout";
    case CloseReason::ReadError:
        return "read_error";
    case CloseReason::WriteError:
        return "write_error";
    case CloseReason::Malformed:
        return "malformed";
    case CloseReason::OverLimit:
        return "over_limit";
    case CloseReason::LastResponse:
        return "last_response";
    case CloseReason::Shutdown:
        return "shutdown";
    }
    return "unknown";
}

const char *toText(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Idle:
        return "idle";
    case ConnectionPhase::Receiving:
        return "receiving";
    case ConnectionPhase::Handling:
        return "handling";
    case ConnectionPhase::Responding:
        return "responding";
    case ConnectionPhase::Closing:
        return "closing";
    }
    return "unknown";
}

bool leavesRequestUnanswered(const ClosedConnection &closed)
{
    return closed.phase == ConnectionPhase::Receiving || closed.phase == ConnectionPhase::Handling
        || closed.phase == ConnectionPhase::Responding;
}

std::string toText(const ClosedConnection &closed)
{
    std::string text = "reason " + std::string(toText(closed.reason));
    if (closed.error) {
        text += " (" + closed.error.message() + ")";
    }
    text += ", while " + std::string(toText(closed.phase)) + ", open for " + millisecondsText(closed.age) + ", "
        + std::to_string(closed.requests) + " requests handled, the last received " + millisecondsText(closed.sinceLastRequest) + " ago";
    return text;
}

} // namespace chervilpaddle
