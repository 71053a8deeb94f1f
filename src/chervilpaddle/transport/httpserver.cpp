#include <chervilpaddle/base/units.h>
#include <chervilpaddle/controllers/connectionlimit.h>
#include <chervilpaddle/transport/httpserver.h>
#include <chervilpaddle/transport/pendinginput.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chervilpaddle/base/resultcode.h>
#include <chrono>
#include <mutex>
#include <optional>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace chervilpaddle {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto bodyTimeout = std::chrono::seconds(10);
//! What is read ahead of the next request while one is being handled.
constexpr std::size_t maxPipelinedBytes = maxHeaderBytes;
//! How long, and how much of its input, a client that has been sent its last response is read on.
constexpr auto lingerTime = std::chrono::seconds(2);
constexpr std::size_t maxReadBytes = 64 * kibibyte;
constexpr std::size_t maxDiscardedBytes = 2 * mebibyte;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

bool mayHaveContent(http::status status)
{
    const bool isInterim = http::to_status_class(status) == http::status_class::informational;
    return !isInterim && status != http::status::no_content && status != http::status::not_modified;
}

//! Returns the activity that begins with a phase, or nothing if the one before goes on: a request that has begun to arrive serves nobody
//! yet.
std::optional<ConnectionLimit::Activity> activityIn(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Receiving:
        return std::nullopt;
    case ConnectionPhase::Idle:
    case ConnectionPhase::Responding:
        return ConnectionLimit::Activity::Waiting;
    case ConnectionPhase::Handling:
        return ConnectionLimit::Activity::Handling;
    case ConnectionPhase::Closing:
        break;
    }
    return ConnectionLimit::Activity::Closing;
}

class Session;

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

//! State shared by all connections of a server.
struct ServerState
{
    explicit ServerState(HttpServer::Options serverOptions)
        : limits(serverOptions.limits)
        , connectionLimit(serverOptions.maxConnections)
        , options(std::move(serverOptions))
        , requestMemory(std::make_shared<BodyMemory>(options.maxTotalBodyBytes))
    {
    }

    HttpLimits currentLimits() const
    {
        const std::lock_guard lock(limitsMutex);
        return limits.current();
    }
    HttpLimits widestLimitsSince(TimePoint since) const
    {
        const std::lock_guard lock(limitsMutex);
        return limits.widestSince(since);
    }

