#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <string>
#include <vector>

namespace chervilpaddle::tool {

//! A stream of requests of one customer and operation.
struct LoadStream
{
    std::string name;
    CustomerName customer;
    OperationName operation;
    double ratePerSecond = 0;
    //! Maximum number of retries by the caller after a failed attempt.
    int maximumRetries = 0;
    std::size_t bodyBytes = 64;
    Duration deadline = std::chrono::seconds(1);
    double worth = 1;
    std::vector<Endpoint> targets;
};

//! A phase of a load, in which the rates of the streams are multiplied.
struct LoadPhase
{
    std::string name;
    Duration length{};
    double multiplier = 1;
    //! Multipliers that apply to single streams instead of `multiplier`, by stream name.
    std::vector<std::pair<std::string, double>> streamMultipliers;

    double multiplierFor(const LoadStream &stream) const;
};

//! The settings of a load.
struct LoadPlan
{
    std::uint64_t seed = 1;
    std::vector<LoadStream> streams;
    std::vector<LoadPhase> phases;
};

//! Parses the settings of a load: [load], [stream NAME] and [phase NAME] sections. Appends errors to `problems`.
LoadPlan parseLoadPlan(const std::string &text, const std::string &file, std::vector<Problem> &problems);

} // namespace chervilpaddle::tool
