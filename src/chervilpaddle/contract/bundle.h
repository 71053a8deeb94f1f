#pragma once

#include <chervilpaddle/contract/contract.h>

#include <map>
#include <string>
#include <vector>

namespace chervilpaddle {

//! The list of what is in force: one revision, the customers with the digest of each contract, and the known services.
struct Manifest
{
    Revision revision;
    std::map<CustomerName, std::string> contractDigests;
    std::vector<ServiceName> services;
};

//! All contracts of one revision, checked together. Immutable once built; safe to read from any thread.
struct ContractBundle
{
    Manifest manifest;
    //! The text of each contract, kept so that peers can be served.
    std::map<CustomerName, std::string> texts;
    std::map<CustomerName, Contract> contracts;
    std::string digest;

    //! The terms of a customer's operation, or null.
    const OperationTerms *find(const CustomerName &customer, const OperationName &operation) const;
    bool hasCustomer(const CustomerName &customer) const;
    //! The longest deadline of all contracts; zero where there are none.
    Duration longestDeadline() const;
    //! Services called by operations of `service`, over all contracts.
    std::vector<ServiceName> servicesCalledBy(const ServiceName &service) const;
};

//! Builds and checks a bundle. Deterministic: every node comes to the same verdict on the same texts.
//! Appends what is wrong to `problems`; the bundle is usable only where nothing was appended.
ContractBundle buildBundle(const Manifest &manifest, const std::map<CustomerName, std::string> &texts, std::vector<Problem> &problems);

//! Reads a directory's manifest `bundle.ini` and its contracts `CUSTOMER.ini`, for checking before publishing.
ContractBundle loadBundle(const std::string &directory, std::vector<Problem> &problems);

//! The digest of one contract's text.
std::string contractDigest(const std::string &text);

//! The digest over a manifest's content, its revision included.
std::string manifestDigest(const Manifest &manifest);

//! One row of the limits that follow from a contract.
struct DerivedLimits
{
    CustomerName customer;
    OperationName operation;
    Worth worth;
    Duration deadline{};
    bool needsTicket = false;
    int retryAllowance = 0;
    int depth = 0;
    //! Calls in the tree when nothing fails.
    int treeCalls = 0;
    //! Calls that one request can cost at the most, repeats of whole branches included.
    int maximumCalls = 0;
    double ratePerSecond = 0;
    //! Calls that may arrive at once over all nodes: what the rate brings within one deadline.
    double burst = 0;
};

//! The limits of every operation that may be called from outside.
std::vector<DerivedLimits> deriveLimits(const ContractBundle &bundle);

} // namespace chervilpaddle
