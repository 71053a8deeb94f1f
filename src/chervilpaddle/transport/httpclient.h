#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace chervilpaddle {

//! How far a request came.
enum class HttpStage {
    NotSent, //!< No byte left this process: the server cannot have run it.
    Sent, //!< It may have reached the server; there is no answer.
    Truncated, //!< The answer was cut short, or its end cannot be told.
    TooLarge, //!< The answer is over the limit.
    Complete, //!< The answer is here, whole.
};

struct HttpResult
{
    HttpStage stage = HttpStage::NotSent;
    HttpResponse response;
    bool timedOut = false;
    bool cancelled = false;
};

//! Why there is no whole answer of a backend server; nothing where there is one.
std::optional<ResultCode> transferFailure(const HttpResult &result);

using HttpRequestNumber = StrongNumber<struct HttpRequestNumberTag>;

//! Sends requests to one server over kept connections (Boost.Beast). A connection is used again only after a whole
//! answer; after a timeout, a cancel or a short body it is closed. Not thread safe: belongs to the context's thread.
class HttpClient
{
public:
    struct Options
    {
        Endpoint address;
        std::size_t maxBodyBytes = 0;
        Duration connectTimeout = std::chrono::seconds(1);
        //! A connection that has been idle for longer is not used again; a server's Keep-Alive field may shorten it.
        Duration maxIdleTime = std::chrono::seconds(60);
        //! Takes an answer without a length that ends with an orderly end of the connection for whole.
        bool acceptsCloseDelimitedBodies = false;
        //! Whether an answer belongs to the request; one that does not is skipped. Not set: every answer does.
        std::function<bool(const HttpRequest &, const HttpHeaders &)> isMatchingResponse = nullptr;
    };
    using Callback = std::function<void(const HttpResult &)>;

    HttpClient(boost::asio::io_context &context, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Sends a request; the callback is called exactly once, never before this returns.
    HttpRequestNumber send(HttpRequest request, Duration timeout, Callback callback);
    //! Closes the connection of a request; its callback is called with what is known. Ignored for ended requests.
    void cancel(HttpRequestNumber number);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
