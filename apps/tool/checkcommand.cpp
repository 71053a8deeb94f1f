#include "toolcommands.h"

#include <chervilpaddle/contract/bundle.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace chervilpaddle::tool {

namespace {

void printProblems(const std::vector<Problem> &problems, bool json)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const Problem &problem : problems) {
        std::fprintf(stderr, "%s\n", toText(problem).c_str());
        rows.push_back({{"code", static_cast<int>(problem.code)},
                        {"file", problem.file},
                        {"line", problem.line},
                        {"key", problem.key},
                        {"reason", problem.reason}});
    }
    if (json) {
        std::printf("%s\n", nlohmann::json({{"valid", false}, {"problems", rows}}).dump().c_str());
    }
}

nlohmann::json toJson(const DerivedLimits &limits)
{
    return {{"customer", limits.customer.value()},
            {"operation", limits.operation.value()},
            {"worth", limits.priority.value()},
            {"deadlineMs", toMilliseconds(limits.deadline)},
            {"needsTicket", limits.needsTicket},
            {"retryGrant", limits.retryAllowance},
            {"depth", limits.depth},
            {"treeCalls", limits.treeCalls},
            {"mostCalls", limits.maxCalls},
            {"ratePerSecond", limits.ratePerSecond},
            {"burst", limits.burst}};
}

void printLimits(const std::vector<DerivedLimits> &rows, bool json)
{
    if (json) {
        nlohmann::json limits = nlohmann::json::array();
        for (const DerivedLimits &row : rows) {
            limits.push_back(toJson(row));
        }
        std::printf("%s\n", nlohmann::json({{"valid", true}, {"limits", limits}}).dump().c_str());
        return;
    }
    std::printf("%-14s %-18s %6s %9s %7s %7s %6s %6s %6s %9s %7s\n",
                "customer",
                "operation",
                "worth",
                "deadline",
                "ticket",
                "grant",
                "depth",
                "calls",
                "most",
                "rate/s",
                "burst");
    for (const DerivedLimits &row : rows) {
        std::printf("%-14s %-18s %6d %7.0fms %7s %7d %6d %6d %6d %9.0f %7.0f\n",
                    row.customer.value().c_str(),
                    row.operation.value().c_str(),
                    row.priority.value(),
                    toMilliseconds(row.deadline),
                    row.needsTicket ? "yes" : "no",
                    row.retryAllowance,
                    row.depth,
                    row.treeCalls,
                    row.maxCalls,
                    row.ratePerSecond,
                    row.burst);
    }
}

} // namespace

int checkContracts(const CheckArguments &arguments)
{
    std::vector<Problem> problems;
    const ContractBundle bundle = loadBundle(arguments.directory, problems);
    if (!problems.empty()) {
        printProblems(problems, arguments.json);
        return exitFailure;
    }
    printLimits(deriveLimits(bundle), arguments.json);
    return 0;
}

int explainCode(const ExplainArguments &arguments)
{
    if (arguments.all) {
        std::printf("| code | name | outcome | HTTP | meaning |\n| --- | --- | --- | --- | --- |\n");
        for (const ResultCodeInfo &row : resultCodeTable()) {
            const int number = static_cast<int>(row.code);
            const bool isCall = number >= 1000 && number < 4000;
            const std::string http = row.httpStatus == 0 ? "-" : std::to_string(row.httpStatus);
            std::printf("| %d | %s | %s | %s | %s |\n",
                        number,
                        row.name,
                        isCall ? outcomeName(outcomeOf(row.code)) : "-",
                        http.c_str(),
                        row.meaning);
        }
        return 0;
    }
    const ResultCodeInfo *row = findResultCode(arguments.code);
    if (row == nullptr) {
        std::fprintf(stderr, "chervilpaddle: %d is not a result code\n", arguments.code);
        return exitUsage;
    }
    std::printf("%d %s: %s\n", arguments.code, row->name, row->meaning);
    return 0;
}

} // namespace chervilpaddle::tool
