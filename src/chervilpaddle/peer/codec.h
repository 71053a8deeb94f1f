#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/peer/messages.h>

#include <optional>
#include <string>
#include <system_error>

namespace chervilpaddle {

//! The largest frame between nodes: a whole body and its envelope.
constexpr std::size_t maxFrameBytes = maxBodyBytes + 256 * kibibyte;

//! A message and when its sender sent it, by the sender's own monotonic clock.
struct PeerFrame
{
    PeerMessage message;
    TimePoint sentAt;
};

//! Encodes a frame as CBOR. Thread safe.
std::string encodeFrame(const PeerFrame &frame);

//! Decodes a frame. Unknown fields are ignored. Errors: FrameMalformed, FrameTooLarge, VersionUnsupported. Thread safe.
std::error_code decodeFrame(const std::string &bytes, PeerFrame &frame);

//! "EXECUTOR/EXECUTOR-INCARNATION/MINTER/SEQUENCE", as outside callers hold it.
std::string formatTicket(const Ticket &ticket);
std::optional<Ticket> parseTicket(const std::string &text);

} // namespace chervilpaddle