    //! Guards `limits`.
    mutable std::mutex limitsMutex;
    HttpLimitsInForce limits;
    //! Guards `sessions`, which holds the open connections, and `connectionLimit`.
    std::mutex sessionsMutex;
    std::unordered_map<ServedConnection, std::weak_ptr<Session>> sessions;
    ConnectionLimit connectionLimit;
    const HttpServer::Options options;
    const std::shared_ptr<BodyMemory> requestMemory;
    HttpServer::Handler handler;
    std::atomic<std::size_t> connections{0};
    std::atomic<bool> closeAfterResponses{false};
    std::atomic<bool> isClosing{false};
    std::atomic<std::chrono::steady_clock::time_point> lastRead{std::chrono::steady_clock::now()};
};

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<ServerState> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
    {
        const std::lock_guard lock(m_state->sessionsMutex);
        m_number = m_state->connectionLimit.add();
        ++m_state->connections;
    }
    ~Session()
    {
        unlist();
        --m_state->connections;
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    //! Makes the connection known to the server, so that it can be closed.
    void enlist()
    {
        const std::lock_guard lock(m_state->sessionsMutex);
        m_state->sessions[m_number] = weak_from_this();
    }

    //! Does nothing if this has been done before.
    void unlist()
    {
        const std::lock_guard lock(m_state->sessionsMutex);
        if (std::exchange(m_isListed, false)) {
            m_state->connectionLimit.remove(m_number);
            m_state->sessions.erase(m_number);
        }
    }

    //! Must run on the connection's thread.
    void start()
    {
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        waitForRequest();
        // A connection that is accepted while the server is being closed is not in the list that beginClosing() goes through.
        if (m_state->isClosing) {
            closeIfIdle();
        }
    }

    //! Must run on the connection's thread.
    void closeIfIdle()
    {
        if (m_phase == ConnectionPhase::Idle) {
            closeUnlessRequested(CloseReason::Shutdown);
        }
    }

    //! Closes the connection in favour of a new one, unless a request is being handled. Must run on the connection's thread.
    void displace()
    {
        if (m_phase == ConnectionPhase::Idle) {
            closeUnlessRequested(CloseReason::OverLimit);
        } else if (m_phase != ConnectionPhase::Handling) {
            close(CloseReason::OverLimit);
        }
    }

    //! May be called from any thread.
    void respond(std::uint64_t exchange, HttpResponse response)
    {
        std::shared_ptr<BodyMemory::Share> share = holdMemoryFor(response);
        asio::post(m_stream.get_executor(), [self = shared_from_this(), exchange, share, response = std::move(response)]() mutable {
            if (self->m_exchange == exchange && self->m_phase == ConnectionPhase::Handling) {
                const bool isGivenUp = share && share->isGivenUp();
                self->m_memoryShare = isGivenUp ? nullptr : std::move(share);
                self->write(isGivenUp ? lastResponse(ResultCode::AnswerTooLarge) : std::move(response));
            }
        });
    }

    auto executor()
    {
        return m_stream.get_executor();
    }

    void onDisconnect(std::function<void()> handler)
    {
        m_disconnectHandler = std::move(handler);
    }

    void setRequestId(const RequestId &request)
    {
        m_openRequest = request;
    }

private:
    void enter(ConnectionPhase phase)
    {
        m_phase = phase;
        ++m_step;
        if (const auto activity = activityIn(phase); activity && m_isListed) {
            const std::lock_guard lock(m_state->sessionsMutex);
            m_state->connectionLimit.setActivity(m_number, *activity);
        }
    }

    //! Wraps the handler of an operation that belongs to the current phase. A handler that is already queued cannot be cancelled, so
    //! it does nothing if the connection has entered another phase by the time it runs. It may take the number of bytes as well.
    template<typename Handler>
    auto unlessSuperseded(Handler handler)
    {
        return [self = shared_from_this(), step = m_step, handler = std::move(handler)](beast::error_code error, auto... bytes) {
            if (self->m_step != step) {
                return;
            }
            if constexpr (std::is_invocable_v<Handler, beast::error_code, decltype(bytes)...>) {
                handler(error, bytes...);
            } else {
                handler(error);
            }
        };
    }

    void waitForRequest()
    {
        m_requestShare.reset();
        if (m_buffer.size() > 0) {
            readHeader();
            return;
        }
        enter(ConnectionPhase::Idle);
        m_openRequest = RequestId();
        m_idleSince = currentTime();
        waitForIdleTimeout();
        m_stream.socket().async_wait(tcp::socket::wait_read, unlessSuperseded([this](beast::error_code error) {
                                         error ? close(CloseReason::ReadError, error) : readHeader();
                                     }));
    }

    //! The timeout can become longer while the connection is idle.
    void waitForIdleTimeout()
    {
        m_idleTimer.expires_at(idleDeadline());
        m_idleTimer.async_wait(unlessSuperseded([this](beast::error_code /*error*/) {
            currentTime() < idleDeadline() ? waitForIdleTimeout() : closeUnlessRequested(CloseReason::IdleTimeout);
        }));
    }

    TimePoint idleDeadline() const
    {
        return m_idleSince + m_state->widestLimitsSince(m_idleTimeAnnouncedAt).idleTimeout;
    }

    //! A request that has arrived is served, though it has not been noticed yet: the wait for input is about to end.
    void closeUnlessRequested(CloseReason reason)
    {
        std::error_code error;
        switch (peekInput(m_stream.socket().native_handle(), error)) {
        case PendingInput::Bytes:
            break;
        case PendingInput::None:
            close(reason);
            break;
        case PendingInput::EndOfStream:
            close(CloseReason::ClientClosed);
            break;
        case PendingInput::Error:
            close(CloseReason::ReadError, error);
            break;
        }
    }

    void readHeader()
    {
        enter(ConnectionPhase::Receiving);
        m_idleTimer.cancel();
        m_openRequest = RequestId();
        m_state->lastRead = std::chrono::steady_clock::now();
        m_parser.emplace();
        const HttpLimits limits = m_state->widestLimitsSince(currentTime());
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(m_state->options.maxBodyBytes);
        m_stream.expires_after(limits.headerTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser, unlessSuperseded([this](beast::error_code error) {
                                    error ? handleReadError(error) : readBody();
                                }));
    }

    void readBody()
    {
        m_lastRequestAt = std::chrono::steady_clock::now();
        const auto length = m_parser->content_length();
        if (length && *length > m_state->options.maxBodyBytes) {
            reject(ResultCode::BodyTooLarge, CloseReason::OverLimit);
            return;
        }
        m_parser->eager(true);
        m_stream.expires_after(bodyTimeout);
        // Not called directly: a client that half-closes behind its request still gets a response that is ready at once.
        asio::post(executor(), [read = unlessSuperseded([this](beast::error_code /*error*/) { continueBody(); })] { read({}); });
    }

    //! Parses what has been received, and receives more until the request is complete.
    void continueBody()
    {
        beast::error_code error;
        while (!error && !m_parser->is_done() && m_buffer.size() != 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
        }
        const std::size_t size = beast::read_size(m_buffer, maxReadBytes);
        if (error && error != http::error::need_more) {
            handleReadError(error);
        } else if (!holdRequest(BodyMemory::Use::Receiving)) {
            rejectForMemory();
        } else if (m_parser->is_done()) {
            checkRequest();
        } else if (size == 0) {
            handleReadError(http::error::buffer_overflow);
        } else {
            m_stream.async_read_some(m_buffer.prepare(size), unlessSuperseded([this](beast::error_code readError, std::size_t bytes = 0) {
                                         m_buffer.commit(bytes);
                                         if (readError) {
                                             handleReadError(readError == asio::error::eof ? http::error::partial_message : readError);
                                         } else {
                                             continueBody();
                                         }
                                     }));
        }
    }

    //! Takes memory for what has been received of the request's body; returns whether there is enough.
    bool holdRequest(BodyMemory::Use use)
    {
        const std::string &body = m_parser->get().body();
        if (body.empty() && !m_requestShare) {
            return true;
        }
        if (!m_requestShare) {
            m_requestShare = m_state->requestMemory->hold(postToSession(&Session::rejectIfGivenUp));
        }
        // A body without a length grows in leaps, one with a length is reserved at once, although most of it may never arrive.
        return m_requestShare->update(use, m_parser->chunked() ? body.capacity() : body.size());
    }

    //! The request may have become complete before this runs.
    void rejectIfGivenUp()
    {
        if (m_phase == ConnectionPhase::Receiving && m_requestShare && m_requestShare->isGivenUp()) {
            // The pending read must not write to the buffer any more.
            m_stream.cancel();
            rejectForMemory();
        }
    }

    //! Frees what has been received, although the client may still be sending.
    void rejectForMemory()
    {
        m_parser.emplace();
        m_requestShare.reset();
        reject(ResultCode::Shed, CloseReason::OverLimit);
    }

    //! Returns an action that runs another one on the connection's thread if the connection is still open.
    std::function<void()> postToSession(void (Session::*action)())
    {
        return [self = weak_from_this(), executor = executor(), action] {
            asio::post(executor, [self, action] {
                if (const auto session = self.lock(); session) {
                    (session.get()->*action)();
                }
            });
        };
    }

    //! A TRACE request must not have content (RFC 9110, 9.3.8); it could not be passed on.
    void checkRequest()
    {
        const auto &message = m_parser->get();
        if (message.method() == http::verb::trace && !message.body().empty()) {
            reject(ResultCode::Malformed, CloseReason::Malformed);
        } else if (!holdRequest(BodyMemory::Use::Committed)) {
            rejectForMemory();
        } else {
            handleRequest();
        }
    }

    void handleReadError(beast::error_code error)
    {
        if (error == http::error::body_limit) {
            reject(ResultCode::BodyTooLarge, CloseReason::OverLimit);
        } else if (error == http::error::end_of_stream) {
            // Nothing of a further request has arrived.
            enter(ConnectionPhase::Idle);
            close(CloseReason::ClientClosed);
        } else if (error == beast::error::timeout) {
            close(CloseReason::ReceiveTimeout);
        } else if (error.category() == asio::error::get_system_category() || error.category() == asio::error::get_misc_category()) {
            if (!m_parser->got_some()) {
                enter(ConnectionPhase::Idle);
            }
            close(CloseReason::ReadError, error);
        } else {
            reject(ResultCode::Malformed, CloseReason::Malformed);
        }
    }

    void reject(ResultCode code, CloseReason reason)
    {
        m_announcedReason = reason;
        write(lastResponse(code));
    }

    static HttpResponse lastResponse(ResultCode code)
    {
        const ResultCodeInfo &row = describe(code);
        HttpResponse response;
        response.status = row.httpStatus;
        response.headers.add(headers::outcome, outcomeName(outcomeOf(code)));
        response.headers.add(headers::code, std::to_string(static_cast<int>(code)));
        response.body = row.meaning;
        response.close = true;
        return response;
    }

    void handleRequest();

    //! Reads ahead while a request is being handled, as the end of the stream is seen only behind the bytes that precede it.
    void watchForDisconnect()
    {
        m_stream.expires_never();
        if (m_buffer.size() >= maxPipelinedBytes) {
            return;
        }
        m_stream.socket().async_wait(tcp::socket::wait_read, unlessSuperseded([this](beast::error_code error) {
                                         if (!error) {
                                             checkForDisconnect();
                                         }
                                     }));
    }

    void checkForDisconnect()
    {
        std::error_code error;
        switch (peekInput(m_stream.socket().native_handle(), error)) {
        case PendingInput::Bytes:
            readAvailable(maxPipelinedBytes - m_buffer.size());
            watchForDisconnect();
            break;
        case PendingInput::None:
            watchForDisconnect(); // Spurious wake-up.
            break;
        case PendingInput::EndOfStream:
            abandonExchange(CloseReason::ClientClosed, {});
            break;
        case PendingInput::Error:
            abandonExchange(CloseReason::ReadError, error);
            break;
        }
    }

    //! Reads bytes that are known to have arrived, so that this does not block. Returns their number.
    std::size_t readAvailable(std::size_t maxBytes)
    {
        beast::error_code ignored; // The next wait reports it.
        const std::size_t size = m_stream.socket().read_some(m_buffer.prepare(maxBytes), ignored);
        m_buffer.commit(size);
        return size;
    }

    void abandonExchange(CloseReason reason, std::error_code cause)
    {
        close(reason, cause);
        if (auto handler = std::move(m_disconnectHandler); handler) {
            handler();
        }
    }

    void write(HttpResponse response)
    {
        enter(ConnectionPhase::Responding);
        m_disconnectHandler = nullptr;
        m_response = std::make_unique<http::response<http::string_body>>();
        m_response->result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers.fields()) {
            m_response->insert(name, value);
        }
        if (mayHaveContent(m_response->result())) {
            m_response->body() = std::move(response.body);
        }
        const bool isKeepAliveRequested = m_parser && m_parser->is_header_done() && m_parser->get().keep_alive();
        if (!m_announcedReason && m_state->closeAfterResponses) {
            m_announcedReason = CloseReason::Shutdown;
        } else if (!m_announcedReason && (!isKeepAliveRequested || response.close)) {
            m_announcedReason = CloseReason::LastResponse;
        }
        m_response->keep_alive(!m_announcedReason);
        m_idleTimeAnnouncedAt = currentTime();
        if (const auto idleTime = announcedIdleTime(m_state->currentLimits().idleTimeout); !m_announcedReason && idleTime.count() > 0) {
            m_response->set(http::field::keep_alive, "timeout=" + std::to_string(idleTime.count()));
        }
        m_response->prepare_payload();
        m_serializer.emplace(*m_response);
        writeSome();
    }

    //! The timeout begins again whenever the client has taken something.
    void writeSome()
    {
        m_stream.expires_after(m_state->options.writeTimeout);
        http::async_write_some(m_stream, *m_serializer, unlessSuperseded([this](beast::error_code error) {
                                   if (!error && !m_serializer->is_done()) {
                                       writeSome();
                                       return;
                                   }
                                   m_serializer.reset();
                                   m_response.reset();
                                   m_memoryShare.reset();
                                   if (error) {
                                       close(CloseReason::WriteError, error);
                                   } else {
                                       m_announcedReason ? closeGracefully() : waitForRequest();
                                   }
                               }));
    }

    //! Takes memory for a response until it has been sent; if there is not enough, the response is replaced by an error.
    std::unique_ptr<BodyMemory::Share> holdMemoryFor(HttpResponse &response)
    {
        if (!m_state->options.responseMemory || response.body.empty()) {
            return nullptr;
        }
        auto share = m_state->options.responseMemory->hold(postToSession(&Session::closeIfGivenUp));
        if (!share->update(BodyMemory::Use::Sending, response.body.capacity())) {
            response = lastResponse(ResultCode::AnswerTooLarge);
            return nullptr;
        }
        return share;
    }

    //! The response that was given up may have been sent before this runs.
    void closeIfGivenUp()
    {
        if (m_memoryShare && m_memoryShare->isGivenUp()) {
            close(CloseReason::OverLimit);
        }
    }

    //! Half-closes the connection and reads on until the client closes it, too: closing it with unread input would reset it, which
    //! can destroy the response on its way.
    void closeGracefully()
    {
        enter(ConnectionPhase::Closing);
        m_requestShare.reset();
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_never();
        m_idleTimer.expires_after(lingerTime);
        m_idleTimer.async_wait(unlessSuperseded([this](beast::error_code /*error*/) { close(*m_announcedReason); }));
        discardInput(maxDiscardedBytes);
    }

    void discardInput(std::size_t maxBytes)
    {
        m_buffer.clear();
        m_stream.socket().async_wait(tcp::socket::wait_read, unlessSuperseded([this, maxBytes](beast::error_code /*error*/) {
                                         std::error_code error;
                                         const PendingInput pending = peekInput(m_stream.socket().native_handle(), error);
                                         const bool hasBytes = pending == PendingInput::Bytes;
                                         const std::size_t size = hasBytes ? readAvailable(std::min(maxBytes, maxPipelinedBytes)) : 0;
                                         const bool mayFollow = (hasBytes && size < maxBytes) || pending == PendingInput::None;
                                         mayFollow ? discardInput(maxBytes - size) : close(*m_announcedReason);
                                     }));
    }

    void close(CloseReason reason, std::error_code cause = {})
    {
        const ClosedConnection closed = describeEnd(reason, cause);
        enter(ConnectionPhase::Closing);
        beast::error_code ignored;
        m_idleTimer.cancel();
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
        unlist();
        if (m_state->options.connectionClosed && !std::exchange(m_isReported, true)) {
            m_state->options.connectionClosed(closed);
        }
    }

    ClosedConnection describeEnd(CloseReason reason, std::error_code cause) const
    {
        const auto now = std::chrono::steady_clock::now();
        ClosedConnection closed;
        closed.reason = reason;
        closed.error = cause;
        closed.age = std::chrono::duration_cast<Duration>(now - m_openedAt);
        closed.sinceLastRequest = std::chrono::duration_cast<Duration>(now - m_lastRequestAt);
        closed.requests = m_exchange;
        closed.phase = m_phase;
        closed.openRequest = m_openRequest;
        return closed;
    }

    ServedConnection m_number;
    //! Whether the connection counts as one of the server's.
    bool m_isListed = true;
    beast::tcp_stream m_stream;
    asio::steady_timer m_idleTimer{m_stream.get_executor()};
    std::shared_ptr<ServerState> m_state;
    //! The memory of the request; its body may be passed on, but is not freed before the response.
    std::unique_ptr<BodyMemory::Share> m_requestShare;
    beast::flat_buffer m_buffer{maxReadAheadBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::unique_ptr<http::response<http::string_body>> m_response;
    std::optional<http::response_serializer<http::string_body>> m_serializer;
    std::shared_ptr<BodyMemory::Share> m_memoryShare;
    std::function<void()> m_disconnectHandler;
    const std::chrono::steady_clock::time_point m_openedAt = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point m_lastRequestAt = m_openedAt;
    TimePoint m_idleSince;
    //! When the client was last told how long it may leave the connection idle, or the connection was opened.
    TimePoint m_idleTimeAnnouncedAt = currentTime();
    //! Why the response that is being sent announces the close; empty if the connection stays open.
    std::optional<CloseReason> m_announcedReason;
    RequestId m_openRequest;
    std::uint64_t m_exchange = 0;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    //! Number of phases entered so far.
    std::uint64_t m_step = 0;
    bool m_isReported = false;
};

