#pragma once

#include "callclient.h"
#include "loadplan.h"

#include <map>
#include <string>
#include <vector>

namespace chervilpaddle::tool {

//! The result of one request of a load, including all retries.
struct LoadOutcome
{
    RequestId request;
    std::size_t stream = 0;
    std::size_t phase = 0;
    TimePoint sent;
    TimePoint ended;
    CallerResult result;
    int callerAttempts = 0;
    //! The response belongs to another request.
    bool isMismatched = false;
};

//! Counters of one stream in one phase.
struct LoadTotals
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t doneInTime = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t mismatched = 0;
    int maximumRetries = 0;
    std::vector<double> latenciesMs;
    std::map<int, std::uint64_t> codes;

    double latencyQuantile(double quantile) const;
};

//! Collects the outcomes of a load and formats them as a table, JSON, CSV or an SVG plot.
class LoadReport
{
public:
    LoadReport(const LoadPlan &plan, TimePoint start);

    void add(const LoadOutcome &outcome);
    void printTable() const;
    std::string json() const;
    std::string csv() const;
    std::string svg() const;
    //! One line for each request: id, operation, outcome, result code, retries spent.
    std::string requests() const;

    //! Whether no outcome is unknown and every response belongs to its request.
    bool isConclusive() const;

private:
    std::vector<double> goodputPerSecond(bool weighted) const;
    std::size_t intervalCount() const;

    const LoadPlan &m_plan;
    TimePoint m_start;
    std::string m_requests;
    //! Indexed by phase, then by stream.
    std::vector<std::vector<LoadTotals>> m_totals;
    struct Interval
    {
        std::uint64_t sent = 0;
        std::uint64_t doneInTime = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
    };
    //! Indexed by stream, then by 100 ms interval.
    std::vector<std::map<std::size_t, Interval>> m_intervals;
};

} // namespace chervilpaddle::tool
