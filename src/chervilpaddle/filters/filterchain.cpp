#include <chervilpaddle/filters/filterchain.h>

namespace chervilpaddle {

void FilterChain::add(const std::string &name, Filter filter)
{
    m_links.push_back({name, std::move(filter)});
}

std::optional<FilterChain::Refusal> FilterChain::run(EntryRequest &request) const
{
    for (const Link &link : m_links) {
        if (const auto code = link.filter(request); code) {
            return Refusal{*code, link.name};
        }
    }
    return std::nullopt;
}

} // namespace chervilpaddle
