#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/transport/closedconnection.h>
#include <chervilpaddle/transport/httplimits.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

namespace chervilpaddle {

//! A completely received request and the means to respond to it.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    //! Moves the body out of the request.
    virtual std::string takeBody() = 0;
    //! The request, for handlers that move parts out of it.
    virtual HttpRequest &mutableRequest() = 0;
    //! Sends the response. May be called from any thread; only the first call has an effect.
    virtual void respond(HttpResponse response) = 0;
    //! Sets a handler that runs on the connection's thread if the client disconnects before the response is sent.
    //! Must be called before the request handler returns.
    virtual void onDisconnect(std::function<void()> handler) = 0;
    //! Names the request in the report of its connection's end. Must be called before the request handler returns.
    virtual void setRequestId(const RequestId &request) = 0;
};

//! HTTP/1.1 server based on Boost.Beast. Limits the size of headers and bodies, the time to receive a request, the
//! number of connections and the total memory for bodies. Connections are distributed over the given contexts; each
//! context must be run by a single thread.
class HttpServer
{
public:
    struct Options
    {
        Endpoint address;
        std::size_t maxBodyBytes = 0;
        //! Beyond it, a new connection takes the place of one that serves nobody, see ConnectionLimit.
        std::size_t maxConnections = 1024;
        std::size_t maxTotalBodyBytes = 256 * mebibyte;
        //! See setLimits(). Clients are told a shorter idle time, see announcedIdleTime().
        HttpLimits limits{};
        //! A client that takes nothing of its response for this long is cut off.
        Duration writeTimeout = std::chrono::seconds(30);
        //! Called once for each connection that has ended, on the connection's thread; not for those that are still open when
        //! their context stops.
        std::function<void(const ClosedConnection &)> connectionClosed = nullptr;
        //! Bounds the memory of the responses that are being sent, together with others. If not set, it is not bounded.
        std::shared_ptr<BodyMemory> responseMemory = nullptr;
    };
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(std::vector<boost::asio::io_context *> contexts, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Starts to accept connections. Errors: AddressInUse.
    std::error_code listen();
    //! Changes the limits. Open connections keep those that they were told where these are wider. May be called from any thread.
    void setLimits(const HttpLimits &limits);
    //! Stops accepting connections; open ones are kept. May be called from any thread.
    void stopAccepting();
    //! Closes each connection after its next response. May be called from any thread.
    void closeAfterResponses();
    //! Stops accepting connections, closes those on which no request has arrived and the others after their next response. May be
    //! called from any thread.
    void beginClosing();
    //! Returns whether connections are open. May be called from any thread.
    bool hasConnections() const;
    //! Returns whether no connection is open or no request has arrived for this long. May be called from any thread.
    bool hasBeenIdleFor(std::chrono::milliseconds duration) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
