#include "judge.h"

#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chervilpaddle::standins {

namespace {

//! Starts by operation and request, over all backend servers.
using Starts = std::map<std::string, std::map<std::string, int>>;

Starts mergeRecords(const std::vector<std::string> &files)
{
    Starts starts;
    for (const std::string &file : files) {
        const auto record = nlohmann::json::parse(readFile(file).value_or(""), nullptr, false);
        if (!record.is_object()) {
            continue;
        }
        for (const auto &[operation, requests] : record.at("started").items()) {
            for (const auto &[request, count] : requests.items()) {
                starts[operation][request] += count.get<int>();
            }
        }
    }
    return starts;
}

int startsOf(const Starts &starts, const std::string &operation, const std::string &request)
{
    const auto requests = starts.find(operation);
    if (requests == starts.end()) {
        return 0;
    }
    const auto count = requests->second.find(request);
    return count == requests->second.end() ? 0 : count->second;
}

int checkStarts(const Starts &starts, const JudgeArguments &arguments)
{
    int broken = 0;
    for (const auto &[operation, requests] : starts) {
        const bool once = std::find(arguments.once.begin(), arguments.once.end(), operation) != arguments.once.end();
        for (const auto &[request, count] : requests) {
            const bool twice = once && count > 1;
            const bool tooOften = arguments.mostStarts > 0 && count > arguments.mostStarts;
            if (twice || tooOften) {
                std::printf("%s of %s was started %d times\n", operation.c_str(), request.c_str(), count);
                ++broken;
            }
        }
    }
    return broken;
}

int checkOutcomes(const Starts &starts, const std::string &requests)
{
    int broken = 0;
    std::map<std::string, int> outcomes;
    std::istringstream lines(requests);
    std::string request;
    std::string operation;
    std::string outcome;
    std::string code;
    std::string repeats;
    while (lines >> request >> operation >> outcome >> code >> repeats) {
        ++outcomes[outcome];
        const int count = startsOf(starts, operation, request);
        if (outcome == "not-run" && count > 0) {
            std::printf("%s of %s was told 'not run' (%s) but was started\n", operation.c_str(), request.c_str(), code.c_str());
            ++broken;
        }
        if (outcome == "done" && count == 0) {
            std::printf("%s of %s was told 'done' (%s) but was never started\n", operation.c_str(), request.c_str(), code.c_str());
            ++broken;
        }
    }
    for (const auto &[name, count] : outcomes) {
        std::printf("%s: %d\n", name.c_str(), count);
    }
    return broken;
}

} // namespace

int judge(const JudgeArguments &arguments)
{
    const Starts starts = mergeRecords(arguments.records);
    int broken = checkStarts(starts, arguments);
    if (!arguments.requests.empty()) {
        broken += checkOutcomes(starts, readFile(arguments.requests).value_or(""));
    }
    std::printf("broken: %d\n", broken);
    return broken == 0 ? 0 : 1;
}

} // namespace chervilpaddle::standins
