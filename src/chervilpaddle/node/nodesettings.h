#pragma once

#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/controllers/policyswitches.h>
#include <chervilpaddle/controllers/resourcebudget.h>
#include <chervilpaddle/controllers/retrybudget.h>

#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! Start-up settings of a node: its identity and its addresses. Contains no tuning parameters.
struct NodeSettings
{
    InstanceId instance;
    ServiceName service;
    DataCentreName dataCentre;
    Endpoint callers;
    Endpoint egress;
    Endpoint peers;
    Endpoint operators;
    Endpoint backend;
    Endpoint platform;
    //! Peers to contact while the platform does not answer.
    std::vector<Endpoint> seeds;
    std::string logLevel = "info";
    std::string logFormat = "json";
    //! Serves plain HTTP calls according to published routes, instead of calls under contracts.
    bool servesPlainHttp = false;
    //! Address of the readiness endpoint, which tells the platform whether to send callers here; plain HTTP only.
    Endpoint readiness;
    //! Limits of retries, summed over all nodes; plain HTTP only.
    RetryBudget::Options retryBudget;
    //! Time between SIGTERM and the platform's kill of the process; plain HTTP only.
    Duration shutdownGracePeriod = std::chrono::seconds(10);
    MachineResources machine;
    //! Threads that serve callers.
    int threads = 1;
    //! For benchmarks and tests only; not settable from the settings file.
    PolicySwitches policy;
};

//! A setting from the command line that overrides the settings file. The key is "section.key".
struct SettingOverride
{
    std::string key;
    std::string value;
};

//! Parses and validates the text of a settings file. Appends all errors to `problems`.
NodeSettings parseNodeSettings(const std::string &text,
                               const std::string &file,
                               const std::vector<SettingOverride> &overrides,
                               std::vector<Problem> &problems);

} // namespace chervilpaddle
