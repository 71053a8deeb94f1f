#include "loadreport.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chervilpaddle::tool {

namespace {

constexpr Duration intervalLength = std::chrono::milliseconds(100);
constexpr double intervalsPerSecond = 10;
constexpr double median = 0.5;
constexpr double p99 = 0.99;

std::size_t intervalOf(TimePoint start, TimePoint time)
{
    return static_cast<std::size_t>(std::max<std::int64_t>(0, (time - start) / intervalLength));
}

} // namespace

double LoadTotals::latencyQuantile(double quantile) const
{
    if (latenciesMs.empty()) {
        return 0;
    }
    std::vector<double> sorted = latenciesMs;
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    return sorted[rank];
}

LoadReport::LoadReport(const LoadPlan &plan, TimePoint start)
    : m_plan(plan)
    , m_start(start)
    , m_totals(plan.phases.size(), std::vector<LoadTotals>(plan.streams.size()))
    , m_intervals(plan.streams.size())
{
}

void LoadReport::add(const LoadOutcome &outcome)
{
    LoadTotals &totals = m_totals[outcome.phase][outcome.stream];
    Interval &startInterval = m_intervals[outcome.stream][intervalOf(m_start, outcome.sent)];
    Interval &endInterval = m_intervals[outcome.stream][intervalOf(m_start, outcome.ended)];
    m_requests += outcome.request.value() + ' ' + m_plan.streams[outcome.stream].operation.value() + ' '
        + outcomeName(outcome.result.outcome) + ' ' + std::to_string(static_cast<int>(outcome.result.code)) + ' '
        + std::to_string(outcome.result.repeatsSpent) + '\n';
    ++totals.sent;
    ++startInterval.sent;
    ++totals.codes[static_cast<int>(outcome.result.code)];
    totals.maximumRetries = std::max(totals.maximumRetries, outcome.result.repeatsSpent);
    totals.mismatched += outcome.isMismatched ? 1 : 0;
    const Duration latency = outcome.ended - outcome.sent;
    switch (outcome.result.outcome) {
    case Outcome::Done:
        if (outcome.result.code == ResultCode::DoneWithError) {
            ++totals.failed;
            break;
        }
        ++totals.done;
        totals.latenciesMs.push_back(toMilliseconds(latency));
        if (latency <= m_plan.streams[outcome.stream].deadline) {
            ++totals.doneInTime;
            ++endInterval.doneInTime;
        }
        break;
    case Outcome::NotRun:
        ++totals.notRun;
        ++endInterval.notRun;
        break;
    case Outcome::Unknown:
        ++totals.unknown;
        ++endInterval.unknown;
        break;
    }
}

void LoadReport::printTable() const
{
    std::printf("%-12s %-26s %8s %8s %8s %8s %8s %8s %8s %9s %9s\n",
                "phase",
                "stream",
                "sent",
                "done",
                "in time",
                "failed",
                "not run",
                "unknown",
                "repeats",
                "p50 ms",
                "p99 ms");
    for (std::size_t phase = 0; phase < m_totals.size(); ++phase) {
        for (std::size_t stream = 0; stream < m_totals[phase].size(); ++stream) {
            const LoadTotals &totals = m_totals[phase][stream];
            if (totals.sent == 0) {
                continue;
            }
            std::printf("%-12s %-26s %8llu %8llu %8llu %8llu %8llu %8llu %8d %9.2f %9.2f\n",
                        m_plan.phases[phase].name.c_str(),
                        m_plan.streams[stream].name.c_str(),
                        static_cast<unsigned long long>(totals.sent),
                        static_cast<unsigned long long>(totals.done),
                        static_cast<unsigned long long>(totals.doneInTime),
                        static_cast<unsigned long long>(totals.failed),
                        static_cast<unsigned long long>(totals.notRun),
                        static_cast<unsigned long long>(totals.unknown),
                        totals.maximumRetries,
                        totals.latencyQuantile(median),
                        totals.latencyQuantile(p99));
        }
    }
}

