#include <chervilpaddle/contract/routetable.h>

#include <chervilpaddle/base/random.h>

#include <criterion/criterion.h>
#include <set>

using namespace chervilpaddle;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = RouteName(name);
    route.host = host;
    route.prefix = prefix;
    route.targets = {{ServiceName("s"), 1, OperationName("s." + name)}};
    return route;
}

std::string matched(const RouteTable &table, const std::string &host, const std::string &target)
{
    const Route *found = table.match(host, target);
    return found == nullptr ? std::string() : found->name.value();
}

//! Reference implementation: linear search over all routes.
std::string matchedLinearly(const std::vector<Route> &routes, const std::string &host, const std::string &path)
{
    const Route *best = nullptr;
    for (const Route &candidate : routes) {
        const bool matches = candidate.host == host && path.compare(0, candidate.prefix.size(), candidate.prefix) == 0;
        if (matches && (best == nullptr || candidate.prefix.size() > best->prefix.size())) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::string() : best->name.value();
}

std::string randomPath(RandomSource &random)
{
    std::string path = "/";
    for (std::size_t segments = uniformIndex(random, 5); segments > 0; --segments) {
        path += std::string(1, static_cast<char>('a' + uniformIndex(random, 3))) + "/";
    }
    return path;
}

} // namespace

Test(routetable, cases)
{
    const RouteTable table(
        Revision(1), {route("root", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "g", "/a/")}, {});
    struct Case
    {
        const char *host;
        const char *target;
        const char *expected;
    };
    const Case cases[] = {{"h", "/a/b/c", "ab"},
                          {"h", "/a/b/", "ab"},
                          {"h", "/a/b", "a"},
                          {"h", "/a", "root"},
                          {"h", "/ab/x", "root"},
                          {"h", "/a/?x=/a/b/", "a"},
                          {"H:8080", "/a/x", "a"},
                          {"g", "/a/x", "other"},
                          {"g", "/b/", ""},
                          {"unknown", "/a/", ""},
                          {"h", "", ""},
                          {"h", "*", ""}};
    for (const Case &c : cases) {
        cr_assert(matched(table, c.host, c.target) == c.expected, "%s%s", c.host, c.target);
    }
}

Test(routetable, agrees_with_a_linear_search)
{
    RandomSource random(3);
    for (int round = 0; round < 50; ++round) {
        std::vector<Route> routes;
        std::set<std::string> seen;
        for (int i = 0; i < 30; ++i) {
            const std::string host = uniformIndex(random, 2) == 0 ? "h" : "g";
            const std::string prefix = randomPath(random);
            if (seen.insert(host + prefix).second) {
                routes.push_back(route("r" + std::to_string(i), host, prefix));
            }
        }
        const RouteTable table(Revision(1), routes, {});
        for (int i = 0; i < 100; ++i) {
            const std::string path = randomPath(random) + (uniformIndex(random, 2) == 0 ? "leaf" : "");
            cr_assert(matched(table, "h", path) == matchedLinearly(routes, "h", path), "%s", path.c_str());
        }
    }
}
