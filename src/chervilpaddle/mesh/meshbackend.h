#pragma once

#include <chervilpaddle/mesh/platformprotocol.h>

#include <unordered_map>

namespace chervilpaddle {

//! Runs plain HTTP calls at the backend server beside this node. Used on the core thread only.
class MeshBackend
{
public:
    using Finished = std::function<void(RunId, const BackendResult &)>;

    MeshBackend(boost::asio::io_context &context,
                const Endpoint &address,
                const PlatformProtocol &protocol,
                Clock clock,
                std::shared_ptr<BodyMemory> responseMemory,
                Finished finished);

    //! Sends the run's request; `finished` is called when it has ended.
    void start(const Run &run);
    //! Closes the connection of a run, which makes the backend server abandon it.
    void cancel(RunId run);

private:
    const PlatformProtocol &m_protocol;
    Clock m_clock;
    Finished m_finished;
    HttpClient m_client;
    std::unordered_map<RunId, HttpRequestNumber> m_requests;
};

} // namespace chervilpaddle
