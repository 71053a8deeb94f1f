#pragma once

#include <string>

//! The commands of the tool. Each one returns the exit status of the process: 0 on success, 1 on failure (invalid contract,
//! call without outcome "done"), 2 on a usage error or if a node does not respond.
namespace chervilpaddle::tool {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

struct CheckArguments
{
    std::string directory;
    bool json = false;
};
int checkContracts(const CheckArguments &arguments);

struct NodeArguments
{
    std::string address;
};
int showState(const NodeArguments &arguments);
int drainNode(const NodeArguments &arguments);

struct CallArguments
{
    std::string address;
    std::string customer;
    std::string operation;
    std::string body;
    std::string request;
    int deadlineMs = -1;
    bool json = false;
};
int sendCall(const CallArguments &arguments);

struct LoadArguments
{
    std::string file;
    std::string csv;
    std::string svg;
    std::string requests;
    bool json = false;
};
int runLoad(const LoadArguments &arguments);

struct ExplainArguments
{
    int code = 0;
    bool all = false;
};
int explainCode(const ExplainArguments &arguments);

} // namespace chervilpaddle::tool
