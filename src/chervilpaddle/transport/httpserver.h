#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

namespace chervilpaddle {

//! One request that was received whole, and the way to answer it.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    //! Takes the body out of the request.
    virtual std::string takeBody() = 0;
    //! The request itself, to be taken apart by its handler.
    virtual HttpRequest &mutableRequest() = 0;
    //! Answers the request. Any thread; the first call counts.
    virtual void respond(HttpResponse response) = 0;
    //! Called on the connection's thread if the caller goes away before the answer. Set it before the handler returns.
    virtual void onDisconnect(std::function<void()> handler) = 0;
};

//! A server for HTTP/1.1 on Boost.Beast. Bounds the size of headers and bodies, the time that a request may take
//! to arrive, the number of connections and the memory for bodies. Connections are spread over the given contexts;
//! each context must be run by one thread.
class HttpServer
{
public:
    struct Options
    {
        Endpoint address;
        std::size_t maxBodyBytes = 0;
        std::size_t maxConnections = 1024;
        std::size_t maxTotalBodyBytes = 256 * mebibyte;
    };
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(std::vector<boost::asio::io_context *> contexts, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Begins to accept. Errors: AddressInUse.
    std::error_code listen();
    //! Stops accepting; open connections go on. Any thread.
    void stopAccepting();
    //! Makes every response from now on close its connection. Any thread.
    void closeAfterResponses();
    //! Whether no connection is open, or none has sent anything for this long. Any thread.
    bool hasBeenIdleFor(std::chrono::milliseconds length) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
