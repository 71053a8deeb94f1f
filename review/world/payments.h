// A small deployment of one service with payments that are not idempotent, sent on kept connections, and lookups.
#pragma once

#include "world.h"

namespace world {

//! What the endpoints ran and what the clients were told, for the check.
struct Ledger
{
    std::mutex mutex;
    //! Runs by request id, and the endpoints that ran it.
    std::map<std::string, std::vector<std::string>> runs;
    //! When an endpoint began to work on a request, and when its client gave it up.
    std::map<std::string, double> runAt;
    std::map<std::string, double> gaveUpAt;
    int sent = 0;
    int answered = 0;
    std::map<int, int> statuses;
    //! By machine: requests on kept connections that a sound endpoint ran and whose connection was closed without an answer.
    std::map<std::string, int> cut;
    //! Requests without an answer half a second after the route's time-out, and those that were sent, by machine.
    std::map<std::string, int> late;
    std::map<std::string, int> sentBy;
};

//! How an endpoint answers; returns whether the connection is kept.
using EndpointAnswer = std::function<bool(int socket, const Message &request, const std::string &whole)>;

class Payments
{
public:
    static constexpr const char *host = "tandas.example";
    static constexpr double payTimeout = 5;

    Payments(const std::string &root, Record &record, int machineCount, double workSeconds, int slotCount = 120)
        : deployment(root, record)
        , slots(slotCount)
        , m_record(record)
        , m_work(workSeconds)
    {
        const std::string store = deployment.storeAddress();
        this->store = std::make_unique<Store>(store.substr(0, store.find(':')), deployment.ports.store);
        for (int i = 0; i < machineCount; ++i) {
            Machine machine;
            machine.ip = deployment.address(11 + i);
            machine.service = "pagos";
            machine.zone = "centro-a";
            machine.id = "i-" + std::to_string(100 + i);
            machines.push_back(machine);
        }
    }

    //! Starts the endpoints, the nodes and the platform's writers, and waits until requests are served.
    void start(const std::function<void(Machine &, Deployment &)> &startNode)
    {
        publish(1);
        for (Machine &machine : machines) {
            m_endpoints.push_back(std::make_unique<Server>(
                machine.ip,
                deployment.ports.application,
                [this, &machine](int socket, Reader &, const Message &request) { return serve(socket, machine, request); },
                longUpload ? [this, &machine](int socket,
                                              Reader &reader,
                                              const Message &request) { return longUpload(socket, reader, request, machine); }
                           : Server::Handler()));
            writeEntry(*store, machine, deployment.ports, slots);
        }
        std::thread([this] {
            while (true) {
                sleepFor(1.5);
                for (Machine &machine : machines) {
                    writeEntry(*store, machine, deployment.ports, slots);
                }
            }
        }).detach();
        for (Machine &machine : machines) {
            startNode(machine, deployment);
        }
        const double deadline = now() + 15;
        for (const Machine &machine : machines) {
            while (!deployment.isReady(machine)) {
                if (now() > deadline) {
                    m_record.line("node of %s does not become ready", machine.ip.c_str());
                    finish(deployment, 2);
                }
                sleepFor(0.05);
            }
        }
        for (const Machine &machine : machines) {
            m_misses[machine.ip] = 0;
        }
        for (const Machine &machine : machines) {
            std::thread([this, ip = machine.ip] { probeReadiness(ip); }).detach();
        }
        sleepFor(2);
    }

    //! Whether the clients of a machine may get new work: not after two missed readiness probes in a row, unless fewer than half of
    //! the zone's nodes are in.
    bool isIn(const std::string &ip)
    {
        const std::lock_guard lock(m_missesMutex);
        const auto areIn = std::count_if(m_misses.begin(), m_misses.end(), [](const auto &entry) { return entry.second < 2; });
        return m_misses.at(ip) < 2 || 2 * static_cast<std::size_t>(areIn) < m_misses.size();
    }

    void publish(int version, const std::string &otherRoutes = "")
    {
        std::vector<Route> routes;
        routes.push_back({"pay", "/pay/", "pagos", "non_idempotent", payTimeout, 2, 2, 0});
        routes.push_back({"look", "/look/", "pagos", "idempotent", payTimeout, 2, 1.5, 2});
        store->put("op/config", configurationText(version, host, routes, {"pagos"}, otherRoutes));
    }

    //! Starts clients of a machine, each of which sends payments one after the other on a connection that it keeps.
    void startKeptClients(const Machine &machine, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string name = machine.id + "-" + std::to_string(i);
            m_threads.emplace_back([this, ip = machine.ip, name] { sendOnKeptConnections(ip, name); });
        }
    }

