#include "toolcommands.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    using namespace chervilpaddle::tool;

    CLI::App app{"The chervilpaddle tool: checks contracts, asks nodes, sends calls and loads"};
    app.require_subcommand(1);
    int status = 0;

    CheckArguments check;
    auto *checkCommand = app.add_subcommand(
        "check",
        "Checks a directory of contracts and shows the limits that follow\nExample: chervilpaddle check examples/contracts/tandas");
    checkCommand->add_option("directory", check.directory)->required();
    checkCommand->add_flag("--json", check.json);
    checkCommand->callback([&] { status = checkContracts(check); });

    NodeArguments node;
    auto *stateCommand = app.add_subcommand("state", "Shows all that a node decides from\nExample: chervilpaddle state 127.0.0.1:9004");
    stateCommand->add_option("address", node.address, "The node's address for operators")->required();
    stateCommand->callback([&] { status = showState(node); });
    auto *drainCommand = app.add_subcommand("drain", "Asks a node to take no new work\nExample: chervilpaddle drain 127.0.0.1:9004");
    drainCommand->add_option("address", node.address, "The node's address for operators")->required();
    drainCommand->callback([&] { status = drainNode(node); });

    CallArguments call;
    auto *callCommand = app.add_subcommand(
        "call", "Sends one call; fetches a ticket where one is needed\nExample: chervilpaddle call 127.0.0.1:9001 phones saldos.read");
    callCommand->add_option("address", call.address, "The node's address for callers")->required();
    callCommand->add_option("customer", call.customer)->required();
    callCommand->add_option("operation", call.operation)->required();
    callCommand->add_option("--body", call.body);
    callCommand->add_option("--request", call.request, "The request's id; a repeat names the same one");
    callCommand->add_option("--deadline-ms", call.deadlineMs);
    callCommand->add_flag("--json", call.json);
    callCommand->callback([&] { status = sendCall(call); });

    LoadArguments load;
    auto *loadCommand = app.add_subcommand(
        "load", "Sends an open-loop load in phases\nExample: chervilpaddle load surge.ini --csv surge.csv --svg surge.svg");
    loadCommand->add_option("file", load.file, "The load's settings (INI), see docs/LOAD.md")->required();
    loadCommand->add_option("--csv", load.csv, "Writes counts for each tenth of a second");
    loadCommand->add_option("--svg", load.svg, "Writes a plot of the goodput");
    loadCommand->add_option("--requests", load.requests, "Writes how each request ended");
    loadCommand->add_flag("--json", load.json);
    loadCommand->callback([&] { status = runLoad(load); });

    ExplainArguments explain;
    auto *explainCommand = app.add_subcommand("explain", "Explains a result code\nExample: chervilpaddle explain 2007");
    explainCommand->add_option("code", explain.code);
    explainCommand->add_flag("--all", explain.all, "Prints the whole table as Markdown");
    explainCommand->callback([&] { status = explainCode(explain); });

    CLI11_PARSE(app, argc, argv);
    return status;
}
