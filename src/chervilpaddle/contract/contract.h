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

constexpr int minimumWorth = 1;
constexpr int maximumWorth = 1000;
constexpr int maximumRetryAllowance = 100;
constexpr int maximumCallDepth = 21;
constexpr Duration longestDeadline = std::chrono::minutes(5);
//! The platform holds values up to this size.
constexpr std::size_t maximumContractBytes = mebibyte;

//! What one customer's contract says of one operation.
struct OperationTerms
{
    OperationName operation;
    Worth worth{minimumWorth};
    Duration deadline{};
    //! Whether a call may run more than once. A fact of the operation: all contracts agree on it.
    bool idempotent = false;
    //! How many repeats one request of an outside caller may cost over its whole call tree.
    int retryAllowance = 0;
    //! Calls a second that the customer may make from outside, over all nodes; none: only called by other operations.
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

    //! The terms of an operation, or null.
    const OperationTerms *find(const OperationName &operation) const;
};

//! Parses a contract's INI text. Appends what is wrong to `problems`; the contract is usable only where nothing was appended.
Contract parseContract(const std::string &text, const std::string &file, std::vector<Problem> &problems);

//! "250ms", "2s" or "1500us".
std::optional<Duration> parseDuration(const std::string &text);

} // namespace chervilpaddle
