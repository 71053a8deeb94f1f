#pragma once

#include "plainbackend.h"
#include "standinrelay.h"
#include "standinstore.h"

#include <chervilpaddle/base/random.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! Options of a run. Every instance has its own loopback address; the services span two data centres.
struct MeshEnvironmentOptions
{
    //! The first of eight consecutive ports: the store, then each instance's ports for callers, peers, readiness, operators
    //! and the backend server, then two for the event "silent", in which nodes reach the store through a relay.
    int port = 0;
    Duration length = std::chrono::seconds(8);
    double requestsPerSecond = 100;
    std::uint64_t seed = 1;
    //! The changes and faults to cause, of: drain, removal, route, down, history, odd, restored, silent.
    std::set<std::string> events;
    //! Instances to which callers do not send, since the test script stops or kills them.
    std::set<std::string> sparedInstances;
    //! The instance that the test script stops as soon as the environment has printed "stop now"; empty: none.
    std::string stoppedInstance;
    //! When callers of the stopped instance send on the connections that they kept: "quiet" (only once it may have decided to
    //! exit), "late" (all the time, also calls that take longer than the process has left) or "stuck" (just before the stop, calls
    //! that outlast the process).
    std::string stopCalls = "quiet";
};

//! The environment of a few real nodes that serve plain HTTP, in one process: the store, the backend servers and the
//! callers. Sends a load, causes changes and faults, and checks the guarantees against what callers and backend servers
//! recorded. Single-threaded.
class MeshEnvironment
{
public:
    MeshEnvironment(boost::asio::io_context &context, MeshEnvironmentOptions options);
    ~MeshEnvironment();

    std::error_code listen();
    //! Waits for the nodes, sends the load, checks the guarantees and passes the number of violations to `done`. Prints the
    //! first ten violations of each check.
    void run(std::function<void(int violations)> done);

private:
    struct SentRequest;
    struct StopCall;

    void addBackend(const std::string &name, const std::string &service, const std::string &dataCentre);
    void publishInstance(const std::string &id, const std::string &state);
    //! Without a service, the route "extra" is left out.
    void publishRoutes(int version, const std::string &extraService);
    void publishChanges(int version);
    void waitForNodes();
    void sendNext();
    void sendRequest(std::size_t node, bool isIdempotent, const std::string &path);
    std::shared_ptr<SentRequest>
    send(HttpClient &caller, const std::string &id, bool isIdempotent, const std::string &path, Duration timeout);
    std::size_t indexOf(const std::string &instance) const;
    static std::vector<StopCall> stopCalls(const std::string &kind);
    void prepareStop();
    void waitForStop(const std::vector<StopCall> &calls);
    void scheduleEvents();
    nlohmann::json instanceEntry(const std::string &id, const std::string &state) const;
    void publishOddEntries(std::size_t round);
    void scheduleRestoration();
    void scheduleSilence();
    void after(Duration delay, std::function<void()> action);
    int check();
    int checkRuns();
    int checkRun(const SentRequest &sent, int runs);
    int checkStop();
    int checkDrain();
    int checkRoute();
    int checkStoreCalls();
    void reportViolation(int &violations, const std::string &description) const;

    boost::asio::io_context &m_context;
    MeshEnvironmentOptions m_options;
    RandomSource m_random;
    StandinStore m_store;
    //! Nodes reach the store through it; not set without the event "silent".
    std::unique_ptr<StandinRelay> m_storeRelay;
    std::vector<std::unique_ptr<PlainBackend>> m_backends;
    std::vector<std::string> m_dataCentres;
    std::vector<std::unique_ptr<HttpClient>> m_callers;
    std::vector<std::shared_ptr<SentRequest>> m_sentRequests;
    //! Callers of the stopped instance; each sends on a connection of its own.
    std::vector<std::unique_ptr<HttpClient>> m_stopCallers;
    std::unique_ptr<HttpClient> m_prober;
    std::vector<std::shared_ptr<SentRequest>> m_stopRequests;
    //! Sent before the stop through other nodes, and still running while it is in progress.
    std::vector<std::shared_ptr<SentRequest>> m_requestsAcrossStop;
    std::function<void(int)> m_done;
    TimePoint m_loadStart;
    //! When instances were reported as leaving or were removed.
    std::map<std::string, TimePoint> m_leftAt;
    TimePoint m_routedAt;
    std::uint64_t m_storeCallsBeforeLoad = 0;
    int m_outstanding = 0;
};

} // namespace chervilpaddle::standins
