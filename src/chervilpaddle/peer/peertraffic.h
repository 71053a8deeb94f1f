#pragma once

#include <chervilpaddle/peer/messages.h>

#include <array>
#include <cstdint>
#include <string>

namespace chervilpaddle {

//! Counts the frames and bytes that were exchanged with peers, by the kind of message. Not thread-safe.
class PeerTraffic
{
public:
    struct Entry
    {
        const char *kind = "";
        std::uint64_t frames = 0;
        std::uint64_t bytes = 0;
    };
    using Entries = std::array<Entry, std::variant_size_v<PeerMessage>>;

    PeerTraffic();

    void record(const PeerMessage &message, std::size_t bytes);
    const Entries &entries() const;
    std::uint64_t totalBytes() const;

private:
    Entries m_entries;
};

//! Formats the kinds that have occurred as "KIND FRAMES/BYTES, ...".
std::string toText(const PeerTraffic &traffic);

} // namespace chervilpaddle
