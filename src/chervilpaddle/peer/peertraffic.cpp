#include <chervilpaddle/peer/peertraffic.h>

#include <numeric>

namespace chervilpaddle {

namespace {

//! In the order of the alternatives of PeerMessage.
constexpr PeerTraffic::Entries emptyEntries = {{{"hello"},
                                                {"call"},
                                                {"response"},
                                                {"cancel"},
                                                {"void"},
                                                {"status"},
                                                {"configuration request"},
                                                {"configuration"},
                                                {"instances request"},
                                                {"instances"},
                                                {"routes request"},
                                                {"routes"},
                                                {"body part"}}};

} // namespace

PeerTraffic::PeerTraffic()
    : m_entries(emptyEntries)
{
}

void PeerTraffic::record(const PeerMessage &message, std::size_t bytes)
{
    Entry &entry = m_entries[message.index()];
    ++entry.frames;
    entry.bytes += bytes;
}

const PeerTraffic::Entries &PeerTraffic::entries() const
{
    return m_entries;
}

std::uint64_t PeerTraffic::totalBytes() const
{
    return std::accumulate(
        m_entries.begin(), m_entries.end(), std::uint64_t{0}, [](std::uint64_t sum, const Entry &entry) { return sum + entry.bytes; });
}

std::string toText(const PeerTraffic &traffic)
{
    std::string text;
    for (const PeerTraffic::Entry &entry : traffic.entries()) {
        if (entry.frames > 0) {
            text += (text.empty() ? "" : ", ") + std::string(entry.kind) + " " + std::to_string(entry.frames) + "/"
                + std::to_string(entry.bytes);
        }
    }
    return text;
}

} // namespace chervilpaddle
