#include <chervilpaddle/transport/httpclient.h>

#include <chervilpaddle/base/httpsyntax.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/units.h>
#include <chervilpaddle/transport/foldedlinedetector.h>
#include <chervilpaddle/transport/pendinginput.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilpaddle {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t maxIdleConnections = 128;
//! Subtracted from the idle timeout that a server announces: a request sent just before it would cross the server's close.
constexpr Duration idleMargin = std::chrono::seconds(1);
//! Number of responses to earlier requests that are skipped before a connection is closed.
constexpr int maxSkippedResponses = 3;
//! Bounds the memory for the ids of the requests that a connection has carried.
constexpr std::size_t maxRequestsPerConnection = 1024;
constexpr std::size_t maxReadBytes = 64 * kibibyte;

//! Which request a response belongs to.
enum class ResponseOrigin {
    ThisRequest,
    OtherRequest,
    Unknown,
};

//! Returns the idle timeout that a Keep-Alive field announces.
std::optional<Duration> announcedIdleTimeout(const http::fields &fields)
{
    const auto value = fields["Keep-Alive"];
    const auto at = value.find("timeout=");
    if (at == beast::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto digits = value.substr(at + 8);
    const auto [rest, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

//! Returns whether a write has failed because the connection did, without an orderly end. A broken pipe says that the orderly end had
//! been received before.
bool isConnectionFailure(const beast::error_code &writeError)
{
    const bool isClosedHere = writeError == asio::error::operation_aborted || writeError == asio::error::bad_descriptor;
    return writeError && !isClosedHere && writeError != asio::error::broken_pipe;
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using CompletionHandler = std::function<void(const std::shared_ptr<Connection> &, HttpResult)>;

    Connection(asio::io_context &context, const HttpClient::Options &options)
        : m_stream(context)
        , m_options(options)
    {
    }

    bool isUsable()
    {
        const bool isWithinIdleLimit = m_options.clock() - m_idleSince < m_maxIdleTime;
        if (!isWithinIdleLimit || !m_stream.socket().is_open() || m_buffer.size() != 0) {
            return false;
        }
        std::error_code error;
        return peekInput(m_stream.socket().native_handle(), error) == PendingInput::None;
    }

    //! A second response to a request cannot be told from the response to the same request sent again.
    bool hasCarried(const HttpRequest &request) const
    {
        const std::string *id = findRequestId(request);
        return id != nullptr && std::find(m_carriedIds.begin(), m_carriedIds.end(), stableHash(*id)) != m_carriedIds.end();
    }

    void connectAndSend(HttpRequest request, Duration timeout, CompletionHandler completionHandler)
    {
        prepare(std::move(request), timeout, std::move(completionHandler));
        beast::error_code error;
        const tcp::endpoint address(asio::ip::make_address(m_options.address.host, error), m_options.address.port);
        m_stream.expires_after(std::min(m_options.connectTimeout, timeout));
        m_stream.async_connect(address, [self = shared_from_this()](beast::error_code connectError) {
            if (connectError) {
                self->complete({HttpStage::NotSent, {}, connectError == beast::error::timeout, self->m_cancelled});
                return;
            }
            beast::error_code ignored;
            self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void send(HttpRequest request, Duration timeout, CompletionHandler completionHandler)
    {
        prepare(std::move(request), timeout, std::move(completionHandler));
        write();
    }

    void cancel()
    {
        m_cancelled = true;
        m_stream.close();
    }

private:
    void prepare(HttpRequest request, Duration timeout, CompletionHandler completionHandler)
    {
        m_completionHandler = std::move(completionHandler);
        m_deadline = std::chrono::steady_clock::now() + timeout;
        m_skippedResponses = 0;
        m_reusable = false;
        m_writeError = {};
        m_hasEndOfStream = false;
        m_request = {};
        m_request.version(11);
        m_request.method_string(request.method);
        m_request.target(request.target);
        for (const auto &[name, value] : request.headers.fields()) {
            m_request.insert(name, value);
        }
        if (m_request.find(http::field::host) == m_request.end()) {
            m_request.set(http::field::host, toText(m_options.address));
        }
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
        m_sentRequest = std::move(request);
        if (const std::string *id = findRequestId(m_sentRequest); id != nullptr) {
            m_carriedIds.push_back(stableHash(*id));
        }
        resetParser();
    }

    void resetParser()
    {
        m_parser.emplace();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(m_options.maxBodyBytes);
        m_foldedLines = {};
        m_examinedBytes = 0;
    }

    //! Reads while writing, because a server may respond before it has received the entire body.
    void write()
    {
        if (m_cancelled) {
            complete({HttpStage::NotSent, {}, false, true});
            return;
        }
        m_stream.expires_at(m_deadline);
        m_writing = true;
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code error, std::size_t /*bytes*/) {
            // A failed write does not end the exchange, as a response may have been received.
            self->m_writing = false;
            self->m_writeError = error;
            if (std::exchange(self->m_hasEndOfStream, false)) {
                self->handleEndOfStream();
            }
        });
        read();
    }

    //! Parses what has been received, and receives more until the response is complete.
    void read()
    {
        beast::error_code error;
        while (!error && !m_parser->is_done() && m_buffer.size() != 0) {
            error = parse();
        }
        if (m_parser->is_done() || (error && error != http::error::need_more)) {
            handleRead(error);
            return;
        }
        if (!holdReceived()) {
            handleRead(http::error::body_limit);
            return;
        }
        const std::size_t size = beast::read_size(m_buffer, maxReadBytes);
        if (size == 0) {
            handleRead(http::error::buffer_overflow);
            return;
        }
        m_stream.async_read_some(m_buffer.prepare(size), [self = shared_from_this()](beast::error_code readError, std::size_t bytes) {
            self->m_buffer.commit(bytes);
            if (readError) {
                self->handleReadError(readError);
            } else {
                self->read();
            }
        });
    }

    //! Parses the next part of the buffer: the head, or some of the body. The parser loses the error of a content length over the limit
    //! if both are parsed at once.
    beast::error_code parse()
    {
        const bool isInHead = !m_parser->is_header_done();
        if (isInHead && hasFoldedLine()) {
            return http::error::bad_field;
        }
        beast::error_code error;
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        m_examinedBytes -= std::min(used, m_examinedBytes);
        if (!error && isInHead) {
            takeHead();
            if (!isHttpStatus(m_response.status)) {
                return http::error::bad_status;
            }
        }
        return error;
    }

    //! Takes memory for what has been received so far; returns whether there is enough.
    bool holdReceived()
    {
        if (!m_options.responseMemory) {
            return true;
        }
        if (!m_memoryShare) {
            m_memoryShare = m_options.responseMemory->hold([self = weak_from_this(), executor = m_stream.get_executor()] {
                asio::post(executor, [self] {
                    if (const auto connection = self.lock(); connection) {
                        connection->closeIfGivenUp();
                    }
                });
            });
        }
        const bool isOpenEnded = m_parser->is_header_done() && !m_parser->content_length();
        const std::string &body = m_parser->get().body();
        // A body without a length grows in leaps, one with a length is reserved at once, although most of it may never arrive.
        const std::size_t bodyBytes = isOpenEnded ? body.capacity() : body.size();
        return m_memoryShare->update(isOpenEnded ? BodyMemory::Use::ReceivingOpenEnded : BodyMemory::Use::Receiving,
                                     m_buffer.capacity() + bodyBytes);
    }

    bool isGivenUp() const
    {
        return m_memoryShare && m_memoryShare->isGivenUp();
    }

    //! The exchange that was given up may have ended before this runs.
    void closeIfGivenUp()
    {
        if (isGivenUp()) {
            m_stream.close();
        }
    }

    //! Examines what has been added to the buffer. The parser joins folded lines, so that they must be found before.
    bool hasFoldedLine()
    {
        const std::string_view received(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
        const bool isFolded = m_foldedLines.examine(received.substr(m_examinedBytes));
        m_examinedBytes = received.size();
        return isFolded;
    }

    void handleReadError(beast::error_code error)
    {
        if (error != asio::error::eof || !m_parser->got_some()) {
            handleRead(error);
        } else if (m_writing) {
            // The write may have taken the report of a reset; its result is known once it has ended.
            m_hasEndOfStream = true;
            m_stream.close();
        } else {
            handleEndOfStream();
        }
    }

    //! Completes a body that the end of the connection delimits. The system reports a failed connection only once: if a write has taken
    //! the report, the next read sees an end of stream.
    void handleEndOfStream()
    {
        beast::error_code error = m_writeError;
        if (!isConnectionFailure(m_writeError)) {
            error = {};
            m_parser->put_eof(error);
        }
        handleRead(error);
    }

    void handleRead(beast::error_code error)
    {
        HttpResult result;
        result.cancelled = m_cancelled;
        result.timedOut = error == beast::error::timeout;
        if (error == http::error::body_limit || (error && isGivenUp())) {
            result.stage = HttpStage::TooLarge;
        } else if (error) {
            result.stage = m_parser->got_some() || m_buffer.size() != 0 ? HttpStage::Truncated : HttpStage::Sent;
        } else {
            const ResponseOrigin origin = originOf(m_response);
            const bool isExpected = !isInterim() && origin != ResponseOrigin::OtherRequest;
            if (!isExpected && maySkipResponse()) {
                resetParser();
                read();
                return;
            }
            if (!isExpected || !hasVerifiableEnd()) {
                result.stage = HttpStage::Truncated;
            } else if (origin == ResponseOrigin::Unknown) {
                result.stage = HttpStage::Unidentified;
            } else {
                result.stage = HttpStage::Complete;
                result.response = std::move(m_response);
                result.response.body = std::move(m_parser->get().body());
            }
        }
        m_reusable = result.stage == HttpStage::Complete && mayReuseAfter(result.response);
        if (m_reusable) {
            // A server need not announce its timeout in each response.
            if (const auto announced = announcedIdleTimeout(m_parser->get()); announced) {
                m_maxIdleTime = std::min<Duration>(m_options.maxIdleTime, *announced - idleMargin);
            }
            m_idleSince = m_options.clock();
        }
        complete(std::move(result));
    }

    //! Returns whether the response announces that the final one follows.
    bool isInterim() const
    {
        return http::to_status_class(m_parser->get().result()) == http::status_class::informational;
    }

    //! Returns the id that the server repeats in its responses to the request, or nullptr if there is none.
    const std::string *findRequestId(const HttpRequest &request) const
    {
        return m_options.requestIdHeader.empty() ? nullptr : request.headers.find(m_options.requestIdHeader);
    }

    ResponseOrigin originOf(const HttpResponse &response) const
    {
        const std::string *id = findRequestId(m_sentRequest);
        if (id == nullptr) {
            return ResponseOrigin::ThisRequest;
        }
        bool namesThis = false;
        bool namesOther = false;
        for (const auto &[name, value] : response.headers.fields()) {
            if (beast::iequals(name, m_options.requestIdHeader) && !value.empty()) {
                (value == *id ? namesThis : namesOther) = true;
            }
        }
        if (namesThis != namesOther) {
            return namesThis ? ResponseOrigin::ThisRequest : ResponseOrigin::OtherRequest;
        }
        return namesThis || m_options.requiresRequestId ? ResponseOrigin::Unknown : ResponseOrigin::ThisRequest;
    }

    bool mayReuseAfter(const HttpResponse &response) const
    {
        return !m_writing && !m_cancelled && !isCloseDelimited() && m_parser->get().keep_alive()
            && m_carriedIds.size() < maxRequestsPerConnection && (!m_options.mayReuseAfter || m_options.mayReuseAfter(response));
    }

    bool maySkipResponse()
    {
        return m_parser->get().keep_alive() && !isCloseDelimited() && ++m_skippedResponses <= maxSkippedResponses;
    }

    //! Returns whether the body ends with the connection, so that its completeness cannot be verified.
    bool isCloseDelimited() const
    {
        const auto status = m_parser->get().result();
        const bool hasNoBody = isInterim() || status == http::status::no_content || status == http::status::not_modified;
        return !hasNoBody && !m_parser->chunked() && !m_parser->content_length();
    }

    bool hasVerifiableEnd() const
    {
        return !hasUnknownTransferCoding() && (m_options.acceptsCloseDelimitedBodies || !isCloseDelimited());
    }

    //! Returns whether the body is in a transfer coding that is not decoded.
    bool hasUnknownTransferCoding() const
    {
        const auto &fields = m_parser->get();
        const auto coding = fields.find(http::field::transfer_encoding);
        return coding != fields.end() && !beast::iequals(coding->value(), "chunked");
    }

    //! Copies status and fields before the parser adds the trailer to them: a trailer field must not change what the head says.
    void takeHead()
    {
        const auto &head = m_parser->get();
        m_response = {};
        m_response.status = static_cast<int>(head.result_int());
        for (const auto &field : head) {
            m_response.headers.add(std::string(field.name_string()), std::string(field.value()));
        }
    }

    void complete(HttpResult result)
    {
        m_memoryShare.reset();
        if (!m_reusable) {
            m_stream.close();
        } else {
            m_stream.expires_never();
        }
        const auto completionHandler = std::exchange(m_completionHandler, nullptr);
        completionHandler(m_reusable ? shared_from_this() : nullptr, std::move(result));
    }

    beast::tcp_stream m_stream;
    HttpClient::Options m_options;
    beast::flat_buffer m_buffer{maxReadAheadBytes};
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::unique_ptr<BodyMemory::Share> m_memoryShare;
    //! Status and fields of the response that is being received.
    HttpResponse m_response;
    FoldedLineDetector m_foldedLines;
    //! How much of the buffer the detector has examined.
    std::size_t m_examinedBytes = 0;
    std::chrono::steady_clock::time_point m_deadline;
    CompletionHandler m_completionHandler;
    bool m_cancelled = false;
    bool m_reusable = false;
    bool m_writing = false;
    beast::error_code m_writeError;
    //! The end of the stream was received while the request was still being written.
    bool m_hasEndOfStream = false;
    int m_skippedResponses = 0;
    //! The request without its body, to check whether a response belongs to it.
    HttpRequest m_sentRequest;
    std::vector<std::uint64_t> m_carriedIds;
    Duration m_maxIdleTime = m_options.maxIdleTime;
    TimePoint m_idleSince;
};

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(asio::io_context &context, Options options)
        : m_context(context)
        , m_options(std::move(options))
    {
    }

    HttpRequestNumber send(HttpRequest request, Duration timeout, Callback callback)
    {
        const HttpRequestNumber number(++m_lastNumber);
        auto completionHandler = [self = shared_from_this(), number, callback = std::move(callback)](
                                     const std::shared_ptr<Connection> &reusable, HttpResult result) {
            self->m_active.erase(number);
            if (reusable && self->m_idle.size() < maxIdleConnections) {
                self->m_idle.push_back(reusable);
            }
            callback(std::move(result));
        };
        if (auto connection = takeIdleConnection(request); connection) {
            m_active[number] = connection;
            connection->send(std::move(request), timeout, std::move(completionHandler));
            return number;
        }
        auto connection = std::make_shared<Connection>(m_context, m_options);
        m_active[number] = connection;
        connection->connectAndSend(std::move(request), timeout, std::move(completionHandler));
        return number;
    }

    void cancel(HttpRequestNumber number)
    {
        if (const auto active = m_active.find(number); active != m_active.end()) {
            active->second->cancel();
        }
    }

    void closeIdleConnections()
    {
        m_idle.clear();
    }

private:
    std::shared_ptr<Connection> takeIdleConnection(const HttpRequest &request)
    {
        for (std::size_t i = m_idle.size(); i-- > 0;) {
            auto connection = m_idle[i];
            const bool isUsable = connection->isUsable();
            if (isUsable && connection->hasCarried(request)) {
                continue;
            }
            m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
            if (isUsable) {
                return connection;
            }
        }
        return nullptr;
    }

    asio::io_context &m_context;
    Options m_options;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<HttpRequestNumber, std::shared_ptr<Connection>> m_active;
    std::vector<std::shared_ptr<Connection>> m_idle;
};

std::optional<ResultCode> transferFailure(const HttpResult &result)
{
    switch (result.stage) {
    case HttpStage::NotSent:
        return result.cancelled ? ResultCode::CancelledBeforeStart : ResultCode::BackendUnreachable;
    case HttpStage::Sent:
        if (result.cancelled) {
            return ResultCode::CancelledWhileRunning;
        }
        return result.timedOut ? ResultCode::DeadlineWhileRunning : ResultCode::AnswerLost;
    case HttpStage::Truncated:
        return ResultCode::AnswerTruncated;
    case HttpStage::TooLarge:
        return ResultCode::AnswerTooLarge;
    case HttpStage::Unidentified:
        return ResultCode::AnswerUnverified;
    case HttpStage::Complete:
        break;
    }
    return std::nullopt;
}

HttpClient::HttpClient(boost::asio::io_context &context, Options options)
    : m_impl(std::make_shared<Impl>(context, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

HttpRequestNumber HttpClient::send(HttpRequest request, Duration timeout, Callback callback)
{
    return m_impl->send(std::move(request), timeout, std::move(callback));
}

void HttpClient::cancel(HttpRequestNumber number)
{
    m_impl->cancel(number);
}

void HttpClient::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

} // namespace chervilpaddle
