#include "scenario.h"

#include <algorithm>
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

namespace {

using namespace chervilpaddle;
using namespace chervilpaddle::bench;

std::vector<RootRequestClass> mixedRequestClasses()
{
    return {{"payout", 900, 0.1, "s0.run"}, {"status", 300, 0.3, "s0.run"}, {"browse", 100, 0.6, "s0.run"}};
}

Scenario base(const std::string &name)
{
    Scenario scenario;
    scenario.name = name;
    scenario.requestClasses = mixedRequestClasses();
    return scenario;
}

std::vector<Scenario> scenarios(bool quick)
{
    std::vector<Scenario> all;
    Scenario steady = base("steady 0.7");
    Scenario surge2 = base("surge 2x");
    surge2.stressLoad = 2;
    Scenario surge5 = base("surge 5x");
    surge5.stressLoad = 5;
    if (quick) {
        return {surge2};
    }
    Scenario slow = base("deep slow 3x, surge 1.4x");
    slow.stressLoad = 1.4;
    slow.deepSlowdown = 3;
    slow.callerRetries = 5;
    Scenario slowSteady = base("deep slow 3x at 0.7");
    slowSteady.deepSlowdown = 3;
    Scenario cold = base("a third replaced at 0.9");
    cold.steadyLoad = 0.9;
    cold.stressLoad = 0.9;
    cold.replacesDeepNode = true;
    Scenario two = base("surge 2x, 2 deep");
    two.depth = 2;
    two.stressLoad = 2;
    Scenario five = base("surge 2x, 5 deep");
    five.depth = 5;
    five.stressLoad = 2;
    Scenario deep = base("surge 2x, 21 deep");
    deep.depth = 21;
    deep.stressLoad = 2;
    deep.serviceTime = std::chrono::milliseconds(10);
    deep.slots = 4;
    return {steady, surge2, surge5, slow, slowSteady, cold, two, five, deep};
}

std::vector<Variant> variants(bool ablations)
{
    std::vector<Variant> all = {{"a direct", passThroughPolicy()}, {"b usual", conventionalPolicy()}, {"c full", fullPolicy()}};
    if (!ablations) {
        return all;
    }
    Variant noPrice{"c - price", fullPolicy()};
    noPrice.policy.price = false;
    Variant noWorth{"c - worth order", fullPolicy()};
    noWorth.policy.priorityOrder = false;
    Variant noAllowance{"c - allowance", fullPolicy()};
    noAllowance.policy.retryAllowance = false;
    Variant noDeadline{"c - deadline drop", fullPolicy()};
    noDeadline.policy.deadlineEnforcement = false;
    all.insert(all.end(), {noPrice, noWorth, noAllowance, noDeadline});
    return all;
}

struct Spread
{
    double low = 0;
    double median = 0;
    double high = 0;
};

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

template<typename Member>
Spread spreadOf(const std::vector<ScenarioResult> &results, Member member)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const ScenarioResult &result : results) {
        values.push_back(static_cast<double>(result.*member));
    }
    return spreadOf(std::move(values));
}

void printRow(const Scenario &scenario, const Variant &variant, const std::vector<ScenarioResult> &results)
{
    const Spread goodput = spreadOf(results, &ScenarioResult::goodputShare);
    const Spread recovery = spreadOf(results, &ScenarioResult::recoverySeconds);
    const bool recovers = recovery.low >= 0;
    char recoveryText[32] = {};
    std::snprintf(recoveryText, sizeof recoveryText, recovers ? "%.1f" : "never", recovery.high);
    std::printf("| %s | %s | %.3f (%.3f-%.3f) | %.3f | %.4f | %.3f | %s | %.0f |\n",
                scenario.name.c_str(),
                variant.name.c_str(),
                goodput.median,
                goodput.low,
                goodput.high,
                spreadOf(results, &ScenarioResult::worthShare).median,
                spreadOf(results, &ScenarioResult::topWorthShare).median,
                spreadOf(results, &ScenarioResult::wastedShare).median,
                recoveryText,
                spreadOf(results, &ScenarioResult::maximumRuns).high);
    std::fflush(stdout);
}

void writeTimeline(const std::string &path, const std::string &variant, const std::vector<double> &goodput)
{
    std::ofstream file(path, std::ios::app);
    for (std::size_t i = 0; i < goodput.size(); ++i) {
        file << variant << ',' << static_cast<double>(i) / 10 << ',' << goodput[i] << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    bool quick = false;
    bool ablations = false;
    int seeds = 5;
    std::string scenarioFilter;
    std::string timeline;
    std::string variantFilter;
    CLI::App app{"Measures the decisions in virtual time against two baselines, on the same seeds"};
    app.add_flag("--quick", quick, "Only the surge, three seeds");
    app.add_flag("--ablations", ablations, "Also the design less each mechanism");
    app.add_option("--seeds", seeds);
    app.add_option("--only", scenarioFilter, "Only scenarios whose name holds this");
    app.add_option("--variant", variantFilter, "Only variants whose name holds this");
    app.add_option("--timeline", timeline, "Appends the goodput over time of the first seed to a CSV file");
    CLI11_PARSE(app, argc, argv);
    if (quick) {
        seeds = std::min(seeds, 3);
    }

    std::printf("| case | variant | goodput of capacity, median (spread) | worth of best | top worth served | wasted | recovery s | most "
                "runs a root |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Scenario &scenario : scenarios(quick)) {
        if (scenario.name.find(scenarioFilter) == std::string::npos) {
            continue;
        }
        for (const Variant &variant : variants(ablations)) {
            if (variant.name.find(variantFilter) == std::string::npos) {
                continue;
            }
            std::vector<ScenarioResult> results;
            for (int seed = 1; seed <= seeds; ++seed) {
                results.push_back(runScenario(scenario, variant, static_cast<std::uint64_t>(seed)));
            }
            printRow(scenario, variant, results);
            if (!timeline.empty()) {
                writeTimeline(timeline, scenario.name + "," + variant.name, results.front().goodputPerSecond);
            }
        }
    }
    return 0;
}
