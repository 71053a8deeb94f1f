#include "descriptorhoard.h"
#include "endlessbytes.h"

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/transport/eventloop.h>
#include <chervilpaddle/transport/httpserver.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <criterion/criterion.h>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

using namespace chervilpaddle;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::uint16_t freePort()
{
    asio::io_context context;
    return tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

//! A server on a thread of its own that counts the requests it handles.
class CountingServer
{
public:
    explicit CountingServer(std::chrono::milliseconds idleTimeout = std::chrono::seconds(75))
        : CountingServer(idleLimits(idleTimeout))
    {
    }
    explicit CountingServer(const HttpLimits &limits)
        : m_address{"127.0.0.1", freePort()}
        , m_server({&m_context}, options(limits), [this](const std::shared_ptr<HttpExchange> &exchange) {
            ++m_handled;
            exchange->respond(textResponse(200, "text/plain", "ok"));
        })
    {
        cr_assert_not(m_server.listen());
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~CountingServer()
    {
        m_context.stop();
        m_thread.join();
    }
    CountingServer(const CountingServer &) = delete;
    CountingServer &operator=(const CountingServer &) = delete;

    tcp::socket connect(asio::io_context &context) const
    {
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address(m_address.host), m_address.port});
        return socket;
    }

    HttpServer &server()
    {
        return m_server;
    }

    int handled() const
    {
        return m_handled;
    }

    //! Ends of connections so far, in order.
    std::vector<ClosedConnection> closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    //! Waits until this many connections have ended.
    std::vector<ClosedConnection> waitForClosed(std::size_t count) const
    {
        std::unique_lock lock(m_mutex);
        m_closedChanged.wait(lock, [this, count] { return m_closed.size() >= count; });
        return m_closed;
    }

    //! Blocks the server's thread, after what is already queued, until `released` is ready. The returned future is ready as soon
    //! as the thread is blocked.
    std::future<void> block(std::shared_future<void> released)
    {
        const auto blocked = std::make_shared<std::promise<void>>();
        asio::post(m_context, [blocked, released = std::move(released)] {
            blocked->set_value();
            released.wait();
        });
        return blocked->get_future();
    }

private:
    static HttpLimits idleLimits(std::chrono::milliseconds idleTimeout)
    {
        HttpLimits limits;
        limits.idleTimeout = idleTimeout;
        return limits;
    }

    HttpServer::Options options(const HttpLimits &limits)
    {
        HttpServer::Options options;
        options.address = m_address;
        options.maxBodyBytes = 64 * kibibyte;
        options.limits = limits;
        options.connectionClosed = [this](const ClosedConnection &closed) {
            const std::lock_guard lock(m_mutex);
            m_closed.push_back(closed);
            m_closedChanged.notify_all();
        };
        return options;
    }

    Endpoint m_address;
    asio::io_context m_context;
    std::atomic<int> m_handled{0};
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_closedChanged;
    std::vector<ClosedConnection> m_closed;
    HttpServer m_server;
    std::thread m_thread;
};

//! Sends a pattern until the server closes the connection; returns how many bytes it took, at most the limit.
std::size_t flood(tcp::socket &socket, const std::string &start, const std::string &pattern)
{
    const std::string block = tests::floodBlock(pattern);
    boost::system::error_code error;
    std::size_t sent = asio::write(socket, asio::buffer(start), error);
    while (!error && sent < tests::maxFloodBytes) {
        sent += asio::write(socket, asio::buffer(block), error);
    }
    return sent;
}

void send(tcp::socket &socket, const std::string &request)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
}

//! Returns what the server sends next, or an empty string if the connection ends.
std::string receive(tcp::socket &socket)
{
    boost::system::error_code error;
    std::string response(256, '\0');
    response.resize(socket.read_some(asio::buffer(response), error));
    return response;
}

//! Returns the status line of the next response, or an empty string if the connection ends without one.
std::string receiveStatusLine(tcp::socket &socket)
{
    const std::string response = receive(socket);
    return response.substr(0, response.find('\r'));
}

