#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/peer/messages.h>

#include <optional>
#include <string>
#include <system_error>

namespace chervilpaddle {

//! Maximum size of a peer frame: a maximum-size body and its envelope.
constexpr std::size_t maxFrameBytes = maxBodyBytes + 256 * kibibyte;

//! A message with its send time on the sender's monotonic clock.
struct PeerFrame
{
    PeerMessage message;
    TimePoint sentAt;
};

//! Encodes a frame as CBOR. Thread-safe.
std::string encodeFrame(const PeerFrame &frame);

//! Decodes a frame. Unknown fields are ignored. Errors: FrameMalformed, FrameTooLarge, VersionUnsupported. Thread-safe.
std::error_code decodeFrame(const std::string &bytes, PeerFrame &frame);

//! Formats a ticket for external callers as "EXECUTOR/EXECUTOR-INCARNATION/ISSUER/SEQUENCE".
std::string formatTicket(const Ticket &ticket);
//! Parses the text form of a ticket; returns nothing if it is malformed.
std::optional<Ticket> parseTicket(const std::string &text);

} // namespace chervilpaddle
