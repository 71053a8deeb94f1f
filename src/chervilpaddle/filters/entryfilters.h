#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/filters/filterchain.h>

namespace chervilpaddle {

class RateTable;

//! What the entry filters read; every hook must be safe from several threads and never block.
struct EntryFilterInputs
{
    Clock clock;
    std::function<bool()> draining;
    std::function<std::shared_ptr<const ContractBundle>()> bundle;
    std::function<std::shared_ptr<const RateTable>()> rates;
};

//! The chain that every outside request passes, in this order: body, contract, deadline, ticket, drain, rank,
//! allowance. A draining node still hands out tickets: they are bound to others.
FilterChain entryFilterChain(const EntryFilterInputs &inputs);

//! The rank of a request: its worth by contract and a fraction by its id, so that every hop prefers the same
//! requests. A caller's repeat ranks below first attempts of the same worth; beyond the contracted rate only the
//! order by worth is kept, below everything within its rate.
Rank rankOf(const RequestId &request, Worth worth, bool isRepeat, bool withinRate);

} // namespace chervilpaddle
