#pragma once

#include "plainbackend.h"
#include "standinstore.h"

#include <chervilpaddle/base/random.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! What a run of the world is given: two services in two data centres, on loopback addresses of their own.
struct MeshWorldOptions
{
    //! First of the ports: store, then callers, peers, readiness, operators, backend server of every instance.
    int port = 0;
    Duration length = std::chrono::seconds(8);
    double requestsPerSecond = 100;
    std::uint64_t seed = 1;
    //! Which changes and faults the world brings about, of: drain, route, down, history.
    std::set<std::string> events;
    //! Instances that the script stops or kills; callers use the others.
    std::set<std::string> sparedInstances;
};

//! Everything round a small fleet of real nodes that serve plain HTTP, in one process: the store, the backend servers and
//! the callers. Plays a load, brings changes about, and checks the promises from what callers and backend servers saw.
//! One thread.
class MeshWorld
{
public:
    MeshWorld(boost::asio::io_context &context, MeshWorldOptions options);
    ~MeshWorld();

    std::error_code listen();
    //! Waits for the nodes, plays the load, and calls back with the number of broken promises, which it prints.
    void play(std::function<void(int broken)> done);

private:
    struct Sent;

    void addBackend(const std::string &name, const std::string &service, const std::string &dataCentre);
    void publishInstance(const std::string &id, const std::string &state);
    void publishRoutes(int version, const std::string &extraService);
    void waitForNodes();
    void sendNext();
    void sendOne(std::size_t node, bool isIdempotent, const std::string &path);
    void scheduleEvents();
    void after(Duration delay, std::function<void()> action);
    int check();
    int checkRuns();
    int checkDrain();
    int checkRoute();
    void breakPromise(int &broken, const std::string &what) const;

    boost::asio::io_context &m_context;
    MeshWorldOptions m_options;
    RandomSource m_random;
    StandinStore m_store;
    std::vector<std::unique_ptr<PlainBackend>> m_backends;
    std::vector<std::string> m_dataCentres;
    std::vector<std::unique_ptr<HttpClient>> m_callers;
    std::vector<std::shared_ptr<Sent>> m_sent;
    std::function<void(int)> m_done;
    TimePoint m_began;
    TimePoint m_drainedAt;
    TimePoint m_routedAt;
    int m_outstanding = 0;
};

} // namespace chervilpaddle::standins
