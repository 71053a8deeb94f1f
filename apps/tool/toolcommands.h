#pragma once

#include <string>

//! The commands of the tool. Each returns the process's exit status: 0 for success, 1 for a negative answer
//! (a broken contract, a call that was not done), 2 for a usage error or a node that does not answer.
namespace chervilpaddle::tool {

constexpr int exitNegative = 1;
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
