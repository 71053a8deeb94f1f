#include <chervilpaddle/controllers/instancelist.h>

#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

const char *const stateLive = "live";
const char *const stateLeaving = "leaving";

PublishedInstance parseInstance(const nlohmann::json &entry)
{
    PublishedInstance instance;
    instance.instance = InstanceId(entry.at("id").get<std::string>());
    instance.service = ServiceName(entry.at("service").get<std::string>());
    instance.dataCentre = DataCentreName(entry.at("dataCentre").get<std::string>());
    const auto address = parseEndpoint(entry.at("address").get<std::string>());
    instance.peerAddress = address.value_or(Endpoint());
    instance.slots = std::max(1, entry.at("slots").get<int>());
    instance.connections = std::max(1, entry.at("connections").get<int>());
    instance.leaving = entry.at("state").get<std::string>() == stateLeaving;
    return instance;
}

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    if (endpoint.host.size() > 2 && endpoint.host.front() == '[' && endpoint.host.back() == ']') {
        endpoint.host = endpoint.host.substr(1, endpoint.host.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.host, error);
    const char *end = text.data() + text.size();
    const auto [parsedEnd, portError] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (error || portError != std::errc() || parsedEnd != end || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::string toText(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

const PublishedInstance *InstanceList::find(const InstanceId &instance) const
{
    const auto found = std::find_if(instances.begin(), instances.end(), [&](const auto &i) { return i.instance == instance; });
    return found == instances.end() ? nullptr : &*found;
}

std::size_t InstanceList::liveCount(const ServiceName &service) const
{
    const auto isLive = [&](const auto &i) { return i.service == service && !i.leaving; };
    return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(), isLive));
}

std::optional<InstanceList> parseInstanceList(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    try {
        if (!document.at("revision").is_number_unsigned()) {
            return std::nullopt;
        }
        InstanceList list;
        list.revision = Revision(document.at("revision").get<std::uint64_t>());
        for (const auto &entry : document.at("instances")) {
            list.instances.push_back(parseInstance(entry));
        }
        list.document = text;
        list.digest = hexDigest(text);
        return list;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string formatInstanceList(const InstanceList &list)
{
    nlohmann::json document = {{"revision", list.revision.value()}, {"instances", nlohmann::json::array()}};
    for (const PublishedInstance &instance : list.instances) {
        document["instances"].push_back({{"id", instance.instance.value()},
                                         {"service", instance.service.value()},
                                         {"dataCentre", instance.dataCentre.value()},
                                         {"address", toText(instance.peerAddress)},
                                         {"slots", instance.slots},
                                         {"connections", instance.connections},
                                         {"state", instance.leaving ? stateLeaving : stateLive}});
    }
    return document.dump();
}

} // namespace chervilpaddle
