#include <chervilpaddle/filters/filterchain.h>

namespace chervilpaddle {

void FilterChain::add(const std::string &name, Filter filter)
{
    m_filters.push_back({name, std::move(filter)});
}

std::optional<FilterChain::Refusal> FilterChain::run(EntryRequest &request) const
{
    for (const NamedFilter &entry : m_filters) {
        if (const auto code = entry.filter(request); code) {
            return Refusal{*code, entry.name};
        }
    }
    return std::nullopt;
}

} // namespace chervilpaddle