std::string statusLineOf(tcp::socket &socket, const std::string &request)
{
    send(socket, request);
    return receiveStatusLine(socket);
}

const std::string plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

//! A server and an idle connection to it, while the server's thread is blocked.
struct BlockedServer
{
    BlockedServer(std::chrono::milliseconds idleTimeout, bool isUsedBefore)
        : server(idleTimeout)
        , socket(server.connect(context))
    {
        if (isUsedBefore) {
            statusLineOf(socket, plainRequest);
        } else {
            // The server accepts in order, so the first connection is open as soon as the second one gets a response.
            tcp::socket second = server.connect(context);
            statusLineOf(second, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        }
        server.block(released.get_future().share()).wait();
    }

    CountingServer server;
    asio::io_context context;
    tcp::socket socket;
    std::promise<void> released;
};

//! Returns a server whose thread was blocked before the idle timeout of its connection.
std::unique_ptr<BlockedServer> blockBeforeIdleTimeout(std::chrono::milliseconds idleTimeout, bool isUsedBefore)
{
    const auto isTimedOut = [](const ClosedConnection &closed) { return closed.reason == CloseReason::IdleTimeout; };
    auto blocked = std::make_unique<BlockedServer>(idleTimeout, isUsedBefore);
    for (auto ends = blocked->server.closed(); std::any_of(ends.begin(), ends.end(), isTimedOut); ends = blocked->server.closed()) {
        blocked->released.set_value();
        blocked = std::make_unique<BlockedServer>(idleTimeout, isUsedBefore);
    }
    return blocked;
}
} // namespace

Test(httpserver, bytes_without_end_are_cut_off)
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const tests::EndlessCase cases[] = {
        {"request line", "GET /", "xyz"},
        {"no HTTP at all", "", "\x01\x02"},
        {"empty lines", "", "\r\n"},
        {"header line", "GET / HTTP/1.1\r\nName: ", "xyz"},
        {"header block", "GET / HTTP/1.1\r\n", "Name: value\r\n"},
        {"chunks", chunked, "3\r\nxyz\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "3;", "name=value;"},
        {"trailer line", chunked + "0\r\nName: ", "xyz"},
        {"trailer block", chunked + "0\r\n", "Name: value\r\n"},
    };
    CountingServer server;
    asio::io_context context;
    for (const tests::EndlessCase &testCase : cases) {
        tcp::socket socket = server.connect(context);
        const std::size_t sent = flood(socket, testCase.start, testCase.endless);
        // Most of this lies in the buffers of the two sockets.
        cr_expect_lt(sent, tests::maxFloodBytes, "%s: %zu bytes were taken", testCase.description, sent);
        cr_expect_eq(server.handled(), 0, "%s was taken for a request", testCase.description);
    }
    tcp::socket socket = server.connect(context);
    cr_assert(statusLineOf(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") == "HTTP/1.1 200 OK");
}

Test(httpserver, each_end_of_a_connection_is_reported_with_its_reason)
{
    struct Case
    {
        const char *description;
        std::string bytes;
        bool clientCloses;
        CloseReason reason;
        ConnectionPhase phase;
    };
    const Case cases[] = {
        {"unused for the idle timeout", plainRequest, false, CloseReason::IdleTimeout, ConnectionPhase::Idle},
        {"closed by the client", plainRequest, true, CloseReason::ClientClosed, ConnectionPhase::Idle},
        {"closed by the client within a request", "GET / HT", true, CloseReason::Malformed, ConnectionPhase::Closing},
        {"not a request", "nonsense\r\n\r\n", false, CloseReason::Malformed, ConnectionPhase::Closing},
        {"body over the limit",
         "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
         false,
         CloseReason::OverLimit,
         ConnectionPhase::Closing},
        {"close asked for", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false, CloseReason::LastResponse, ConnectionPhase::Closing},
    };
    for (const Case &testCase : cases) {
        CountingServer server(std::chrono::milliseconds(200));
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        send(socket, testCase.bytes);
        if (testCase.clientCloses) {
            socket.shutdown(tcp::socket::shutdown_send);
        }
        boost::system::error_code error;
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), error);
        const auto closed = server.waitForClosed(1);
        cr_expect(closed[0].reason == testCase.reason && closed[0].phase == testCase.phase,
                  "%s: %s",
                  testCase.description,
                  toText(closed[0]).c_str());
    }
}

