#pragma once

#include <chervilpaddle/mesh/platformprotocol.h>

#include <unordered_map>

namespace chervilpaddle {

//! Runs plain HTTP calls at the backend server beside this node. Belongs to the core thread.
class MeshBackend
{
public:
    using Finished = std::function<void(RunId, const BackendResult &)>;

    MeshBackend(
        boost::asio::io_context &context, const Endpoint &address, const PlatformProtocol &protocol, Clock clock, Finished finished);

    void start(const Run &run);
    //! Closes the connection of a run, upon which the backend server drops it.
    void cancel(RunId run);

private:
    const PlatformProtocol &m_protocol;
    Clock m_clock;
    Finished m_finished;
    HttpClient m_client;
    std::unordered_map<RunId, HttpRequestNumber> m_requests;
};

} // namespace chervilpaddle
