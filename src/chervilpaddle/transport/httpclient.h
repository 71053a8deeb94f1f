#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chervilpaddle {

//! How far a request progressed.
enum class HttpStage {
    NotSent, //!< Nothing was sent: the server cannot have run the request.
    Sent, //!< The request may have reached the server; no response was received.
    Truncated, //!< The response is truncated or malformed, or its end cannot be determined.
    TooLarge, //!< The response exceeds the size limit, or was given up as the memory for responses was used up.
    Unidentified, //!< A response was received that may belong to an earlier request.
    Complete, //!< The complete response was received.
};

struct HttpResult
{
    HttpStage stage = HttpStage::NotSent;
    HttpResponse response;
    bool timedOut = false;
    bool cancelled = false;
};

//! Returns why no complete response was received from a backend server, or nothing if one was received.
std::optional<ResultCode> transferFailure(const HttpResult &result);

using HttpRequestNumber = StrongNumber<struct HttpRequestNumberTag>;

//! Sends requests to one server over persistent connections (Boost.Beast). A connection is reused only after a complete
//! response; it is closed after a timeout, a cancellation or a truncated response. Not thread-safe: may only be used on
//! the thread that runs the context.
class HttpClient
{
public:
    struct Options
    {
        Endpoint address;
        std::size_t maxBodyBytes = 0;
        Duration connectTimeout = std::chrono::seconds(1);
        //! Connections that were idle for longer are not reused. The server's Keep-Alive field may lower the limit.
        Duration maxIdleTime = std::chrono::seconds(60);
        //! Measures how long connections are idle.
        Clock clock = steadyClock();
        //! Treats a response without a length as complete if the server closes the connection in an orderly way.
        bool acceptsCloseDelimitedBodies = false;
        //! Name of the header that identifies a request and that the server repeats in its responses; empty if there is none.
        //! Responses to other requests are skipped, and no connection carries the same request twice.
        std::string requestIdHeader = {};
        //! Treats a response that does not repeat the request's id as unidentified. If not set, it is taken for the request's.
        bool requiresRequestId = false;
        //! Returns whether the connection may be reused after a complete response. If not set, it always may.
        std::function<bool(const HttpResponse &)> mayReuseAfter = nullptr;
        //! Bounds the memory of the responses that are being received, together with others. If not set, only each of them is bounded.
        std::shared_ptr<BodyMemory> responseMemory = nullptr;
    };
    using Callback = std::function<void(HttpResult)>;

    HttpClient(boost::asio::io_context &context, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Sends a request. The callback is called exactly once, and never before this function returns.
    HttpRequestNumber send(HttpRequest request, Duration timeout, Callback callback);
    //! Cancels a request by closing its connection; its callback receives the result so far. Ignored for finished requests.
    void cancel(HttpRequestNumber number);
    //! Closes the connections that carry no request, so that the next request opens a new one.
    void closeIdleConnections();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
