#pragma once

#include <chervilpaddle/filters/entryrequest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! Looks at a request, fills in its part, or refuses with a code. Must be safe to call from several threads.
using Filter = std::function<std::optional<ResultCode>(EntryRequest &)>;

//! Runs filters in a fixed order until one refuses. Immutable once built; safe from several threads.
class FilterChain
{
public:
    struct Refusal
    {
        ResultCode code;
        std::string filter;
    };

    //! Precondition: no request is being run yet.
    void add(const std::string &name, Filter filter);
    std::optional<Refusal> run(EntryRequest &request) const;

private:
    struct Link
    {
        std::string name;
        Filter filter;
    };
    std::vector<Link> m_links;
};

} // namespace chervilpaddle
