#include <chervilpaddle/contract/manifestdocument.h>

#include <nlohmann/json.hpp>

namespace chervilpaddle {

std::optional<Manifest> parseManifest(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    try {
        if (!document.at("revision").is_number_unsigned()) {
            return std::nullopt;
        }
        Manifest manifest;
        manifest.revision = Revision(document.at("revision").get<std::uint64_t>());
        for (const auto &[customer, digest] : document.at("contracts").items()) {
            manifest.contractDigests[CustomerName(customer)] = digest.get<std::string>();
        }
        for (const auto &service : document.at("services")) {
            manifest.services.emplace_back(service.get<std::string>());
        }
        return manifest;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string formatManifest(const Manifest &manifest)
{
    nlohmann::json document = {
        {"revision", manifest.revision.value()}, {"contracts", nlohmann::json::object()}, {"services", nlohmann::json::array()}};
    for (const auto &[customer, digest] : manifest.contractDigests) {
        document["contracts"][customer.value()] = digest;
    }
    for (const ServiceName &service : manifest.services) {
        document["services"].push_back(service.value());
    }
    return document.dump();
}

} // namespace chervilpaddle
