#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <string>
#include <vector>

namespace chervilpaddle::tool {

//! One kind of request in a load.
struct LoadStream
{
    std::string name;
    CustomerName customer;
    OperationName operation;
    double ratePerSecond = 0;
    //! How often the caller repeats a request that did not end well.
    int repeats = 0;
    std::size_t bodyBytes = 64;
    Duration deadline = std::chrono::seconds(1);
    double worth = 1;
    std::vector<Endpoint> targets;
};

//! A time during which the streams' rates are multiplied.
struct LoadPhase
{
    std::string name;
    Duration length{};
    double multiplier = 1;
    //! Streams with a multiplier of their own.
    std::vector<std::pair<std::string, double>> ownMultipliers;

    double multiplierFor(const LoadStream &stream) const;
};

struct LoadPlan
{
    std::uint64_t seed = 1;
    std::vector<LoadStream> streams;
    std::vector<LoadPhase> phases;
};

//! Parses a load's settings: [load], [stream NAME] and [phase NAME] sections. Appends what is wrong to `problems`.
LoadPlan parseLoadPlan(const std::string &text, const std::string &file, std::vector<Problem> &problems);

} // namespace chervilpaddle::tool
