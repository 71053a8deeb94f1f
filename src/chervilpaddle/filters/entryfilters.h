#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/filters/filterchain.h>

namespace chervilpaddle {

class RateTable;

//! Data sources of the entry filters. All functions must be thread-safe and must not block.
struct EntryFilterInputs
{
    Clock clock;
    std::function<bool()> draining;
    std::function<std::shared_ptr<const ContractBundle>()> bundle;
    std::function<std::shared_ptr<const RateTable>()> rates;
};

//! The filter chain for external requests, in this order: body, contract, deadline, ticket, drain, rank, allowance. The ticket
//! filter precedes the drain filter because a draining node still issues tickets: they are bound to other instances.
FilterChain entryFilterChain(const EntryFilterInputs &inputs);

//! The rank of a request: its contracted priority plus a fraction derived from its id, so that all hops prefer the same
//! requests. Retries by the client rank below first attempts of the same priority. Requests above the contracted rate rank
//! below all requests within their rate, and among themselves by priority.
Rank rankOf(const RequestId &request, Priority priority, bool isRetry, bool withinRate);

} // namespace chervilpaddle