std::string LoadReport::json() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t phase = 0; phase < m_totals.size(); ++phase) {
        for (std::size_t stream = 0; stream < m_totals[phase].size(); ++stream) {
            const LoadTotals &totals = m_totals[phase][stream];
            nlohmann::json codes = nlohmann::json::object();
            for (const auto &[code, count] : totals.codes) {
                codes[std::to_string(code)] = count;
            }
            rows.push_back({{"phase", m_plan.phases[phase].name},
                            {"stream", m_plan.streams[stream].name},
                            {"worth", m_plan.streams[stream].worth},
                            {"seconds", toSeconds(m_plan.phases[phase].length)},
                            {"sent", totals.sent},
                            {"done", totals.done},
                            {"doneInTime", totals.doneInTime},
                            {"failed", totals.failed},
                            {"notRun", totals.notRun},
                            {"unknown", totals.unknown},
                            {"foreign", totals.mismatched},
                            {"mostRepeats", totals.maximumRetries},
                            {"p50Ms", totals.latencyQuantile(median)},
                            {"p99Ms", totals.latencyQuantile(p99)},
                            {"codes", codes}});
        }
    }
    return nlohmann::json({{"rows", rows}, {"goodput", goodputPerSecond(false)}}).dump();
}

std::string LoadReport::csv() const
{
    std::ostringstream text;
    text << "seconds,stream,sent,done_in_time,not_run,unknown\n";
    for (std::size_t stream = 0; stream < m_intervals.size(); ++stream) {
        for (const auto &[number, interval] : m_intervals[stream]) {
            text << static_cast<double>(number) / intervalsPerSecond << ',' << m_plan.streams[stream].name << ',' << interval.sent << ','
                 << interval.doneInTime << ',' << interval.notRun << ',' << interval.unknown << '\n';
        }
    }
    return text.str();
}

std::string LoadReport::requests() const
{
    return m_requests;
}

std::size_t LoadReport::intervalCount() const
{
    Duration length{};
    for (const LoadPhase &phase : m_plan.phases) {
        length += phase.length;
    }
    return static_cast<std::size_t>(length / intervalLength) + 1;
}

std::vector<double> LoadReport::goodputPerSecond(bool weighted) const
{
    std::vector<double> goodput(intervalCount(), 0);
    for (std::size_t stream = 0; stream < m_intervals.size(); ++stream) {
        const double weight = weighted ? m_plan.streams[stream].worth : 1;
        for (const auto &[number, interval] : m_intervals[stream]) {
            if (number < goodput.size()) {
                goodput[number] += weight * static_cast<double>(interval.doneInTime) * intervalsPerSecond;
            }
        }
    }
    return goodput;
}

std::string LoadReport::svg() const
{
    constexpr double width = 900;
    constexpr double height = 300;
    constexpr double margin = 40;
    const std::vector<double> goodput = goodputPerSecond(false);
    const double highest = std::max(1.0, *std::max_element(goodput.begin(), goodput.end()));
    std::ostringstream text;
    text << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height << "'>\n"
         << "<rect width='100%' height='100%' fill='white'/>\n<text x='" << margin
         << "' y='20' font-size='14'>requests done in time, each second (highest " << highest << ")</text>\n"
         << "<polyline fill='none' stroke='steelblue' stroke-width='1.5' points='";
    for (std::size_t number = 0; number < goodput.size(); ++number) {
        const double x = margin + (width - 2 * margin) * static_cast<double>(number) / static_cast<double>(goodput.size());
        const double y = height - margin - (height - 2 * margin) * goodput[number] / highest;
        text << x << ',' << y << ' ';
    }
    text << "'/>\n";
    Duration phaseStart{};
    for (const LoadPhase &phase : m_plan.phases) {
        const double x =
            margin + (width - 2 * margin) * static_cast<double>(phaseStart / intervalLength) / static_cast<double>(goodput.size());
        text << "<line x1='" << x << "' x2='" << x << "' y1='30' y2='" << height - margin << "' stroke='grey'/><text x='" << x + 3
             << "' y='" << height - margin + 15 << "' font-size='12'>" << phase.name << "</text>\n";
        phaseStart += phase.length;
    }
    text << "</svg>\n";
    return text.str();
}

bool LoadReport::isConclusive() const
{
    for (const auto &phase : m_totals) {
        for (const LoadTotals &totals : phase) {
            if (totals.unknown != 0 || totals.mismatched != 0) {
                return false;
            }
        }
    }
    return true;
}

} // namespace chervilpaddle::tool
