#pragma once

#include <chervilpaddle/controllers/linkcontroller.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace chervilpaddle {

//! Carries peer frames over WebSocket connections (websocketpp) with CBOR. Belongs to the thread that runs the context.
class PeerTransport
{
public:
    struct Hooks
    {
        Clock clock;
        std::function<void(ConnectionId, bool inbound)> opened;
        std::function<void(ConnectionId, const PeerFrame &)> received;
        //! Called once for every connection that was dialled or opened, never from within a call to this class.
        std::function<void(ConnectionId)> closed;
        //! A frame could not be read; the connection is being closed.
        std::function<void(ConnectionId, std::error_code)> frameRejected;
    };

    PeerTransport(boost::asio::io_context &context, Hooks hooks);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    //! Errors: AddressInUse.
    std::error_code listen(const Endpoint &address);
    ConnectionId dial(const Endpoint &address);
    void send(ConnectionId connection, const PeerMessage &message);
    void close(ConnectionId connection);
    //! Stops accepting and closes all connections once what was sent has been written.
    void shutdown();

    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