class SessionExchange : public HttpExchange
{
public:
    SessionExchange(std::shared_ptr<Session> session, std::uint64_t number, HttpRequest request)
        : m_session(std::move(session))
        , m_number(number)
        , m_request(std::move(request))
    {
    }
    const HttpRequest &request() const override
    {
        return m_request;
    }
    HttpRequest &mutableRequest() override
    {
        return m_request;
    }
    std::string takeBody() override
    {
        return std::move(m_request.body);
    }
    void respond(HttpResponse response) override
    {
        m_session->respond(m_number, std::move(response));
    }
    void onDisconnect(std::function<void()> handler) override
    {
        m_session->onDisconnect(std::move(handler));
    }
    void setRequestId(const RequestId &request) override
    {
        m_session->setRequestId(request);
    }

private:
    std::shared_ptr<Session> m_session;
    std::uint64_t m_number;
    HttpRequest m_request;
};

void Session::handleRequest()
{
    auto &message = m_parser->get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    enter(ConnectionPhase::Handling);
    ++m_exchange;
    watchForDisconnect();
    try {
        m_state->handler(std::make_shared<SessionExchange>(shared_from_this(), m_exchange, std::move(request)));
    } catch (...) {
        // Has no effect if the handler has responded before.
        respond(m_exchange, lastResponse(ResultCode::NodeFailed));
        throw;
    }
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(std::vector<asio::io_context *> contexts, Options options, Handler handler)
        : m_contexts(std::move(contexts))
        , m_acceptor(*m_contexts.front())
        , m_acceptTimer(*m_contexts.front())
        , m_state(std::make_shared<ServerState>(std::move(options)))
    {
        m_state->handler = std::move(handler);
    }

    std::error_code listen()
    {
        beast::error_code error;
        const tcp::endpoint address(asio::ip::make_address(m_state->options.address.host, error), m_state->options.address.port);
        m_acceptor.open(address.protocol(), error);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(address, error);
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return ResultCode::AddressInUse;
        }
        accept();
        return {};
    }

    void stopAccepting()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->closeAcceptor(); });
    }

    void closeAfterResponses()
    {
        m_state->closeAfterResponses = true;
    }

    void beginClosing()
    {
        m_state->closeAfterResponses = true;
        m_state->isClosing = true;
        stopAccepting();
        for (const auto &session : openSessions()) {
            asio::post(session->executor(), [session] { session->closeIfIdle(); });
        }
    }

    void setLimits(const HttpLimits &limits)
    {
        const std::lock_guard lock(m_state->limitsMutex);
        m_state->limits.set(limits, currentTime());
    }

    bool hasConnections() const
    {
        return m_state->connections > 0;
    }

    bool hasBeenIdleFor(std::chrono::milliseconds duration) const
    {
        return m_state->connections == 0 || std::chrono::steady_clock::now() - m_state->lastRead.load() > duration;
    }

