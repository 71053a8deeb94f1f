// Clients send long bodies, and one endpoint turns slow for a few seconds. The platform kills a process that exceeds memory_mb, and starts
// it again. Checks the rule LOST: more than three requests that a machine in touch has passed on to a sound endpoint end with their kept
// connection.
#include "world.h"

#include <fstream>

using namespace world;

namespace {

constexpr double slowTimes = 5;
constexpr double slowSeconds = 6.5;
constexpr std::size_t uploadBytes = 6'000'000;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0, end = 0; end != std::string::npos; begin = end + 1) {
        end = text.find(',', begin);
        parts.push_back(text.substr(begin, end - begin));
    }
    return parts;
}

long residentMegabytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1000000;
}

int readPid(const std::string &path)
{
    std::ifstream file(path);
    int pid = 0;
    file >> pid;
    return pid;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    origin();
    const int port = std::atoi(argv[1]);
    const bool isTroubled = std::string(argv[2]) != "0";
    Record record(argv[3]);
    const long memoryMegabytes = std::atol(std::getenv("MEMORY_MB"));
    const std::string pidFolder = std::getenv("PID_FOLDER");
    Store store("127.0.0.1", port);
    store.put(
        "op/config",
        configuration(1,
                      "print.example",
                      {{"proofs", "/proofs/", "non_idempotent", "pressroom", 6}, {"confirm", "/confirm/", "non_idempotent", "entries", 2}},
                      {"pressroom", "entries"}));
    std::vector<std::vector<std::string>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 4; i < argc; ++i) {
        machines.push_back(split(argv[i]));
        const auto &m = machines.back();
        const double work = m.at(2) == "pressroom" ? 0.88 : 0.4;
        endpoints.push_back(
            std::make_unique<Endpoint>(Endpoint::Options{"i-" + m.at(0), m.at(2), m.at(3), m.at(1), port + 5, 100, work}, store, record));
    }
    for (const auto &m : machines) {
        if (!waitReady(m.at(1), port + 3, 15)) {
            record.line("node %s did not become ready", m.at(0).c_str());
            return 2;
        }
    }
    sleepFor(2);
    Load load(record, "print.example");
    // The uploads come from the clients of the other service's machines, the confirmations from those of all.
    constexpr double uploads = 10;
    const auto sends = [](const std::vector<std::string> &m) { return m.at(2) != "pressroom"; };
    const auto senders = static_cast<double>(std::count_if(machines.begin(), machines.end(), sends));
    for (const auto &m : machines) {
        if (sends(m)) {
            load.add(m.at(1), port + 1, 16, uploads / senders, "POST", "/proofs/scan", 6000, uploadBytes);
        }
        load.add(m.at(1), port + 1, 16, 20, "POST", "/confirm/entry", 3000);
    }
    std::atomic<int> kills{0};
    std::vector<long> most(machines.size());
    std::thread limit([&] {
        while (true) {
            for (std::size_t i = 0; i < machines.size(); ++i) {
                const int pid = readPid(pidFolder + "/" + machines[i].at(0) + ".pid");
                const long resident = pid > 0 ? residentMegabytes(pid) : 0;
                most[i] = std::max(most[i], resident);
                if (resident > memoryMegabytes) {
                    record.line("%s (process %d) has %ld MB resident, more than memory_mb = %ld: killed",
                                machines[i].at(0).c_str(),
                                pid,
                                resident,
                                memoryMegabytes);
                    kill(pid, SIGKILL);
                    ++kills;
                    sleepFor(0.2);
                }
            }
            sleepFor(0.02);
        }
    });
    limit.detach();
    const auto describe = [&](const char *when) {
        std::string text;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            text += " " + machines[i].at(0) + " " + std::to_string(most[i]) + " MB";
        }
        record.line("most resident %s:%s", when, text.c_str());
    };
    sleepFor(12);
    describe("before the endpoint turns slow");
    if (isTroubled) {
        endpoints[0]->setSlowness(slowTimes);
        record.line("%s turns slow: its work takes %.0f times as long", endpoints[0]->options().id.c_str(), slowTimes);
    }
    sleepFor(slowSeconds);
    endpoints[0]->setSlowness(1);
    record.line("the work takes as long as before");
    sleepFor(10);
    describe("in all");
    load.stop();
    std::set<std::string> ran;
    for (const auto &endpoint : endpoints) {
        for (const Run &run : endpoint->runs()) {
            ran.insert(run.request);
        }
    }
    int lost = 0;
    int served = 0;
    int all = 0;
    std::map<int, int> statuses;
    for (const Attempt &attempt : load.attempts()) {
        ++all;
        ++statuses[attempt.status];
        served += attempt.status == 200 && attempt.isWhole ? 1 : 0;
        const bool isCut = attempt.result == ReadResult::Closed || attempt.result == ReadResult::Cut;
        if (isCut && ran.count(attempt.id) != 0) {
            ++lost;
            record.line("LOST: %s %s at %s ran, and its connection was closed without an answer",
                        attempt.id.c_str(),
                        attempt.path.c_str(),
                        attempt.node.c_str());
        }
    }
    std::string text;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        text += " " + std::to_string(most[i]);
    }
    for (const auto &[status, count] : statuses) {
        text += ", " + std::to_string(status) + ": " + std::to_string(count);
    }
    char line[500];
    std::snprintf(
        line,
        sizeof line,
        "most resident MB:%s; %d processes killed for their memory of %ld MB; %d of %d requests served; %d passed on and never answered",
        text.c_str(),
        kills.load(),
        memoryMegabytes,
        served,
        all,
        lost);
    record.line("%s", line);
    std::printf("%s\n", line);
    std::fflush(stdout);
    std::_Exit(served == 0 ? 2 : (lost > 3 ? 1 : 0));
}
