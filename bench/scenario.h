#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/controllers/policyswitches.h>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilpaddle::bench {

//! A named policy that is compared with the other variants on the same seeds.
struct Variant
{
    std::string name;
    PolicySwitches policy;
};

//! A class of root requests. Each one runs through the whole chain of services.
struct RootRequestClass
{
    std::string name;
    int worth = 1;
    //! Fraction of all root requests.
    double share = 1;
    //! The operation that callers request.
    std::string operation;
};

//! A load on a chain of simulated services in virtual time, in three phases: warm-up, stress and recovery.
struct Scenario
{
    std::string name;
    int depth = 3;
    int nodesPerService = 3;
    int slots = 10;
    Duration serviceTime = std::chrono::milliseconds(20);
    Duration deadline = std::chrono::milliseconds(1000);
    int retryAllowance = 3;
    //! Maximum number of retries by the caller itself after a failed attempt.
    int callerRetries = 2;
    std::vector<RootRequestClass> requestClasses;
    Duration warmUpDuration = std::chrono::seconds(3);
    Duration stressDuration = std::chrono::seconds(5);
    Duration recoveryDuration = std::chrono::seconds(8);
    //! Offered load as a fraction of the bottleneck's capacity, outside and during the stress phase.
    double steadyLoad = 0.7;
    double stressLoad = 0.7;
    //! Factor on the service time of the deepest service during the stress phase.
    double deepSlowdown = 1;
    //! Whether the first node of the deepest service, a third of its nodes by default, is replaced by a new process when
    //! the stress phase begins.
    bool replacesDeepNode = false;
};

//! Measurements of one scenario under one variant.
struct ScenarioResult
{
    //! Root requests completed in time during the stress phase, as a fraction of the bottleneck's capacity in that phase.
    double goodputShare = 0;
    //! The same weighted by worth, as a fraction of the highest total worth that the capacity allows.
    double worthShare = 0;
    //! Fraction of the root requests of the highest worth that completed in time, over the whole run.
    double topWorthShare = 0;
    //! Slot time spent on root requests that did not complete in time, as a fraction of all slot time.
    double wastedShare = 0;
    //! Time from the end of the stress phase until, for one second, the fraction of root requests that complete in time is
    //! back at 95 % of its warm-up value. Negative if that never happens.
    double recoverySeconds = 0;
    //! Highest number of runs of one root request at one service.
    int maximumRuns = 0;
    //! Root requests completed in time per second, one value for each 100 ms.
    std::vector<double> goodputPerSecond;
};

ScenarioResult runScenario(const Scenario &scenario, const Variant &variant, std::uint64_t seed);

} // namespace chervilpaddle::bench
