#include <chervilpaddle/node/statedump.h>

#include <chervilpaddle/node/nodecore.h>

#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

using nlohmann::json;

json configurationState(const NodeCore &core)
{
    const DocumentVersion version = core.configuration().version();
    json state = {{"revision", version.revision.value()},
                  {"digest", version.digest},
                  {"refusedRevision", core.configuration().rejectedRevision().value()}};
    state["refusalReasons"] = json::array();
    for (const Problem &problem : core.configuration().rejectionReasons()) {
        state["refusalReasons"].push_back(toText(problem));
    }
    const SyncCounters &counters = core.sync().counters();
    state["isReader"] = core.sync().isReader();
    state["platformReads"] = counters.reads;
    state["platformWatches"] = counters.watches;
    state["platformFailures"] = counters.failures;
    state["learntFromPeers"] = counters.updatesFromPeers;
    state["learntFromPlatform"] = counters.updatesFromPlatform;
    return state;
}

json membershipState(const NodeCore &core)
{
    const auto list = core.membership().current();
    json state = {{"revision", list->revision.value()}, {"digest", list->digest}, {"instances", list->instances.size()}};
    state["ageMs"] = list->revision.value() == 0 ? -1.0 : toMilliseconds(core.clock()() - core.membership().appliedAt());
    return state;
}

json executorState(const NodeCore &core)
{
    const Executor &executor = core.executor();
    const ExecutorCounters &counters = executor.counters();
    return {{"running", executor.running()},
            {"heldAllowance", executor.remainingRetryAllowance()},
            {"slotLimit", executor.slotLimit()},
            {"queued", executor.queued()},
            {"price", executor.localPrice()},
            {"meanServiceMs", toMilliseconds(executor.meanServiceTime())},
            {"draining", executor.isDraining()},
            {"arrivals", counters.arrivals},
            {"started", counters.started},
            {"finished", counters.finished},
            {"shed", counters.shed},
            {"expired", counters.expired},
            {"duplicates", counters.duplicates},
            {"refusedLeaving", counters.refusedDraining},
            {"tickets",
             {{"records", executor.tickets().size()},
              {"minters", executor.tickets().issuerCount()},
              {"answerBytes", executor.tickets().responseBytes()}}}};
}

json routerState(const NodeCore &core)
{
    const RouterCounters &counters = core.router().counters();
    return {{"outstanding", core.router().outstanding()},
            {"calls", counters.calls},
            {"attempts", counters.attempts},
            {"repeats", counters.retries},
            {"refusedByPrice", counters.refusedByPrice},
            {"resent", counters.resent},
            {"lateAnswers", counters.lateResponses}};
}

json priceState(const NodeCore &core)
{
    json state = json::object();
    for (const auto &[instance, operations] : core.router().picker().prices().current(core.clock()())) {
        for (const auto &[operation, price] : operations) {
            state[instance.value()][operation.value()] = price;
        }
    }
    return state;
}

json linkStates(const NodeCore &core)
{
    json states = json::array();
    for (const LinkState &link : core.links().linkStates()) {
        states.push_back({{"instance", link.instance.value()},
                          {"incarnation", link.incarnation.value()},
                          {"open", link.isOpen},
                          {"inDoubt", link.isSuspected},
                          {"leaving", link.draining},
                          {"failedDials", link.failedDials},
                          {"silentMs", toMilliseconds(link.timeSinceReceived)}});
    }
    return states;
}

json linkState(const NodeCore &core)
{
    return {{"links", core.links().linkCount()},
            {"connections", core.links().connectionCount()},
            {"states", linkStates(core)},
            {"bytesSent", core.transport().sent().totalBytes()},
            {"bytesReceived", core.transport().received().totalBytes()}};
}

} // namespace

std::string stateDump(const NodeCore &core)
{
    const NodeSettings &settings = core.settings();
    const json state = {{"instance", settings.instance.value()},
                        {"service", settings.service.value()},
                        {"dataCentre", settings.dataCentre.value()},
                        {"incarnation", core.incarnation().value()},
                        {"ready", core.isReady()},
                        {"draining", core.isDraining()},
                        {"drained", core.isDrained()},
                        {"configuration", configurationState(core)},
                        {"membership", membershipState(core)},
                        {"executor", executorState(core)},
                        {"router", routerState(core)},
                        {"prices", priceState(core)},
                        {"peers", linkState(core)}};
    constexpr int indent = 2;
    return state.dump(indent);
}

} // namespace chervilpaddle
