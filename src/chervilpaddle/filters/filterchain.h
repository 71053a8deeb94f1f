#pragma once

#include <chervilpaddle/filters/entryrequest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! Checks a request and sets its fields, or refuses it with a result code. Must be thread-safe.
using Filter = std::function<std::optional<ResultCode>(EntryRequest &)>;

//! Runs filters in the order in which they were added until one refuses. Thread-safe once all filters are added.
class FilterChain
{
public:
    struct Refusal
    {
        ResultCode code;
        std::string filter;
    };

    //! Precondition: run() has not been called yet.
    void add(const std::string &name, Filter filter);
    std::optional<Refusal> run(EntryRequest &request) const;

private:
    struct NamedFilter
    {
        std::string name;
        Filter filter;
    };
    std::vector<NamedFilter> m_filters;
};

} // namespace chervilpaddle
