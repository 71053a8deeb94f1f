#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/contract/clientlimits.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

using RouteName = StrongString<struct RouteNameTag>;

//! One of the services among which the requests of a route are distributed.
struct RouteTarget
{
    ServiceName service;
    //! The service's share of the requests, relative to the weights of the other targets.
    double weight = 1;
    //! The operation under which calls of this route to this service are counted and queued.
    OperationName operation;
};

//! Targets, priority and limits of the plain HTTP requests with one host and path prefix.
struct Route
{
    RouteName name;
    std::string host;
    std::string prefix;
    std::vector<RouteTarget> targets;
    //! Whether a request may run more than once.
    bool idempotent = false;
    //! The longest time that a request may wait for its response.
    Duration timeout{};
    //! The latency objective: a response within this time has its full value to the client.
    Duration targetLatency{};
    //! Maximum number of backend servers that may receive one request.
    int maxAttempts = 1;
    //! Zero is the highest priority; each step is one priority lower.
    int stepsBelowTopPriority = 0;
};

//! All routes of one configuration revision. Immutable once built; safe to read from any thread.
class RouteTable
{
public:
    //! An empty table of revision zero.
    RouteTable() = default;
    //! Of several routes with the same host and prefix the first one is used. `document` is the source text, kept to serve peers.
    RouteTable(Revision revision, std::vector<Route> routes, std::string document, ClientLimits limits = {});

    //! Returns the route with the longest matching path prefix, or null. `host` may include a port, `target` a query.
    //! The cost depends on the number of path segments, not on the number of routes.
    const Route *match(std::string_view host, std::string_view target) const;

    Revision revision() const;
    const std::string &document() const;
    const std::vector<Route> &routes() const;
    const ClientLimits &limits() const;
    //! The services that are targets of any route.
    std::vector<ServiceName> services() const;

private:
    Revision m_revision;
    std::string m_document;
    std::vector<Route> m_routes;
    ClientLimits m_limits;
    //! Indexes into m_routes, by the concatenation of lower-case host and prefix.
    std::unordered_map<std::string, std::size_t> m_indexes;
};

} // namespace chervilpaddle
