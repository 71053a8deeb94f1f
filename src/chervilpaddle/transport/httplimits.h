#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/contract/clientlimits.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <vector>

namespace chervilpaddle {

//! The limits that an HTTP server imposes on its clients.
struct HttpLimits
{
    //! Size of the request line and all header fields.
    std::size_t headerBytes = maxHeaderBytes;
    //! Time from the first byte of a request until its header is complete.
    Duration headerTimeout = std::chrono::seconds(10);
    //! Connections without a request for this long are closed.
    Duration idleTimeout = std::chrono::seconds(75);
};

//! Returns the idle time in whole seconds that responses announce in Keep-Alive: short enough that a request sent within it arrives
//! before a server with this idle timeout closes the connection, also if either of them or the network was held up. Zero: none is
//! announced, as the timeout leaves no time. Thread-safe.
std::chrono::seconds announcedIdleTime(Duration idleTimeout);

//! Returns `limits`, made wider where clients are allowed more than they leave, up to fixed bounds. Thread-safe.
HttpLimits widened(HttpLimits limits, const ClientLimits &allowed);

//! The limits of a server over time. A client may rely on those that were in force when it was last told of them, so that narrower
//! ones do not apply to it yet. Not thread-safe.
class HttpLimitsInForce
{
public:
    explicit HttpLimitsInForce(const HttpLimits &initial);

    //! Replaces the limits. Precondition: `now` is not before that of an earlier call.
    void set(const HttpLimits &limits, TimePoint now);
    //! The limits that were set last.
    const HttpLimits &current() const;
    //! The widest of each limit that has been in force at any time from `since` on, or shortly before.
    HttpLimits widestSince(TimePoint since) const;

private:
    struct Replaced
    {
        HttpLimits limits;
        TimePoint replacedAt;
    };

    HttpLimits m_current;
    //! Former limits that are wider than the current ones in some way, in the order in which they were replaced.
    std::vector<Replaced> m_replaced;
};

} // namespace chervilpaddle