Test(httpserver, the_idle_timeout_does_not_close_a_connection_whose_request_has_arrived)
{
    struct Case
    {
        const char *description;
        bool isUsedBefore;
        bool isNoticedBeforeTimeout;
    };
    const Case cases[] = {{"noticed before the timeout, read after it", true, true},
                          {"neither noticed nor read before the timeout", true, false},
                          {"first request, noticed before the timeout", false, true},
                          {"first request, noticed and timed out in one poll", false, false}};
    constexpr std::chrono::milliseconds idleTimeout(200);
    for (const Case &testCase : cases) {
        const auto blocked = blockBeforeIdleTimeout(idleTimeout, testCase.isUsedBefore);
        send(blocked->socket, plainRequest);
        std::promise<void> timeoutOver;
        if (testCase.isNoticedBeforeTimeout) {
            // Queued behind the poll of the sockets that notices the request.
            blocked->server.block(timeoutOver.get_future().share());
            blocked->released.set_value();
        }
        std::this_thread::sleep_for(2 * idleTimeout);
        testCase.isNoticedBeforeTimeout ? timeoutOver.set_value() : blocked->released.set_value();
        const std::string statusLine = receiveStatusLine(blocked->socket);
        cr_expect(
            statusLine == "HTTP/1.1 200 OK", "%s: '%s', %d handled", testCase.description, statusLine.c_str(), blocked->server.handled());
        for (const ClosedConnection &closed : blocked->server.closed()) {
            cr_expect(!leavesRequestUnanswered(closed), "%s: %s", testCase.description, toText(closed).c_str());
        }
    }
}

Test(httpserver, a_change_of_the_limits_does_not_shorten_the_idle_time_that_a_client_may_rely_on)
{
    struct Case
    {
        const char *description;
        std::chrono::milliseconds before;
        std::chrono::milliseconds after;
    };
    constexpr std::chrono::milliseconds shortTimeout(200);
    const Case cases[] = {{"made longer while the connection is idle", shortTimeout, std::chrono::seconds(75)},
                          {"made shorter while the connection is idle", std::chrono::seconds(75), shortTimeout}};
    for (const Case &testCase : cases) {
        CountingServer server(testCase.before);
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        statusLineOf(socket, plainRequest);
        HttpLimits limits;
        limits.idleTimeout = testCase.after;
        server.server().setLimits(limits);
        std::this_thread::sleep_for(3 * shortTimeout);
        const std::string statusLine = statusLineOf(socket, plainRequest);
        cr_expect(statusLine == "HTTP/1.1 200 OK", "%s: '%s'", testCase.description, statusLine.c_str());
    }
}

Test(httpserver, a_header_is_taken_that_the_limits_in_force_allow)
{
    struct Case
    {
        const char *description;
        std::size_t headerBytes;
        const char *statusLine;
    };
    const Case cases[] = {{"wider than the built-in limit", 40 * kibibyte, "HTTP/1.1 200 OK"},
                          {"wider than the limit in force", 60 * kibibyte, "HTTP/1.1 400 Bad Request"}};
    for (const Case &testCase : cases) {
        CountingServer server;
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        statusLineOf(socket, plainRequest);
        HttpLimits limits;
        limits.headerBytes = 48 * kibibyte;
        server.server().setLimits(limits);
        const std::string statusLine = statusLineOf(socket, "GET / HTTP/1.1\r\nF: " + std::string(testCase.headerBytes, 'x') + "\r\n\r\n");
        cr_expect(statusLine == testCase.statusLine, "%s: '%s'", testCase.description, statusLine.c_str());
    }
}

