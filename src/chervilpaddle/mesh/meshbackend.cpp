#include <chervilpaddle/mesh/meshbackend.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

namespace {

//! Time allowed for the response after the deadline that was sent to the backend server.
constexpr Duration responseGracePeriod = std::chrono::milliseconds(250);
//! The backend server runs on the same machine: it accepts a connection at once or not at all.
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
//! Shortest idle time-out in common use; applies if the server announces none.
constexpr Duration maxIdleTime = std::chrono::seconds(4);

HttpClient::Options clientOptions(const Endpoint &address, const PlatformProtocol &protocol, std::shared_ptr<BodyMemory> responseMemory)
{
    HttpClient::Options options;
    options.address = address;
    options.maxBodyBytes = maxBodyBytes;
    options.connectTimeout = connectTimeout;
    options.maxIdleTime = maxIdleTime;
    options.acceptsCloseDelimitedBodies = true;
    options.requestIdHeader = protocol.requestIdHeader;
    options.requiresRequestId = true;
    options.responseMemory = std::move(responseMemory);
    return options;
}

} // namespace

MeshBackend::MeshBackend(boost::asio::io_context &context,
                         const Endpoint &address,
                         const PlatformProtocol &protocol,
                         Clock clock,
                         std::shared_ptr<BodyMemory> responseMemory,
                         Finished finished)
    : m_protocol(protocol)
    , m_clock(std::move(clock))
    , m_finished(std::move(finished))
    , m_client(context, clientOptions(address, protocol, std::move(responseMemory)))
{
}

void MeshBackend::start(const Run &run)
{
    const Duration remaining = std::max(Duration::zero(), std::chrono::duration_cast<Duration>(run.deadline - m_clock()));
    HttpRequest request = m_protocol.backendRequest(run.call, remaining);
    m_requests[run.id] = m_client.send(std::move(request), remaining + responseGracePeriod, [this, id = run.id](HttpResult result) {
        m_requests.erase(id);
        m_finished(id, m_protocol.backendResult(result));
    });
}

void MeshBackend::cancel(RunId run)
{
    if (const auto request = m_requests.find(run); request != m_requests.end()) {
        m_client.cancel(request->second);
    }
}

} // namespace chervilpaddle