    //! Ends the clients after their current requests.
    void stopClients()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    bool isStopping() const
    {
        return m_isStopping;
    }
    void addThread(std::function<void()> work)
    {
        m_threads.emplace_back(std::move(work));
    }
    std::string nextId(const std::string &name)
    {
        return name + "-" + std::to_string(++m_lastId);
    }

    //! The number of requests that an endpoint began to work on more than half a second after their client had given up.
    int runsAfterGivingUp()
    {
        const std::lock_guard lock(ledger.mutex);
        int count = 0;
        for (const auto &[id, at] : ledger.gaveUpAt) {
            const auto run = ledger.runAt.find(id);
            count += run != ledger.runAt.end() && run->second > at + 0.5 ? 1 : 0;
        }
        return count;
    }

    //! Ends the process: 1 if the rule was broken, 0 if it held, 2 if no request was served.
    [[noreturn]] void end(bool isBroken, const std::string &broken)
    {
        const bool hasServed = ledger.statuses[200] > 0;
        m_record.line("%s",
                      !hasServed     ? "no request was served: the case could not run"
                          : isBroken ? ("BROKEN: " + broken).c_str()
                                     : "held");
        std::printf("%s\n", !hasServed ? "could not run" : isBroken ? ("broken: " + broken).c_str() : "held");
        finish(deployment, !hasServed ? 2 : isBroken ? 1 : 0);
    }

    void reportTo(Record &record)
    {
        const std::lock_guard lock(ledger.mutex);
        record.line("%d requests were sent, %d answered, %zu run", ledger.sent, ledger.answered, ledger.runs.size());
        for (const auto &[status, count] : ledger.statuses) {
            record.line("answers with status %d: %d", status, count);
        }
        for (const auto &[ip, count] : ledger.cut) {
            record.line(
                "machine %s: %d requests of kept connections were run and their connection closed without an answer", ip.c_str(), count);
        }
        for (const auto &[ip, count] : ledger.late) {
            record.line(
                "machine %s: %d of %d requests had no answer 0.5 s after the route's time-out", ip.c_str(), count, ledger.sentBy[ip]);
        }
    }

