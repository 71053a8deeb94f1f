#include "executioncheck.h"

#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chervilpaddle::standins {

namespace {

//! Number of starts by operation and request, summed over all backend servers.
using Starts = std::map<std::string, std::map<std::string, int>>;

Starts sumRecords(const std::vector<std::string> &files)
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

int startCount(const Starts &starts, const std::string &operation, const std::string &request)
{
    const auto requests = starts.find(operation);
    if (requests == starts.end()) {
        return 0;
    }
    const auto count = requests->second.find(request);
    return count == requests->second.end() ? 0 : count->second;
}

int checkStarts(const Starts &starts, const ExecutionCheckArguments &arguments)
{
    int violations = 0;
    for (const auto &[operation, requests] : starts) {
        const bool atMostOnce = std::find(arguments.once.begin(), arguments.once.end(), operation) != arguments.once.end();
        for (const auto &[request, count] : requests) {
            const bool isRepeated = atMostOnce && count > 1;
            const bool isOverLimit = arguments.maximumStarts > 0 && count > arguments.maximumStarts;
            if (isRepeated || isOverLimit) {
                std::printf("%s of %s was started %d times\n", operation.c_str(), request.c_str(), count);
                ++violations;
            }
        }
    }
    return violations;
}

int checkOutcomes(const Starts &starts, const std::string &requests)
{
    int violations = 0;
    std::map<std::string, int> outcomes;
    std::istringstream lines(requests);
    std::string request;
    std::string operation;
    std::string outcome;
    std::string code;
    std::string repeats;
    while (lines >> request >> operation >> outcome >> code >> repeats) {
        ++outcomes[outcome];
        const int count = startCount(starts, operation, request);
        if (outcome == "not-run" && count > 0) {
            std::printf("%s of %s was reported as 'not run' (%s) but was started\n", operation.c_str(), request.c_str(), code.c_str());
            ++violations;
        }
        if (outcome == "done" && count == 0) {
            std::printf("%s of %s was reported as 'done' (%s) but was never started\n", operation.c_str(), request.c_str(), code.c_str());
            ++violations;
        }
    }
    for (const auto &[name, count] : outcomes) {
        std::printf("%s: %d\n", name.c_str(), count);
    }
    return violations;
}

} // namespace

int checkExecution(const ExecutionCheckArguments &arguments)
{
    const Starts starts = sumRecords(arguments.records);
    int violations = checkStarts(starts, arguments);
    if (!arguments.requests.empty()) {
        violations += checkOutcomes(starts, readFile(arguments.requests).value_or(""));
    }
    std::printf("violations: %d\n", violations);
    return violations == 0 ? 0 : 1;
}

} // namespace chervilpaddle::standins
