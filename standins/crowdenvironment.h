#pragma once

#include "crowd.h"
#include "plainbackend.h"
#include "standinstore.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! Options of a run. The instances have the same addresses as those of MeshEnvironmentOptions.
struct CrowdEnvironmentOptions
{
    //! The first of six consecutive ports, see MeshEnvironmentOptions.
    int port = 0;
    std::string behaviour;
    //! The instances' port that the crowd connects to, as an offset from `port`.
    int doorOffset = 1;
    std::size_t clientsPerNode = 1;
    std::size_t nodes = 2;
    //! Of these, the first ones have a crowd; callers are at all of them.
    std::size_t crowdedNodes = 2;
    //! Path of the crowd's requests.
    std::string target = "/bytes/7864320";
    //! Size of the bodies of ordinary requests.
    std::size_t callerBodyBytes = 100;
    Duration length = std::chrono::seconds(8);
};

//! The environment of a few real nodes that serve plain HTTP, in one process: the store, the backend servers, a crowd of clients
//! that misbehave at each node, and callers that do not. Single-threaded.
class CrowdEnvironment
{
public:
    CrowdEnvironment(boost::asio::io_context &context, CrowdEnvironmentOptions options);
    ~CrowdEnvironment();

    std::error_code listen();
    //! Waits for the nodes, lets the crowd stay for a while and checks what the callers got and what ran. Passes the number of
    //! violations to `done` and prints them.
    void run(std::function<void(int violations)> done);

private:
    struct Caller;

    Endpoint addressOf(std::size_t node, int portOffset) const;
    void publish();
    //! Sends a request of each caller; `answered` is called when all have been served and all nodes are ready, and requests that fail
    //! are sent again.
    void sendUntilServed(const std::function<void()> &answered);
    void probe(Caller &caller, std::function<void(bool isReady)> ended);
    void send(Caller &caller, std::function<void(bool isServed)> ended);
    void sendUntilServed(Caller &caller, std::function<void()> answered);
    void keepSending(Caller &caller);
    void keepProbing(Caller &caller);
    void startCrowds();
    void endCrowds();
    int check() const;
    void after(Duration delay, std::function<void()> action);

    boost::asio::io_context &m_context;
    CrowdEnvironmentOptions m_options;
    StandinStore m_store;
    std::vector<std::unique_ptr<PlainBackend>> m_backends;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::unique_ptr<Crowd>> m_crowds;
    std::function<void(int)> m_done;
    bool m_isCrowded = false;
    int m_lastId = 0;
};

} // namespace chervilpaddle::standins
