#pragma once

#include <chervilpaddle/contract/contract.h>

#include <map>
#include <string>
#include <vector>

namespace chervilpaddle {

//! The published index of one configuration revision: the digest of each customer's contract, and the known services.
struct Manifest
{
    Revision revision;
    std::map<CustomerName, std::string> contractDigests;
    std::vector<ServiceName> services;
};

//! All contracts of one revision, validated together. Immutable once built; safe to read from any thread.
struct ContractBundle
{
    Manifest manifest;
    //! The source text of each contract, kept to serve peers that request it.
    std::map<CustomerName, std::string> texts;
    std::map<CustomerName, Contract> contracts;
    std::string digest;

    //! Returns the terms of a customer's operation, or null.
    const OperationTerms *find(const CustomerName &customer, const OperationName &operation) const;
    bool hasCustomer(const CustomerName &customer) const;
    //! The longest deadline of all contracts; zero if there are none.
    Duration longestDeadline() const;
    //! The services that operations of `service` call, over all contracts.
    std::vector<ServiceName> servicesCalledBy(const ServiceName &service) const;
};

//! Builds and validates a bundle. Deterministic: all nodes accept or reject the same texts.
//! Appends errors to `problems`; the bundle is valid only if none were appended.
ContractBundle buildBundle(const Manifest &manifest, const std::map<CustomerName, std::string> &texts, std::vector<Problem> &problems);

//! Loads `bundle.ini` and the contracts `CUSTOMER.ini` of a directory, to validate them before they are published.
ContractBundle loadBundle(const std::string &directory, std::vector<Problem> &problems);

//! The digest of a contract's text, as listed in the manifest.
std::string contractDigest(const std::string &text);

//! The digest of a manifest's content, including its revision.
std::string manifestDigest(const Manifest &manifest);

//! The limits that a contract implies for one operation.
struct DerivedLimits
{
    CustomerName customer;
    OperationName operation;
    Priority priority;
    Duration deadline{};
    bool needsTicket = false;
    int retryAllowance = 0;
    int depth = 0;
    //! Number of calls in the call tree if nothing fails.
    int treeCalls = 0;
    //! Maximum number of calls that one request can cause, including retries of whole branches.
    int maxCalls = 0;
    double ratePerSecond = 0;
    //! Maximum number of simultaneous calls over all nodes: the calls that the rate admits within one deadline.
    double burst = 0;
};

//! The limits of all operations that external clients may call.
std::vector<DerivedLimits> deriveLimits(const ContractBundle &bundle);

} // namespace chervilpaddle
