#include "platformdocuments.h"

namespace chervilpaddle::standins {

namespace {

constexpr int slots = 30;

} // namespace

std::string configurationDocument(const PublishedConfiguration &configuration)
{
    nlohmann::json rules = nlohmann::json::array();
    for (const PublishedRoute &route : configuration.routes) {
        rules.push_back({{"name", route.name},
                         {"kind", route.isIdempotent ? "idempotent" : "non_idempotent"},
                         {"target_latency_s", 1},
                         {"priority", route.priority},
                         {"match", {{"prefix", route.prefix}}},
                         {"action", {{"service", route.service}, {"timeout_s", route.timeoutSeconds}, {"attempts", 2}}}});
    }
    nlohmann::json clusters = nlohmann::json::array();
    for (const std::string &service : configuration.services) {
        clusters.push_back({{"name", service}});
    }
    const nlohmann::json listeners = nlohmann::json::array({{{"host", configuration.host}, {"rules", rules}}});
    return nlohmann::json{
        {"version", configuration.version}, {"limits", configuration.limits}, {"listeners", listeners}, {"clusters", clusters}}
        .dump();
}

nlohmann::json instanceDocument(const PlainBackend::Options &backend, const std::string &dataCentre, const std::string &state)
{
    return {{"service", backend.service},
            {"address", toText(backend.address)},
            {"zone", dataCentre},
            {"version", "v1"},
            {"slots", slots},
            {"state", state},
            {"cold_remaining_s", 0},
            {"sequence", 1},
            {"born", 1000}};
}

} // namespace chervilpaddle::standins
