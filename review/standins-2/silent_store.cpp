// All open connections to the platform's store go silent for good, while new ones work. Then an endpoint reports that it leaves.
// Checks the rule DRAIN: no request may reach it later than drain_s after the store has accepted the report.
#include "world.h"

using namespace world;

namespace {

constexpr double drainSeconds = 2; // Bound drain_s.
constexpr double touchSeconds = 3; // Bound stable_window_s.
//! An endpoint that has reported `draining` serves for drain_s and "a little longer", then it exits.
constexpr double littleLonger = 1;

struct Machine
{
    std::string name;
    std::string ip;
    std::string service;
    std::string zone;
    int pid = 0;
    std::unique_ptr<Endpoint> endpoint;
    std::unique_ptr<Load> load;
};

//! NAME,IP,SERVICE,ZONE,PID
std::unique_ptr<Machine> parseMachine(const std::string &text)
{
    auto machine = std::make_unique<Machine>();
    std::vector<std::string> parts;
    for (std::size_t begin = 0, end = 0; end != std::string::npos; begin = end + 1) {
        end = text.find(',', begin);
        parts.push_back(text.substr(begin, end - begin));
    }
    machine->name = parts.at(0);
    machine->ip = parts.at(1);
    machine->service = parts.at(2);
    machine->zone = parts.at(3);
    machine->pid = std::atoi(parts.at(4).c_str());
    return machine;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    origin();
    const int port = std::atoi(argv[1]);
    const bool isTroubled = std::string(argv[2]) != "0";
    Record record(argv[3]);
    Store store("127.0.0.2", port);
    Relay relay("127.0.0.1", port, "127.0.0.2", port);
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 4; i < argc; ++i) {
        machines.push_back(parseMachine(argv[i]));
    }
    store.put("op/config",
              configuration(1,
                            "circle.example",
                            {{"pay", "/pay/", "non_idempotent", "pagos", 2}, {"look", "/look/", "idempotent", "saldos", 2}},
                            {"pagos", "saldos"}));
    for (const auto &machine : machines) {
        machine->endpoint = std::make_unique<Endpoint>(
            Endpoint::Options{"i-" + machine->name, machine->service, machine->zone, machine->ip, port + 5, 100, 0.2}, store, record);
    }
    for (const auto &machine : machines) {
        if (!waitReady(machine->ip, port + 3, 15)) {
            record.line("node %s did not become ready", machine->name.c_str());
            return 2;
        }
    }
    sleepFor(2);
    for (const auto &machine : machines) {
        machine->load = std::make_unique<Load>(record, "circle.example");
        machine->load->add(machine->ip, port + 1, 6, 15, "POST", "/pay/turn", 3000);
        machine->load->add(machine->ip, port + 1, 2, 5, "GET", "/look/round", 3000);
    }
    int broken = 0;
    std::string summary;
    // In the last round the report is accepted 1.1 s after the connections went silent, in the others once 3 s have passed.
    const double reportDelays[] = {3.1, 3.1, 3.1, 1.1};
    for (int round = 0; round < 4; ++round) {
        Machine &leaving = *machines[static_cast<std::size_t>(round)];
        sleepFor(6);
        const double silentAt = now();
        record.line("ROUND %d: %d connections to the store %s",
                    round + 1,
                    isTroubled ? relay.silence() : 0,
                    isTroubled ? "go silent" : "are left alone");
        sleepUntil(silentAt + reportDelays[round]);
        const double acceptedAt = leaving.endpoint->drain();
        record.line("ROUND %d: the store has accepted that %s is draining, %.3f s after the silence",
                    round + 1,
                    leaving.endpoint->options().id.c_str(),
                    acceptedAt - silentAt);
        sleepUntil(acceptedAt + drainSeconds + littleLonger);
        leaving.endpoint->end();
        const double endedAt = now();
        record.line("ROUND %d: %s has ended", round + 1, leaving.endpoint->options().id.c_str());
        sleepFor(3.5);
        std::map<std::string, Attempt> attempts;
        for (const auto &machine : machines) {
            for (const Attempt &attempt : machine->load->attempts()) {
                attempts[attempt.id + "@" + attempt.node] = attempt;
            }
        }
        leaving.load->stop();
        kill(leaving.pid, SIGTERM);
        int late = 0;
        int cut = 0;
        double last = 0;
        for (const Run &run : leaving.endpoint->runs()) {
            last = std::max(last, run.at);
            const auto attempt =
                std::find_if(attempts.begin(), attempts.end(), [&run](const auto &entry) { return entry.second.id == run.request; });
            const bool isSentInTouch = attempt != attempts.end() && attempt->second.sentAt > silentAt + touchSeconds;
            if (run.at > acceptedAt + drainSeconds && isSentInTouch) {
                ++late;
                record.line(
                    "ROUND %d: DRAIN: %s, sent to the node at %s %.3f s after the silence, reached %s %.3f s after the acknowledgement, "
                    "and was answered %d",
                    round + 1,
                    run.request.c_str(),
                    attempt->second.node.c_str(),
                    attempt->second.sentAt - silentAt,
                    leaving.endpoint->options().id.c_str(),
                    run.at - acceptedAt,
                    attempt->second.status);
                cut += run.isFinished ? 0 : 1;
            }
        }
        char line[300];
        std::snprintf(
            line,
            sizeof line,
            "round %d: report accepted %.2f s after the silence, last request reached the endpoint %.2f s after that, it ended after "
            "%.2f s; %d requests came too late, %d of them were cut off by its end",
            round + 1,
            acceptedAt - silentAt,
            last - acceptedAt,
            endedAt - acceptedAt,
            late,
            cut);
        record.line("%s", line);
        std::printf("%s\n", line);
        std::fflush(stdout);
        broken += late;
    }
    for (const auto &machine : machines) {
        if (machine->load) {
            machine->load->stop();
        }
    }
    int served = 0;
    int all = 0;
    for (const auto &machine : machines) {
        for (const Attempt &attempt : machine->load->attempts()) {
            ++all;
            served += attempt.status == 200 && attempt.isWhole ? 1 : 0;
        }
    }
    record.line("%d of %d requests served; %d broke the rule DRAIN", served, all, broken);
    std::printf("%d of %d requests served; %d broke the rule DRAIN\n", served, all, broken);
    std::fflush(stdout);
    std::_Exit(served == 0 ? 2 : (broken > 0 ? 1 : 0));
}
