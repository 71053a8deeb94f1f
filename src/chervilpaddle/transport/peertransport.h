#pragma once

#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/peer/peertraffic.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace chervilpaddle {

//! Exchanges CBOR-encoded peer frames over WebSocket connections (websocketpp). Not thread-safe: may only be used on the
//! thread that runs the context.
class PeerTransport
{
public:
    static constexpr std::size_t defaultMaxUnidentified = 512;

    struct Hooks
    {
        Clock clock;
        std::function<void(ConnectionId, bool inbound)> opened;
        std::function<void(ConnectionId, PeerFrame)> received;
        //! Called exactly once for every outbound or accepted connection, and never from within a call to this class.
        std::function<void(ConnectionId)> closed;
        //! A frame could not be decoded; its connection is being closed.
        std::function<void(ConnectionId, std::error_code)> frameRejected;
    };

    //! Answers that wait for a peer take a share of `responseMemory`; without one, only each connection is bounded. At most
    //! `maxUnidentified` accepted connections may be open on which no hello has arrived: beyond that, the oldest of them is closed.
    PeerTransport(boost::asio::io_context &context,
                  Hooks hooks,
                  std::shared_ptr<BodyMemory> responseMemory = nullptr,
                  std::size_t maxUnidentified = defaultMaxUnidentified);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    //! Starts to accept connections. Errors: AddressInUse.
    std::error_code listen(const Endpoint &address);
    //! Opens an outbound connection; its outcome is reported by the hooks.
    ConnectionId dial(const Endpoint &address);
    //! Sends a message. An answer for which there is no memory is replaced by one without its payload, with the code AnswerTooLarge.
    void send(ConnectionId connection, const PeerMessage &message);
    void close(ConnectionId connection);
    //! Stops accepting and closes all connections after pending frames have been written.
    void shutdown();

    const PeerTraffic &sent() const;
    const PeerTraffic &received() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
