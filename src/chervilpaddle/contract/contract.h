#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/base/units.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

constexpr int minPriority = 1;
constexpr int maxPriority = 1000;
constexpr int maxContractRetryAllowance = 100;
constexpr int maxCallDepth = 21;
constexpr Duration maxDeadline = std::chrono::minutes(5);
//! The platform stores values up to this size.
constexpr std::size_t maxContractBytes = mebibyte;

//! The terms of one operation in one customer's contract.
struct OperationTerms
{
    OperationName operation;
    //! Higher is more important. The key in the contract is `worth`.
    Priority priority{minPriority};
    Duration deadline{};
    //! Whether a call may run more than once. A property of the operation, so all contracts must agree on it.
    bool idempotent = false;
    //! Maximum number of retries that one external request may cause over its whole call tree.
    int retryAllowance = 0;
    //! Rate of external calls that the customer may make, over all nodes. Without it, only other operations may call this one.
    std::optional<double> ratePerSecond;
    std::vector<OperationName> calls;
    int line = 0;
};

//! One customer's contract.
struct Contract
{
    CustomerName customer;
    std::string file;
    std::vector<OperationTerms> operations;

    //! Returns the terms of an operation, or null.
    const OperationTerms *find(const OperationName &operation) const;
};

//! Parses a contract in INI format. Appends errors to `problems`; the contract is valid only if none were appended.
Contract parseContract(const std::string &text, const std::string &file, std::vector<Problem> &problems);

//! Parses a duration such as "250ms", "2s" or "1500us".
std::optional<Duration> parseDuration(const std::string &text);

} // namespace chervilpaddle
