#pragma once

#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/controllers/policyswitches.h>
#include <chervilpaddle/controllers/repeatbudget.h>

#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! What a node is told at its start: who and where it is. Holds no tuning.
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
    //! Peers to ask while the platform does not answer.
    std::vector<Endpoint> seeds;
    std::string logLevel = "info";
    std::string logFormat = "json";
    //! Plain HTTP calls by published routes, in place of calls under contracts.
    bool servesPlainHttp = false;
    //! Where the platform asks whether callers may be sent here; plain HTTP only.
    Endpoint readiness;
    //! Limits of repeats over all nodes; plain HTTP only.
    RepeatBudget::Options repeats;
    //! Time from the signal to stop until the process is killed; plain HTTP only.
    Duration stopGrace = std::chrono::seconds(10);
    //! Threads that serve callers.
    int threads = 1;
    //! For measurements and tests only; no key in the settings sets it.
    PolicySwitches policy;
};

//! A value given on the command line in place of the file's: "section.key" and the value.
struct SettingOverride
{
    std::string key;
    std::string value;
};

//! Parses and checks a settings text. Appends what is wrong to `problems`.
NodeSettings parseNodeSettings(const std::string &text,
                               const std::string &file,
                               const std::vector<SettingOverride> &overrides,
                               std::vector<Problem> &problems);

} // namespace chervilpaddle
