#include "crowdenvironment.h"
#include "executioncheck.h"
#include "meshenvironment.h"
#include "standinbackend.h"
#include "standinplatform.h"
#include "standinrelay.h"

#include <chervilpaddle/base/inidocument.h>

#include <boost/asio/signal_set.hpp>
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

namespace {

using namespace chervilpaddle;
using namespace chervilpaddle::standins;

Endpoint parseEndpointOrThrow(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw CLI::ValidationError("'" + text + "' is not an address");
    }
    return *endpoint;
}

int runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code & /*error*/, int /*signal*/) { context.stop(); });
    context.run();
    return 0;
}

int reportError(std::error_code error)
{
    std::fprintf(stderr, "chervilpaddle-standin: %s (code %d)\n", error.message().c_str(), error.value());
    return 1;
}

struct PlatformArguments
{
    std::string listen;
    std::string contracts;
    std::string instances;
};

int runPlatform(const PlatformArguments &arguments)
{
    boost::asio::io_context context;
    StandinPlatform platform(context, parseEndpointOrThrow(arguments.listen));
    if (!arguments.contracts.empty()) {
        platform.publishContracts(arguments.contracts);
    }
    if (const auto document = readFile(arguments.instances); document) {
        platform.publishInstances(*document);
    }
    if (const std::error_code error = platform.listen(); error) {
        return reportError(error);
    }
    return runUntilSignal(context);
}

struct BackendArguments
{
    std::string listen;
    std::string egress;
    std::string behaviour;
    int slots = 1;
    std::size_t answerBytes = 0;
    std::uint64_t seed = 1;
};

int runBackend(const BackendArguments &arguments)
{
    std::vector<Problem> problems;
    StandinBackend::Options options;
    options.address = parseEndpointOrThrow(arguments.listen);
    options.egress = parseEndpointOrThrow(arguments.egress);
    options.slots = arguments.slots;
    options.answerBytes = arguments.answerBytes;
    options.seed = arguments.seed;
    options.behaviour = parseBehaviour(readFile(arguments.behaviour).value_or(""), arguments.behaviour, problems);
    for (const Problem &problem : problems) {
        std::fprintf(stderr, "%s\n", toText(problem).c_str());
    }
    boost::asio::io_context context;
    StandinBackend backend(context, options);
    if (const std::error_code error = backend.listen(); error || !problems.empty()) {
        return reportError(error);
    }
    return runUntilSignal(context);
}

struct RelayArguments
{
    std::string listen;
    std::string target;
    std::string control;
};

int runRelay(const RelayArguments &arguments)
{
    boost::asio::io_context context;
    StandinRelay relay(
        context, {parseEndpointOrThrow(arguments.listen), parseEndpointOrThrow(arguments.target), parseEndpointOrThrow(arguments.control)});
    if (const std::error_code error = relay.listen(); error) {
        return reportError(error);
    }
    return runUntilSignal(context);
}

