#include "endlessbytes.h"

#include <chervilpaddle/transport/httpclient.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace chervilpaddle;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

//! What the server does after it has received the first bytes of a request.
struct Script
{
    std::string bytes;
    bool closes = false;
    bool resets = false;
    //! Repeated after the bytes until the client closes the connection.
    std::string endless = {};
};

//! Loopback server that runs one script per request, regardless of the connection.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::vector<Script> scripts)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_scripts(std::move(scripts))
    {
        accept();
    }

    Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    int connections() const
    {
        return m_connections;
    }

    std::size_t floodBytes() const
    {
        return m_floodBytes;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                ++m_connections;
                serve(std::make_shared<tcp::socket>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<tcp::socket> &socket)
    {
        const auto buffer = std::make_shared<std::vector<char>>(65536);
        socket->async_read_some(asio::buffer(*buffer), [this, socket, buffer](const boost::system::error_code &error, std::size_t) {
            if (error || m_next == m_scripts.size()) {
                return;
            }
            const Script &script = m_scripts[m_next++];
            asio::write(*socket, asio::buffer(script.bytes));
            boost::system::error_code ignored;
            if (!script.endless.empty()) {
                flood(socket, std::make_shared<std::string>(tests::floodBlock(script.endless)));
                return;
            }
            if (script.resets) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            if (script.closes || script.resets) {
                socket->close(ignored);
                return;
            }
            serve(socket);
        });
    }

    void flood(const std::shared_ptr<tcp::socket> &socket, const std::shared_ptr<std::string> &block)
    {
        asio::async_write(*socket, asio::buffer(*block), [this, socket, block](const boost::system::error_code &error, std::size_t bytes) {
            m_floodBytes += bytes;
            if (!error) {
                flood(socket, block);
            }
        });
    }

    tcp::acceptor m_acceptor;
    std::vector<Script> m_scripts;
    std::size_t m_next = 0;
    int m_connections = 0;
    std::size_t m_floodBytes = 0;
};

struct Exchange
{
    HttpStage stage = HttpStage::NotSent;
    std::string body;
};

//! Sends one request per id, sequentially, and returns how each ended.
std::vector<Exchange> exchange(const std::vector<Script> &scripts,
                               const std::vector<std::string> &ids,
                               int *connections = nullptr,
                               std::size_t *floodBytes = nullptr)
{
    asio::io_context context;
    ScriptedServer server(context, scripts);
    HttpClient::Options options;
    options.address = server.address();
    options.maxBodyBytes = 1024;
    options.acceptsCloseDelimitedBodies = true;
    options.isMatchingResponse = [](const HttpRequest &request, const HttpHeaders &response) {
        return response.valueOr("Id", {}).empty() || response.valueOr("Id", {}) == request.headers.valueOr("Id", {});
    };
    HttpClient client(context, options);
    std::vector<Exchange> exchanges;
    std::function<void()> next = [&] {
        if (exchanges.size() == ids.size()) {
            context.stop();
            return;
        }
        HttpRequest request;
        request.headers.add("Id", ids[exchanges.size()]);
        client.send(std::move(request), std::chrono::seconds(5), [&](const HttpResult &result) {
            exchanges.push_back({result.stage, result.response.body});
            next();
        });
    };
    next();
    context.run();
    if (connections != nullptr) {
        *connections = server.connections();
    }
    if (floodBytes != nullptr) {
        *floodBytes = server.floodBytes();
    }
    return exchanges;
}

const std::string responseA = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\none";
const std::string responseB = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\ntwo";

} // namespace

Test(httpclient, detects_how_responses_end)
{
    struct Case
    {
        const char *description;
        Script script;
        HttpStage expected;
    };
    const Case cases[] = {
        {"content length", {responseA}, HttpStage::Complete},
        {"chunked body", {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"}, HttpStage::Complete},
        {"body ended by an orderly close", {"HTTP/1.1 200 OK\r\n\r\none", true}, HttpStage::Complete},
        {"reset instead of an orderly close", {"HTTP/1.1 200 OK\r\n\r\none", false, true}, HttpStage::Truncated},
        {"fewer bytes than the content length", {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none", true}, HttpStage::Truncated},
        {"truncated chunk", {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none", true}, HttpStage::Truncated},
        {"no response", {"", true}, HttpStage::Sent},
        {"bytes that are not a response", {"nonsense\r\n\r\n", true}, HttpStage::Truncated},
        {"conflicting content lengths",
         {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\none", true},
         HttpStage::Truncated},
        {"body over the limit", {"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", true}, HttpStage::TooLarge}};
    for (const Case &c : cases) {
        const auto exchanges = exchange({c.script}, {"a"});
        cr_assert_eq(exchanges.at(0).stage, c.expected, "%s: stage %d", c.description, static_cast<int>(exchanges.at(0).stage));
    }
}

Test(httpclient, a_late_response_to_another_request_is_skipped)
{
    const auto exchanges = exchange({{responseA}, {responseA + responseB}}, {"a", "b"});
    cr_assert_eq(exchanges.at(1).stage, HttpStage::Complete);
    cr_assert_str_eq(exchanges.at(1).body.c_str(), "two");
}

Test(httpclient, a_connection_with_unread_bytes_is_not_reused)
{
    int connections = 0;
    const auto exchanges = exchange({{responseA + responseA}, {responseB}}, {"a", "b"}, &connections);
    cr_assert_str_eq(exchanges.at(1).body.c_str(), "two");
    cr_assert_eq(connections, 2);
}

Test(httpclient, a_connection_is_reused_only_after_a_complete_response)
{
    int connections = 0;
    exchange({{responseA}, {responseB}}, {"a", "b"}, &connections);
    cr_assert_eq(connections, 1);
    exchange({{responseA + "", true}, {responseB}}, {"a", "b"}, &connections);
    cr_assert_eq(connections, 2);
    const std::string shortIdle = "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none";
    exchange({{shortIdle}, {responseB}}, {"a", "b"}, &connections);
    cr_assert_eq(connections, 2, "the announced idle timeout leaves no time for a reuse");
}

//! A server in trouble may send bytes without end, in a head or in a body. The client gives up long before its timeout, does not
//! buffer them, and does not take them for a response or for proof that the request has not run.
Test(httpclient, bytes_without_end_are_cut_off)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const tests::EndlessCase cases[] = {
        {"status line", "HTTP/1.1 200 ", "xyz"},
        {"no HTTP at all", "", "xyz"},
        {"empty lines", "", "\r\n"},
        {"header line", "HTTP/1.1 200 OK\r\nName: ", "xyz"},
        {"header block", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "xyz"},
        {"chunks", chunked, "3\r\nxyz\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "3;", "name=value;"},
        {"trailer line", chunked + "0\r\nName: ", "xyz"},
        {"trailer block", chunked + "0\r\n", "Name: value\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 3\r\n\r\nxyz"},
    };
    for (const tests::EndlessCase &testCase : cases) {
        std::size_t floodBytes = 0;
        const auto start = steadyClock()();
        const auto exchanges = exchange({{testCase.start, false, false, testCase.endless}}, {"a"}, nullptr, &floodBytes);
        const auto elapsed = steadyClock()() - start;
        cr_expect(exchanges[0].stage != HttpStage::Complete && exchanges[0].stage != HttpStage::NotSent, "%s", testCase.description);
        cr_expect(elapsed < std::chrono::seconds(4), "%s: given up only at the timeout", testCase.description);
        // Most of this lies in the buffers of the two sockets.
        cr_expect_leq(floodBytes, tests::maxFloodBytes, "%s: %zu bytes", testCase.description, floodBytes);
    }
}
