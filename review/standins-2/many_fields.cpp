// Clients that nobody controls send one node heads of many short fields, all of it inside the limits of the configuration, and are slow
// with the bodies. The platform kills a process that exceeds memory_mb, and starts it again. Checks the rule LOST: more than three requests
// that a machine in touch has passed on to a sound endpoint end with their kept connection.
#include "world.h"

#include <fstream>

using namespace world;

namespace {

//! Of the head that a client of the crowd sends; max_header_bytes is 16,384.
constexpr std::size_t headBytes = 16'000;

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

//! Keeps connections open, each of which has sent the head of a request and nothing of its body. Opens another for each that the node
//! closes.
class Crowd
{
public:
    Crowd(std::string host, int port, std::size_t clients)
        : m_host(std::move(host))
        , m_port(port)
        , m_connections(clients, -1)
        , m_thread([this] { run(); })
    {
    }
    void leave()
    {
        m_hasLeft = true;
        m_thread.join();
        for (const int fd : m_connections) {
            if (fd >= 0) {
                close(fd);
            }
        }
    }

private:
    void run()
    {
        std::string head = "POST /pay/turn HTTP/1.1\r\nHost: circle.example\r\nRequest-Id: crowd\r\nDeadline-Milliseconds: "
                           "6000\r\nContent-Length: 100\r\n";
        while (head.size() < headBytes) {
            head += "x:1\r\n";
        }
        head += "\r\n";
        while (!m_hasLeft) {
            for (int &fd : m_connections) {
                char byte = 0;
                if (fd >= 0 && (recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) >= 0 || errno != EAGAIN)) {
                    close(fd);
                    fd = -1;
                }
                if (fd < 0 && !m_hasLeft) {
                    fd = connectTo(m_host, m_port);
                    if (fd >= 0) {
                        send(fd, head.data(), head.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
                    }
                }
            }
            sleepFor(0.1);
        }
    }

    std::string m_host;
    int m_port;
    std::vector<int> m_connections;
    std::atomic<bool> m_hasLeft{false};
    std::thread m_thread;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    origin();
    const int port = std::atoi(argv[1]);
    const bool isTroubled = std::string(argv[2]) != "0";
    Record record(argv[3]);
    const long memoryMegabytes = std::atol(std::getenv("MEMORY_MB"));
    const std::size_t clients = std::strtoull(std::getenv("CROWD"), nullptr, 10);
    const std::string pidFolder = std::getenv("PID_FOLDER");
    Store store("127.0.0.1", port);
    store.put("op/config",
              configuration(1,
                            "circle.example",
                            {{"pay", "/pay/", "non_idempotent", "pagos", 2}, {"look", "/look/", "idempotent", "saldos", 2}},
                            {"pagos", "saldos"}));
    std::vector<std::vector<std::string>> machines;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 4; i < argc; ++i) {
        machines.push_back(split(argv[i]));
        const auto &m = machines.back();
        endpoints.push_back(
            std::make_unique<Endpoint>(Endpoint::Options{"i-" + m.at(0), m.at(2), m.at(3), m.at(1), port + 5, 100, 0.4}, store, record));
    }
    for (const auto &m : machines) {
        if (!waitReady(m.at(1), port + 3, 15)) {
            record.line("node %s did not become ready", m.at(0).c_str());
            return 2;
        }
    }
    sleepFor(2);
    Load load(record, "circle.example");
    for (const auto &m : machines) {
        load.add(m.at(1), port + 1, 16, 25, "POST", "/pay/turn", 3000);
        load.add(m.at(1), port + 1, 4, 5, "GET", "/look/round", 3000);
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
    sleepFor(4);
    record.line("%s", isTroubled ? "the crowd comes" : "no crowd comes");
    Crowd crowd(machines[0].at(1), port + 1, isTroubled ? clients : 0);
    sleepFor(20);
    crowd.leave();
    sleepFor(3);
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
    for (const Attempt &attempt : load.attempts()) {
        ++all;
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
    for (const long peak : most) {
        text += " " + std::to_string(peak);
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
