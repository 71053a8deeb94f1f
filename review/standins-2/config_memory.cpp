// The operator changes a large configuration again and again. The platform kills a process that exceeds memory_mb, and starts it again.
// Checks the rule LOST: more than three requests that a machine in touch has passed on to a sound endpoint end with their kept connection.
#include "world.h"

#include <fstream>

using namespace world;

namespace {

constexpr int routesMore = 1400;
constexpr double stormSeconds = 4;
constexpr double gap = 0.33;
constexpr double pauseBetweenStorms = 1;
constexpr double length = 92;
//! The changes go on for so long after the first kill.
constexpr double afterFirstKill = 8;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0, end = 0; end != std::string::npos; begin = end + 1) {
        end = text.find(',', begin);
        parts.push_back(text.substr(begin, end - begin));
    }
    return parts;
}

//! A configuration of the two routes in use and many more. Each version changes the time-out of one of the others.
std::string largeConfiguration(int version)
{
    const std::string base = configuration(version,
                                           "circle.example",
                                           {{"pay", "/pay/", "non_idempotent", "pagos", 2}, {"look", "/look/", "idempotent", "saldos", 2}},
                                           {"pagos", "saldos", "aportes", "rotas"});
    std::string rules;
    for (int i = 0; i < routesMore; ++i) {
        const std::string number = std::to_string(i);
        rules += ",{\"name\":\"circle-" + number + "-rounds-and-turns-of-the-members-by-region-and-by-town-with-their-contributions\","
            + "\"kind\":\"idempotent\",\"target_latency_s\":1.5,\"priority\":2,\"match\":{\"prefix\":\"/circles/region-" + number
            + "/districts/of-the-centre-and-around-it/towns/of-the-district/organisers/with-open-rounds/rounds/current-and-next/members/"
              "with-their-"
              "turns/turns/by-date-and-by-amount/contributions/paid-and-not-yet-paid/"
              "\"},\"action\":{\"traffic_split\":[{\"service\":\"saldos\","
              "\"weight\":90},{\"service\":\"pagos\",\"weight\":10},{\"service\":\"aportes\",\"weight\":5},{\"service\":\"rotas\","
              "\"weight\":5}],"
              "\"timeout_s\":"
            + (i == version % routesMore ? "2.5" : "2") + ",\"attempts\":2}}";
    }
    std::string text = base;
    text.insert(text.find("]}],\"clusters\""), rules);
    return text;
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
    const std::string first = largeConfiguration(1);
    store.put("op/config", first);
    record.line("the configuration has %d routes and %zu bytes", routesMore + 2, first.size());
    std::vector<std::vector<std::string>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 4; i < argc; ++i) {
        machines.push_back(split(argv[i]));
        const auto &m = machines.back();
        endpoints.push_back(
            std::make_unique<Endpoint>(Endpoint::Options{"i-" + m.at(0), m.at(2), m.at(3), m.at(1), port + 5, 100, 0.3}, store, record));
    }
    for (const auto &m : machines) {
        if (!waitReady(m.at(1), port + 3, 15)) {
            record.line("node %s did not become ready", m.at(0).c_str());
            return 2;
        }
    }
    Load load(record, "circle.example");
    for (const auto &m : machines) {
        load.add(m.at(1), port + 1, 8, 15, "POST", "/pay/turn", 3000);
        load.add(m.at(1), port + 1, 4, 8, "GET", "/look/round", 3000);
    }
    // The platform's limit of memory.
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
    int version = 1;
    int changesUntilKill = 0;
    const double end = now() + length;
    double stormUntil = now() + stormSeconds;
    double nextLine = now();
    double firstKillAt = 0;
    while (now() < end) {
        if (isTroubled) {
            store.put("op/config", largeConfiguration(++version));
            changesUntilKill = kills == 0 ? version - 1 : changesUntilKill;
        }
        if (now() >= nextLine) {
            nextLine += 5;
            std::string text;
            for (const auto &m : machines) {
                text += " " + m.at(0) + " " + std::to_string(residentMegabytes(readPid(pidFolder + "/" + m.at(0) + ".pid"))) + " MB";
            }
            record.line("%d changes so far; resident:%s", version - 1, text.c_str());
        }
        sleepFor(gap);
        if (now() >= stormUntil) {
            sleepFor(pauseBetweenStorms);
            stormUntil = now() + stormSeconds;
        }
        if (kills > 0 && firstKillAt == 0) {
            firstKillAt = now();
        }
        if (firstKillAt > 0 && now() > firstKillAt + afterFirstKill) {
            break;
        }
    }
    load.stop();
    std::set<std::string> ran;
    for (const auto &endpoint : endpoints) {
        for (const Run &run : endpoint->runs()) {
            ran.insert(run.request);
        }
    }
    int lost = 0;
    int lostPayments = 0;
    int served = 0;
    int all = 0;
    for (const Attempt &attempt : load.attempts()) {
        ++all;
        served += attempt.status == 200 && attempt.isWhole ? 1 : 0;
        const bool isCut = attempt.result == ReadResult::Closed || attempt.result == ReadResult::Cut;
        if (isCut && ran.count(attempt.id) != 0) {
            ++lost;
            lostPayments += attempt.path == "/pay/turn" ? 1 : 0;
            record.line("LOST: %s %s ran, and its connection was closed without an answer", attempt.id.c_str(), attempt.path.c_str());
        }
    }
    std::string peaks;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        peaks += " " + std::to_string(most[i]);
    }
    char line[400];
    std::snprintf(
        line,
        sizeof line,
        "%d changes, %d before the first kill; most resident MB:%s of %ld; %d processes killed for their memory; %d of %d requests "
        "served; %d passed on and never answered, %d of them payments",
        version - 1,
        changesUntilKill,
        peaks.c_str(),
        memoryMegabytes,
        kills.load(),
        served,
        all,
        lost,
        lostPayments);
    record.line("%s", line);
    std::printf("%s\n", line);
    std::fflush(stdout);
    std::_Exit(served == 0 ? 2 : (lost > 3 ? 1 : 0));
}
