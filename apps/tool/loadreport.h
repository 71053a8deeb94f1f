#pragma once

#include "callclient.h"
#include "loadplan.h"

#include <map>
#include <string>
#include <vector>

namespace chervilpaddle::tool {

//! How one request of a load ended, with all its repeats.
struct LoadOutcome
{
    RequestId request;
    std::size_t stream = 0;
    std::size_t phase = 0;
    TimePoint sent;
    TimePoint ended;
    CallerResult result;
    int callerAttempts = 0;
    //! The answer was not the one that belongs to the request.
    bool foreignAnswer = false;
};

//! Counts of a stream over a phase or over a whole load.
struct LoadTotals
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t doneInTime = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t foreign = 0;
    int mostRepeats = 0;
    std::vector<double> latenciesMs;
    std::map<int, std::uint64_t> codes;

    double latencyQuantile(double share) const;
};

//! Collects outcomes and prints them as a table, as JSON, as CSV or as a plot.
class LoadReport
{
public:
    LoadReport(const LoadPlan &plan, TimePoint start);

    void add(const LoadOutcome &outcome);
    void printTable() const;
    std::string json() const;
    std::string csv() const;
    std::string svg() const;
    //! One line a request: id, operation, outcome, code, repeats spent.
    std::string requests() const;

    //! Whether every request ended in a definite way and with its own answer.
    bool allDefinite() const;

private:
    std::vector<double> goodputPerSecond(bool weighted) const;
    std::size_t intervalCount() const;

    const LoadPlan &m_plan;
    TimePoint m_start;
    std::string m_requests;
    //! By phase, then by stream.
    std::vector<std::vector<LoadTotals>> m_totals;
    struct Interval
    {
        std::uint64_t sent = 0;
        std::uint64_t doneInTime = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
    };
    //! By stream, then by tenth of a second.
    std::vector<std::map<std::size_t, Interval>> m_intervals;
};

} // namespace chervilpaddle::tool