private:
    std::vector<std::shared_ptr<Session>> openSessions() const
    {
        std::vector<std::shared_ptr<Session>> open;
        const std::lock_guard lock(m_state->sessionsMutex);
        for (const auto &[key, session] : m_state->sessions) {
            if (auto locked = session.lock(); locked) {
                open.push_back(std::move(locked));
            }
        }
        return open;
    }

    asio::io_context &nextContext()
    {
        return *m_contexts[m_nextContext++ % m_contexts.size()];
    }

    void accept()
    {
        m_acceptor.async_accept(nextContext(), [self = shared_from_this()](beast::error_code error, tcp::socket socket) {
            if (self->m_acceptor.is_open()) {
                error ? self->acceptLater() : self->accept();
            }
            if (!error) {
                self->startSession(std::move(socket));
            }
        });
    }

    //! Without descriptors or memory each attempt fails at once, as the connection stays in the backlog.
    void acceptLater()
    {
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](beast::error_code /*error*/) {
            if (self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void startSession(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        if (!makeRoom()) {
            asio::post(executor, [state = m_state] {
                if (state->options.connectionClosed) {
                    ClosedConnection closed;
                    closed.reason = CloseReason::OverLimit;
                    state->options.connectionClosed(closed);
                }
            });
            return;
        }
        const auto session = std::make_shared<Session>(std::move(socket), m_state);
        session->enlist();
        asio::post(executor, [session] { session->start(); });
    }

    //! Returns whether a connection may be added; another one may be closed for it.
    bool makeRoom()
    {
        std::shared_ptr<Session> displaced;
        {
            const std::lock_guard lock(m_state->sessionsMutex);
            if (!m_state->connectionLimit.isFull()) {
                return true;
            }
            if (const auto connection = m_state->connectionLimit.displace(); connection) {
                displaced = m_state->sessions[*connection].lock();
            }
        }
        if (displaced) {
            asio::post(displaced->executor(), [displaced] { displaced->displace(); });
        }
        return displaced != nullptr;
    }

    //! Closing a listening socket resets the connections in its backlog, so these are accepted first.
    void closeAcceptor()
    {
        beast::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(nextContext());
            m_acceptor.accept(socket, error);
            if (!error) {
                startSession(std::move(socket));
            }
        }
        m_acceptor.close(error);
        m_acceptTimer.cancel();
    }

    std::vector<asio::io_context *> m_contexts;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    std::size_t m_nextContext = 0;
    std::shared_ptr<ServerState> m_state;
};

HttpServer::HttpServer(std::vector<boost::asio::io_context *> contexts, Options options, Handler handler)
    : m_impl(std::make_shared<Impl>(std::move(contexts), std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_impl->stopAccepting();
}

std::error_code HttpServer::listen()
{
    return m_impl->listen();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::stopAccepting()
{
    m_impl->stopAccepting();
}

void HttpServer::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

void HttpServer::beginClosing()
{
    m_impl->beginClosing();
}

bool HttpServer::hasConnections() const
{
    return m_impl->hasConnections();
}

bool HttpServer::hasBeenIdleFor(std::chrono::milliseconds duration) const
{
    return m_impl->hasBeenIdleFor(duration);
}

} // namespace chervilpaddle