Test(httpserver, the_time_for_a_header_does_not_end_the_body_that_follows)
{
    HttpLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(200);
    CountingServer server(limits);
    asio::io_context context;
    tcp::socket slowBody = server.connect(context);
    tcp::socket slowHeader = server.connect(context);
    send(slowBody, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n");
    send(slowHeader, "POST / HTTP/1.1\r\nContent-Length: 4\r\n");
    cr_expect_eq(server.waitForClosed(1).front().reason, CloseReason::ReceiveTimeout);
    cr_expect(statusLineOf(slowBody, "body") == "HTTP/1.1 200 OK");
    cr_expect_eq(receive(slowHeader), "");
}

Test(httpserver, a_reset_of_an_idle_connection_is_not_reported_as_a_request_without_response)
{
    CountingServer server;
    asio::io_context context;
    tcp::socket socket = server.connect(context);
    statusLineOf(socket, plainRequest);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    const auto closed = server.waitForClosed(1);
    cr_expect(!leavesRequestUnanswered(closed[0]), "%s", toText(closed[0]).c_str());
}

Test(httpserver, clients_are_told_to_stop_using_a_connection_before_the_idle_timeout_closes_it)
{
    struct Case
    {
        std::chrono::milliseconds idleTimeout;
        std::string request;
        std::string announced;
    };
    const Case cases[] = {
        {std::chrono::seconds(75), plainRequest, "timeout=65"},
        {std::chrono::milliseconds(11'900), plainRequest, "timeout=1"},
        {std::chrono::seconds(10), plainRequest, ""},
        {std::chrono::seconds(75), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", ""},
    };
    for (const Case &testCase : cases) {
        CountingServer server(testCase.idleTimeout);
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        send(socket, testCase.request);
        const std::string response = receive(socket);
        const std::string field = testCase.announced.empty() ? "Keep-Alive:" : "Keep-Alive: " + testCase.announced + "\r\n";
        cr_expect_eq(response.find(field) == std::string::npos, testCase.announced.empty(), "%s", response.c_str());
    }
}

namespace {

//! A server on a thread of its own that keeps its exchanges.
class ExchangeServer
{
public:
    //! The handler is called with all exchanges so far; the last one has just begun.
    explicit ExchangeServer(std::function<void(const std::vector<std::shared_ptr<HttpExchange>> &)> handler)
        : m_address{"127.0.0.1", freePort()}
        , m_server({&m_context}, options(), [this, handler = std::move(handler)](const std::shared_ptr<HttpExchange> &exchange) {
            m_exchanges.push_back(exchange);
            handler(m_exchanges);
        })
    {
        cr_assert_not(m_server.listen());
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~ExchangeServer()
    {
        m_context.stop();
        m_thread.join();
    }
    ExchangeServer(const ExchangeServer &) = delete;
    ExchangeServer &operator=(const ExchangeServer &) = delete;

    tcp::socket connect(asio::io_context &context) const
    {
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address(m_address.host), m_address.port});
        return socket;
    }

private:
    HttpServer::Options options() const
    {
        HttpServer::Options options;
        options.address = m_address;
        options.maxBodyBytes = 64 * kibibyte;
        return options;
    }

    Endpoint m_address;
    asio::io_context m_context;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    HttpServer m_server;
    std::thread m_thread;
};

//! Reads until the connection ends. Returns what was received, and how it ended.
std::pair<std::string, boost::system::error_code> receiveAll(tcp::socket &socket)
{
    std::string received;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return {received, error};
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

void expectStatusLine(tcp::socket &socket, const std::string &request, const std::string &expected)
{
    const std::string statusLine = statusLineOf(socket, request);
    cr_expect(statusLine == expected, "'%s' instead of '%s'", statusLine.c_str(), expected.c_str());
}

constexpr auto patience = std::chrono::seconds(10);

} // namespace

Test(httpserver, trace_requests_with_content_are_refused)
{
    CountingServer server;
    asio::io_context context;
    for (const char *request : {"TRACE / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
                                "TRACE / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}) {
        tcp::socket socket = server.connect(context);
        expectStatusLine(socket, request, "HTTP/1.1 400 Bad Request");
    }
    cr_expect_eq(server.handled(), 0);
    tcp::socket socket = server.connect(context);
    expectStatusLine(socket, "TRACE / HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK");
}

Test(httpserver, a_response_whose_status_allows_no_content_is_sent_without_it)
{
    for (const int status : {204, 304}) {
        ExchangeServer server(
            [status](const auto &exchanges) { exchanges.back()->respond(textResponse(status, "text/plain", "content")); });
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        send(socket, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        const auto [received, error] = receiveAll(socket);
        cr_expect_eq(received.find("HTTP/1.1 " + std::to_string(status)), 0, "%s", received.c_str());
        cr_expect_eq(countOf(received, "content"), 0, "%s", received.c_str());
    }
}

Test(httpserver, a_client_that_leaves_after_pipelined_bytes_is_noticed)
{
    for (const char *pipelined : {"", "\r\n", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ne"}) {
        std::atomic<int> handled{0};
        std::atomic<int> disconnects{0};
        std::promise<void> begun;
        std::promise<void> gone;
        asio::io_context context;
        {
            ExchangeServer server([&](const auto &exchanges) {
                exchanges.back()->onDisconnect([&] {
                    if (++disconnects == 1) {
                        gone.set_value();
                    }
                });
                if (++handled == 1) {
                    begun.set_value();
                }
            });
            tcp::socket socket = server.connect(context);
            send(socket, plainRequest);
            begun.get_future().wait();
            send(socket, pipelined);
            socket.close();
            cr_expect(gone.get_future().wait_for(patience) == std::future_status::ready, "'%s'", pipelined);
        }
        cr_expect_eq(handled, 1);
        cr_expect_eq(disconnects, 1);
    }
}

Test(httpserver, pipelined_requests_are_answered_in_order_before_the_connection_ends)
{
    constexpr int count = 200;
    CountingServer server;
    asio::io_context context;
    tcp::socket socket = server.connect(context);
    std::string requests;
    for (int i = 1; i < count; ++i) {
        requests += plainRequest;
    }
    requests += "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    std::thread sender([&] { send(socket, requests); });
    const auto [received, error] = receiveAll(socket);
    sender.join();
    cr_expect(error == asio::error::eof, "%s", error.message().c_str());
    cr_expect_eq(countOf(received, "HTTP/1.1 200 OK\r\n"), count);
    cr_expect_eq(server.handled(), count);
}

Test(httpserver, a_late_response_does_not_reach_the_next_request)
{
    ExchangeServer server([](const auto &exchanges) {
        const std::string target = exchanges.back()->request().target;
        exchanges.front()->respond(textResponse(target == "/1" ? 200 : 500, "text/plain", target));
        exchanges.back()->respond(textResponse(200, "text/plain", target));
        exchanges.back()->respond(textResponse(500, "text/plain", "twice"));
    });
    asio::io_context context;
    tcp::socket socket = server.connect(context);
    send(socket, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto [received, error] = receiveAll(socket);
    cr_expect_eq(countOf(received, "HTTP/1.1 200 OK\r\n"), 3, "%s", received.c_str());
    cr_expect_eq(countOf(received, "500"), 0, "%s", received.c_str());
    cr_expect(received.find("/1") < received.find("/2") && received.find("/2") < received.find("/3"), "%s", received.c_str());
}

Test(httpserver, a_client_that_sends_on_receives_the_last_response_whole)
{
    const std::string close = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    const std::string tooLarge = "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
    struct Case
    {
        const char *description;
        std::string start;
        std::string rest;
        std::string status;
    };
    const Case cases[] = {
        {"a body over the limit", tooLarge, std::string(1'000'000, 'x'), "HTTP/1.1 413 "},
        {"no HTTP", "nonsense\r\n\r\n", std::string(300'000, 'x'), "HTTP/1.1 400 "},
        {"requests after the last", close, std::string(300'000, 'x'), "HTTP/1.1 200 "},
    };
    constexpr std::size_t chunkBytes = 10'000;
    for (const Case &testCase : cases) {
        CountingServer server;
        asio::io_context context;
        tcp::socket socket = server.connect(context);
        send(socket, testCase.start);
        // The client goes on sending before it reads.
        socket.wait(tcp::socket::wait_read);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        boost::system::error_code sendError;
        for (std::size_t at = 0; at < testCase.rest.size() && !sendError; at += chunkBytes) {
            asio::write(socket, asio::buffer(testCase.rest.data() + at, chunkBytes), sendError);
        }
        const auto [received, error] = receiveAll(socket);
        cr_expect_not(sendError, "%s: %s", testCase.description, sendError.message().c_str());
        cr_expect(error == asio::error::eof, "%s: %s", testCase.description, error.message().c_str());
        cr_expect_eq(received.find(testCase.status), 0, "%s: '%s'", testCase.description, received.c_str());
    }
}

Test(httpserver, accepting_pauses_while_there_are_no_descriptors)
{
    asio::io_context context;
    HttpServer::Options options;
    options.address = {"127.0.0.1", freePort()};
    HttpServer server({&context}, options, [&context](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(textResponse(200, "text/plain", "ok"));
        context.stop();
    });
    cr_assert_not(server.listen());
    asio::io_context clientContext;
    tcp::socket socket(clientContext, tcp::v4());
    {
        const tests::DescriptorHoard hoard;
        socket.connect({asio::ip::make_address(options.address.host), options.address.port});
        constexpr std::size_t maxAttempts = 20;
        cr_expect_leq(context.run_for(std::chrono::milliseconds(200)), maxAttempts);
    }
    send(socket, plainRequest);
    context.run_for(patience);
    cr_expect(context.stopped());
}

Test(httpserver, a_request_whose_handler_fails_is_answered_and_the_others_are_served)
{
    asio::io_context context;
    HttpServer::Options options;
    options.address = {"127.0.0.1", freePort()};
    HttpServer server({&context}, options, [](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().target == "/answered") {
            exchange->respond(textResponse(200, "text/plain", "ok"));
        }
        if (exchange->request().target != "/plain") {
            throw std::runtime_error("odd request");
        }
        exchange->respond(textResponse(200, "text/plain", "ok"));
    });
    cr_assert_not(server.listen());
    std::atomic<int> reports{0};
    std::thread thread([&] { runEventLoop(context, [&reports](const std::string & /*what*/) { ++reports; }); });
    asio::io_context clientContext;
    const auto connect = [&] {
        tcp::socket socket(clientContext);
        socket.connect({asio::ip::make_address(options.address.host), options.address.port});
        return socket;
    };
    tcp::socket other = connect();
    expectStatusLine(other, "GET /plain HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK");
    tcp::socket odd = connect();
    expectStatusLine(odd, "GET /odd HTTP/1.1\r\n\r\n", "HTTP/1.1 502 Bad Gateway");
    tcp::socket answered = connect();
    expectStatusLine(answered, "GET /answered HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK");
    expectStatusLine(other, "GET /plain HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK");
    context.stop();
    thread.join();
    cr_expect_eq(reports, 2);
}

Test(httpserver, odd_requests_end_their_own_connection_only)
{
    const std::string requests[] = {
        "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, x\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: t\r\n\r\n",
        "TRACE * HTTP/1.0\r\nConnection: keep-alive\r\n\r\nHEAD / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
    };
    const std::string tokens[] = {"\r\n", "\n", " ", ":", ";", "0", "-1", "18446744073709551616", "chunked", "\xff", std::string(1, '\0')};
    CountingServer server;
    asio::io_context context;
    tcp::socket other = server.connect(context);
    RandomSource random(20261204);
    for (int i = 0; i < 1000; ++i) {
        std::string request = requests[uniformIndex(random, std::size(requests))];
        for (std::size_t count = 1 + uniformIndex(random, 3); count > 0; --count) {
            const std::size_t at = uniformIndex(random, request.size());
            request.replace(at, uniformIndex(random, 6), tokens[uniformIndex(random, std::size(tokens))]);
        }
        tcp::socket socket = server.connect(context);
        send(socket, request);
        socket.shutdown(tcp::socket::shutdown_send);
        receiveAll(socket);
    }
    expectStatusLine(other, plainRequest, "HTTP/1.1 200 OK");
}

//! Guards against requests that cross the end of the process: what has arrived is handled and answered, what has not is not read.
Test(httpserver, closing_answers_each_request_that_has_arrived_and_closes_idle_connections)
{
    constexpr std::size_t connections = 20;
    CountingServer server;
    asio::io_context context;
    std::vector<tcp::socket> idle;
    std::vector<tcp::socket> asking;
    for (std::size_t i = 0; i < connections; ++i) {
        idle.push_back(server.connect(context));
        asking.push_back(server.connect(context));
        cr_assert_eq(statusLineOf(idle.back(), "GET / HTTP/1.1\r\n\r\n"), "HTTP/1.1 200 OK");
        cr_assert_eq(statusLineOf(asking.back(), "GET / HTTP/1.1\r\n\r\n"), "HTTP/1.1 200 OK");
    }
    std::promise<void> release;
    server.block(release.get_future().share()).wait();
    for (tcp::socket &socket : asking) {
        send(socket, "GET / HTTP/1.1\r\n\r\n");
    }
    server.server().beginClosing();
    release.set_value();
    for (tcp::socket &socket : asking) {
        const std::string response = receive(socket);
        cr_expect(response.rfind("HTTP/1.1 200 OK", 0) == 0);
        cr_expect(response.find("Connection: close") != std::string::npos);
    }
    for (tcp::socket &socket : idle) {
        cr_expect_eq(receive(socket), "");
    }
    for (const ClosedConnection &closed : server.waitForClosed(2 * connections)) {
        cr_expect_eq(closed.reason, CloseReason::Shutdown);
    }
    cr_expect_eq(server.handled(), 3 * connections);
}

//! Guards against a request that is read and then cut off because the rest of its body arrives while the server is being closed.
Test(httpserver, a_request_that_is_arriving_when_closing_begins_is_answered_once_it_is_whole)
{
    CountingServer server;
    asio::io_context context;
    tcp::socket socket = server.connect(context);
    cr_assert_eq(statusLineOf(socket, "GET / HTTP/1.1\r\n\r\n"), "HTTP/1.1 200 OK");
    std::promise<void> release;
    server.block(release.get_future().share()).wait();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhello");
    server.server().beginClosing();
    release.set_value();
    std::promise<void> released;
    released.set_value();
    server.block(released.get_future().share()).wait();
    cr_assert(server.server().hasConnections());
    send(socket, "world");
    cr_expect_eq(receiveStatusLine(socket), "HTTP/1.1 200 OK");
    cr_expect_eq(server.waitForClosed(1).front().reason, CloseReason::Shutdown);
}

//! Guards against an exit in the middle of a response to a caller that reads slowly.
Test(httpserver, a_connection_counts_as_open_until_its_response_has_been_written)
{
    constexpr std::size_t bodyBytes = 32 * mebibyte;
    asio::io_context context;
    HttpServer::Options options;
    options.address = {"127.0.0.1", freePort()};
    options.maxBodyBytes = 64 * kibibyte;
    bool isHandled = false;
    HttpServer server({&context}, options, [&isHandled](const std::shared_ptr<HttpExchange> &exchange) {
        isHandled = true;
        exchange->respond(textResponse(200, "text/plain", std::string(bodyBytes, 'x')));
    });
    cr_assert_not(server.listen());
    asio::io_context clientContext;
    tcp::socket client(clientContext);
    client.connect({asio::ip::make_address(options.address.host), options.address.port});
    send(client, "GET / HTTP/1.1\r\n\r\n");
    while (!isHandled) {
        context.run_one();
    }
    context.poll();
    server.beginClosing();
    context.poll();
    cr_assert(server.hasConnections());
    client.non_blocking(true);
    std::string block(mebibyte, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    while (!error || error == asio::error::would_block) {
        const std::size_t bytes = client.read_some(asio::buffer(block), error);
        received += bytes;
        context.poll();
        cr_assert(bytes == 0 || received > bodyBytes || server.hasConnections());
    }
    cr_expect_eq(error, asio::error::eof);
    cr_expect_gt(received, bodyBytes);
    while (server.hasConnections()) {
        context.run_one();
    }
}

//! A client may read slowly: as long as it takes some of its response, it must get it whole, however long that takes.
Test(httpserver, a_client_that_reads_slowly_gets_its_response_whole)
{
    constexpr std::size_t bodyBytes = 8 * mebibyte;
    constexpr std::size_t readBytes = 48 * kibibyte;
    asio::io_context context;
    HttpServer::Options options;
    options.address = {"127.0.0.1", freePort()};
    options.writeTimeout = std::chrono::seconds(2);
    HttpServer server({&context}, options, [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(textResponse(200, "text/plain", std::string(bodyBytes, 'x')));
    });
    cr_assert_not(server.listen());
    std::thread thread([&context] { context.run(); });
    asio::io_context clientContext;
    tcp::socket client(clientContext, tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(64 * kibibyte));
    client.connect({asio::ip::make_address(options.address.host), options.address.port});
    send(client, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::string block(readBytes, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    const auto begin = std::chrono::steady_clock::now();
    while (!error) {
        received += asio::read(client, asio::buffer(block), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
    cr_expect_gt(received, bodyBytes, "%zu bytes: %s", received, error.message().c_str());
    cr_expect_gt(std::chrono::steady_clock::now() - begin, 2 * options.writeTimeout);
    context.stop();
    thread.join();
}

//! Callers that do not read their responses must not use up the memory that others need.
Test(httpserver, responses_that_are_not_read_do_not_use_up_the_memory)
{
    constexpr std::size_t bodyBytes = 8 * mebibyte;
    constexpr int idleReaders = 6;
    asio::io_context context;
    const auto memory = std::make_shared<BodyMemory>(20 * mebibyte);
    std::vector<CloseReason> closed;
    HttpServer::Options options;
    options.address = {"127.0.0.1", freePort()};
    options.responseMemory = memory;
    options.connectionClosed = [&closed](const ClosedConnection &connection) { closed.push_back(connection.reason); };
    int handled = 0;
    HttpServer server({&context}, options, [&handled](const std::shared_ptr<HttpExchange> &exchange) {
        ++handled;
        exchange->respond(textResponse(200, "text/plain", std::string(bodyBytes, 'x')));
    });
    cr_assert_not(server.listen());
    asio::io_context clientContext;
    const auto request = [&](tcp::socket &client) {
        client.connect({asio::ip::make_address(options.address.host), options.address.port});
        send(client, "GET / HTTP/1.1\r\n\r\n");
        for (const int before = handled; handled == before;) {
            context.run_one();
        }
        context.poll();
    };
    std::vector<tcp::socket> idle;
    for (int i = 0; i < idleReaders; ++i) {
        request(idle.emplace_back(clientContext));
        cr_expect_leq(memory->heldBytes(), 20 * mebibyte);
    }
    tcp::socket client(clientContext);
    request(client);
    client.non_blocking(true);
    std::string block(mebibyte, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    while (received < bodyBytes && (!error || error == asio::error::would_block)) {
        received += client.read_some(asio::buffer(block), error);
        context.poll();
    }
    cr_expect_geq(received, bodyBytes, "%zu bytes: %s", received, error.message().c_str());
    cr_expect_eq(closed.size(), idleReaders - 1, "%zu connections are closed", closed.size());
    for (const CloseReason reason : closed) {
        cr_expect_eq(reason, CloseReason::OverLimit, "%s", toText(reason));
    }
    cr_expect_leq(memory->heldBytes(), bodyBytes + kibibyte);
}
