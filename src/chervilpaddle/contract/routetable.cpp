#include <chervilpaddle/contract/routetable.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <set>

namespace chervilpaddle {

namespace {

//! Returns the host in lower case and without its port.
std::string normalisedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    return boost::algorithm::to_lower_copy(std::string(isPort ? host.substr(0, colon) : host));
}

} // namespace

RouteTable::RouteTable(Revision revision, std::vector<Route> routes, std::string document, ClientLimits limits)
    : m_revision(revision)
    , m_document(std::move(document))
    , m_routes(std::move(routes))
    , m_limits(limits)
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        const Route &route = m_routes[index];
        m_indexes.emplace(normalisedHost(route.host) + route.prefix, index);
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    std::string key = normalisedHost(host);
    const std::size_t hostLength = key.size();
    key += path;
    // All prefixes end with a slash, so only the path up to each of its slashes can match.
    for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= hostLength; slash = key.rfind('/')) {
        key.resize(slash + 1);
        if (const auto found = m_indexes.find(key); found != m_indexes.end()) {
            return &m_routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

Revision RouteTable::revision() const
{
    return m_revision;
}

const std::string &RouteTable::document() const
{
    return m_document;
}

const std::vector<Route> &RouteTable::routes() const
{
    return m_routes;
}

const ClientLimits &RouteTable::limits() const
{
    return m_limits;
}

std::vector<ServiceName> RouteTable::services() const
{
    std::set<ServiceName> services;
    for (const Route &route : m_routes) {
        for (const RouteTarget &target : route.targets) {
            services.insert(target.service);
        }
    }
    return {services.begin(), services.end()};
}

} // namespace chervilpaddle