//! Runs an environment of nodes that serve plain HTTP until its checks are done.
template<typename Environment, typename Options>
int runEnvironment(const Options &options)
{
    boost::asio::io_context context;
    Environment environment(context, options);
    if (const std::error_code error = environment.listen(); error) {
        return reportError(error);
    }
    int violationCount = 0;
    environment.run([&](int violations) {
        violationCount = violations;
        context.stop();
    });
    runUntilSignal(context);
    return violationCount == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Small stand-ins for what surrounds chervilpaddle, for demonstrations and tests"};
    app.require_subcommand(1);

    PlatformArguments platform;
    auto *platformCommand = app.add_subcommand("platform", "A configuration service that is read and watched");
    platformCommand->add_option("--listen", platform.listen)->required();
    platformCommand->add_option("--contracts", platform.contracts, "Directory of contracts to publish");
    platformCommand->add_option("--instances", platform.instances, "File with the instance list (JSON)");

    BackendArguments backend;
    auto *backendCommand = app.add_subcommand("backend", "A backend server");
    backendCommand->add_option("--listen", backend.listen)->required();
    backendCommand->add_option("--egress", backend.egress, "The node's address for outbound calls")->required();
    backendCommand->add_option("--behaviour", backend.behaviour, "File with the operations (INI)")->required();
    backendCommand->add_option("--slots", backend.slots);
    backendCommand->add_option("--answer-bytes", backend.answerBytes);
    backendCommand->add_option("--seed", backend.seed);

    RelayArguments relay;
    auto *relayCommand = app.add_subcommand("relay", "Passes TCP connections on; can cut, delay or silence them");
    relayCommand->add_option("--listen", relay.listen)->required();
    relayCommand->add_option("--target", relay.target)->required();
    relayCommand->add_option("--control", relay.control)->required();

    ExecutionCheckArguments executionCheck;
    auto *executionCheckCommand = app.add_subcommand("judge", "Compares what callers were told with what backend servers started");
    executionCheckCommand->add_option("--records", executionCheck.records)->required();
    executionCheckCommand->add_option("--requests", executionCheck.requests);
    executionCheckCommand->add_option("--once", executionCheck.once);
    executionCheckCommand->add_option("--most-starts", executionCheck.maximumStarts);

    MeshEnvironmentOptions mesh;
    double meshSeconds = 8;
    auto *meshCommand = app.add_subcommand("mesh", "The store, backend servers and callers round nodes that serve plain HTTP");
    meshCommand->add_option("--port", mesh.port, "The first of eight ports")->required();
    meshCommand->add_option("--seconds", meshSeconds);
    meshCommand->add_option("--rate", mesh.requestsPerSecond);
    meshCommand->add_option("--seed", mesh.seed);
    meshCommand->add_option("--events", mesh.events, "Of: drain, removal, route, down, history, odd, restored, changes, unwritten, silent");
    meshCommand->add_option("--stopped", mesh.stoppedInstance, "Instance that the test stops when told to");
    meshCommand->add_option("--stop-calls", mesh.stopCalls, "What its callers do then: quiet, late, stuck");
    meshCommand->add_option("--spare", mesh.sparedInstances, "Instances to which callers do not send");

    CrowdEnvironmentOptions crowd;
    double crowdSeconds = 8;
    auto *crowdCommand =
        app.add_subcommand("crowd", "The store, backend servers and misbehaving clients round nodes that serve plain HTTP");
    crowdCommand->add_option("--port", crowd.port, "The first of six ports")->required();
    crowdCommand->add_option("--behaviour", crowd.behaviour)->required()->check([](const std::string &name) {
        return findCrowdBehaviour(name) != nullptr ? std::string() : "'" + name + "' is no behaviour";
    });
    crowdCommand->add_option("--clients", crowd.clientsPerNode, "Clients of the crowd at each node");
    crowdCommand->add_option("--nodes", crowd.nodes);
    crowdCommand->add_option("--crowded", crowd.crowdedNodes, "Number of nodes with a crowd");
    crowdCommand->add_option("--door", crowd.doorOffset, "Offset of the port that the crowd connects to");
    crowdCommand->add_option("--target", crowd.target, "Path of the crowd's requests");
    crowdCommand->add_option("--caller-body", crowd.callerBodyBytes, "Size of the bodies of ordinary requests");
    crowdCommand->add_option("--seconds", crowdSeconds, "How long the crowd stays");

    CLI11_PARSE(app, argc, argv);
    if (*meshCommand) {
        mesh.length = fromSeconds(meshSeconds);
        return runEnvironment<MeshEnvironment>(mesh);
    }
    if (*crowdCommand) {
        crowd.length = fromSeconds(crowdSeconds);
        return runEnvironment<CrowdEnvironment>(crowd);
    }
    if (*platformCommand) {
        return runPlatform(platform);
    }
    if (*executionCheckCommand) {
        return checkExecution(executionCheck);
    }
    return *backendCommand ? runBackend(backend) : runRelay(relay);
}