    Deployment deployment;
    //! Of each endpoint.
    const int slots;
    std::unique_ptr<Store> store;
    std::vector<Machine> machines;
    Ledger ledger;
    //! Endpoints that are not sound: requests that they ran do not count as cut.
    std::set<std::string> faultyEndpoints;
    //! How many times as long as usual the endpoints work.
    std::function<double()> workFactor;
    //! Replaces the sound answer to some requests.
    EndpointAnswer oddAnswer;
    //! Handles requests with long bodies, which have not been read yet. To be set before the start.
    std::function<bool(int socket, Reader &reader, const Message &request, const Machine &machine)> longUpload;

private:
    bool serve(int socket, const Machine &machine, const Message &request)
    {
        const std::string id = request.field("Request-Id");
        const std::string expected = request.field("Expected-Instance");
        const std::string echo = "Request-Id: " + id + "\r\n";
        if (id.empty() || (!expected.empty() && expected != machine.id)) {
            return sendAll(socket,
                           std::string("HTTP/1.1 ") + (id.empty() ? "400" : "421") + " x\r\n" + echo
                               + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        {
            const std::lock_guard lock(ledger.mutex);
            ledger.runs[id].push_back(machine.id);
            ledger.runAt[id] = now();
        }
        const double factor = workFactor ? workFactor() : 1;
        if (hasInput(socket, static_cast<int>(m_work * factor * 1000))) {
            return false; // The node has closed the connection.
        }
        const std::string body = "answer to " + id;
        const std::string whole = "HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: s." + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (oddAnswer && request.word(1).rfind("/look/", 0) == 0) {
            return oddAnswer(socket, request, whole);
        }
        return sendAll(socket, whole);
    }

    void probeReadiness(const std::string &ip)
    {
        while (true) {
            const double begin = now();
            const std::string probe = "GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            const bool isReady = exchange(ip, deployment.ports.ready, probe, 1).status == 200;
            {
                const std::lock_guard lock(m_missesMutex);
                int &misses = m_misses[ip];
                if (isReady != (misses < 2) && (isReady || misses == 1)) {
                    m_record.line("readiness of %s: %s", ip.c_str(), isReady ? "in again" : "two misses, out");
                }
                misses = isReady ? 0 : misses + 1;
            }
            sleepFor(begin + 1 - now());
        }
    }

    void sendOnKeptConnections(const std::string &ip, const std::string &name)
    {
        while (!m_isStopping) {
            const int socket = isIn(ip) ? connectTo(ip, deployment.ports.callers) : -1;
            if (socket < 0) {
                sleepFor(0.1);
                continue;
            }
            Reader reader(socket);
            bool isOpen = true;
            for (int used = 0; isOpen && !m_isStopping && isIn(ip); ++used) {
                isOpen = sendPayment(socket, reader, ip, nextId(name), used > 0);
            }
            ::close(socket);
        }
    }

    //! Returns whether the connection is kept.
    bool sendPayment(int socket, Reader &reader, const std::string &ip, const std::string &id, bool isKept)
    {
        {
            const std::lock_guard lock(ledger.mutex);
            ++ledger.sent;
            ++ledger.sentBy[ip];
        }
        Message message;
        const std::string body = "amount=100";
        const double sentAt = now();
        const bool isSent = sendAll(socket, requestText("POST", "/pay/turn", host, id, 5000, "", body));
        const bool isWhole = isSent && readMessage(reader, message, sentAt + payTimeout + 0.5);
        const std::lock_guard lock(ledger.mutex);
        if (isWhole) {
            ++ledger.answered;
            ++ledger.statuses[std::atoi(message.word(1).c_str())];
            return strcasecmp(message.field("Connection").c_str(), "close") != 0;
        }
        if (reader.timedOut()) {
            ++ledger.late[ip];
            ledger.gaveUpAt[id] = now();
            m_record.line("payment %s through %s: no answer %.1f s after it was sent", id.c_str(), ip.c_str(), now() - sentAt);
            return false;
        }
        const auto run = ledger.runs.find(id);
        const bool hasRun = run != ledger.runs.end();
        const bool isAtSound = hasRun && faultyEndpoints.count(run->second.back()) == 0;
        m_record.line("payment %s through %s: connection closed without an answer, %s%s",
                      id.c_str(),
                      ip.c_str(),
                      hasRun ? "it ran" : "it did not run",
                      isKept ? ", kept connection" : "");
        if (isAtSound && isKept) {
            ++ledger.cut[ip];
        }
        return false;
    }

    Record &m_record;
    double m_work;
    std::vector<std::unique_ptr<Server>> m_endpoints;
    std::mutex m_missesMutex;
    std::map<std::string, int> m_misses;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_lastId{0};
};

//! The platform's limit on the memory of a node: a process that exceeds it is killed, and is started again after a short delay.
class MemoryLimit
{
public:
    MemoryLimit(Payments &payments, Record &record, double mebibytes)
        : m_payments(payments)
        , m_record(record)
        , m_limit(mebibytes)
    {
        for (const Machine &machine : payments.machines) {
            peak[machine.ip] = 0;
            ends[machine.ip] = 0;
        }
    }
    //! Watches the nodes until `isOver`.
    void enforce(const std::function<bool()> &isOver)
    {
        double reportedAt = 0;
        while (!isOver()) {
            std::string line;
            for (Machine &machine : m_payments.machines) {
                const double used = Deployment::memoryOf(machine);
                peak[machine.ip] = std::max(peak[machine.ip], used);
                line += " " + machine.ip + ": " + std::to_string(static_cast<int>(used)) + " MiB";
                if (used > m_limit) {
                    m_record.line("node of %s uses %.0f MiB, over the %.0f MiB of its machine: killed", machine.ip.c_str(), used, m_limit);
                    m_payments.deployment.signal(machine, SIGKILL);
                    ++ends[machine.ip];
                    sleepFor(0.3);
                    m_payments.deployment.start(machine);
                }
            }
            if (now() - reportedAt > 5) {
                reportedAt = now();
                m_record.line("memory%s", line.c_str());
            }
            sleepFor(0.02);
        }
    }

    //! Reports what became of each machine. Returns whether LOST is broken: as a process that ends by itself counts as running, more
    //! than three requests of kept connections were passed on to a sound endpoint and cut without an answer at a machine.
    bool isLostBroken()
    {
        bool isBroken = false;
        for (const Machine &machine : m_payments.machines) {
            const int cut = m_payments.ledger.cut[machine.ip];
            m_record.line("machine %s: peak %.0f MiB, its node was killed %d times, %d payments cut",
                          machine.ip.c_str(),
                          peak[machine.ip],
                          ends[machine.ip],
                          cut);
            isBroken = isBroken || (cut > 3 && ends[machine.ip] > 0);
        }
        return isBroken;
    }

    std::map<std::string, double> peak;
    std::map<std::string, int> ends;

private:
    Payments &m_payments;
    Record &m_record;
    double m_limit;
};

} // namespace world
