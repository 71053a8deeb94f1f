#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

using RouteName = StrongString<struct RouteNameTag>;

//! One of the services that share the requests of a route.
struct RouteTarget
{
    ServiceName service;
    //! The service's part of the requests, in proportion to those of the other targets.
    double weight = 1;
    //! What calls of this route to this service are counted and queued as.
    OperationName operation;
};

//! What plain HTTP requests of one host and path prefix are worth and may cost.
struct Route
{
    RouteName name;
    std::string host;
    std::string prefix;
    std::vector<RouteTarget> targets;
    //! Whether a request may run more than once.
    bool idempotent = false;
    //! The longest that a request is kept waiting.
    Duration timeout{};
    //! An answer within this time earns the request's whole worth.
    Duration targetLatency{};
    //! The most backend servers that may see one request.
    int maximumAttempts = 1;
    //! Importance; zero is the highest.
    int priority = 0;
};

//! All routes of one version. Immutable once built; safe to read from any thread.
class RouteTable
{
public:
    //! An empty table of revision zero.
    RouteTable() = default;
    //! Of two routes with the same host and prefix the first counts. `document` is kept so that peers can be served.
    RouteTable(Revision revision, std::vector<Route> routes, std::string document);

    //! The route with the longest prefix of the path, or null. The host may carry a port; the path may carry a query.
    //! Takes time in proportion to the path's segments, not to the number of routes.
    const Route *match(std::string_view host, std::string_view target) const;

    Revision revision() const;
    const std::string &document() const;
    const std::vector<Route> &routes() const;
    //! Services that any route leads to.
    std::vector<ServiceName> services() const;

private:
    Revision m_revision;
    std::string m_document;
    std::vector<Route> m_routes;
    //! Positions in m_routes by lower-case host and prefix, joined.
    std::unordered_map<std::string, std::size_t> m_positions;
};

} // namespace chervilpaddle
