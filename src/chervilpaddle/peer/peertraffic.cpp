#include <chervilpaddle/peer/peertraffic.h>

#include <numeric>

namespace chervilpaddle {

namespace {

struct KindName
{
    const char *operator()(const HelloMessage & /*message*/) const
    {
        return "hello";
    }
    const char *operator()(const CallMessage & /*message*/) const
    {
        return "call";
    }
    const char *operator()(const ResponseMessage & /*message*/) const
    {
        return "response";
    }
    const char *operator()(const CancelMessage & /*message*/) const
    {
        return "cancel";
    }
    const char *operator()(const VoidTicketMessage & /*message*/) const
    {
        return "void";
    }
    const char *operator()(const StatusMessage & /*message*/) const
    {
        return "status";
    }
    const char *operator()(const ConfigurationRequest & /*message*/) const
    {
        return "configuration request";
    }
    const char *operator()(const ConfigurationMessage & /*message*/) const
    {
        return "configuration";
    }
    const char *operator()(const InstancesRequest & /*message*/) const
    {
        return "instances request";
    }
    const char *operator()(const InstancesMessage & /*message*/) const
    {
        return "instances";
    }
};

template<std::size_t... indexes>
PeerTraffic::Entries emptyEntries(std::index_sequence<indexes...> /*indexes*/)
{
    return {PeerTraffic::Entry{KindName()(std::variant_alternative_t<indexes, PeerMessage>()), 0, 0}...};
}

} // namespace

PeerTraffic::PeerTraffic()
    : m_entries(emptyEntries(std::make_index_sequence<std::variant_size_v<PeerMessage>>()))
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
