#include "scriptedserver.h"

#include <chervilpaddle/base/httpsyntax.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/transport/httpclient.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace chervilpaddle;
using tests::Script;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

struct Exchange
{
    HttpStage stage = HttpStage::NotSent;
    std::string body;
    HttpResponse response = {};
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
    options.requestIdHeader = "Id";
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
            exchanges.push_back({result.stage, result.response.body, result.response});
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
        {"body over the limit", {"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", true}, HttpStage::TooLarge},
        {"body over the limit, sent with the head",
         {"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + std::string(4096, 'a')},
         HttpStage::TooLarge}};
    for (const Case &c : cases) {
        const auto exchanges = exchange({c.script}, {"a"});
        cr_assert_eq(exchanges.at(0).stage, c.expected, "%s: stage %d", c.description, static_cast<int>(exchanges.at(0).stage));
    }
}

//! A server in trouble may send a status that no response can have (RFC 9110, 15).
Test(httpclient, a_status_out_of_range_is_not_a_response)
{
    struct Case
    {
        const char *status;
        HttpStage expected;
    };
    const Case cases[] = {{"000", HttpStage::Truncated},
                          {"001", HttpStage::Truncated},
                          {"099", HttpStage::Truncated},
                          {"200", HttpStage::Complete},
                          {"299", HttpStage::Complete},
                          {"404", HttpStage::Complete},
                          {"599", HttpStage::Complete},
                          {"600", HttpStage::Truncated},
                          {"999", HttpStage::Truncated},
                          {"-20", HttpStage::Truncated},
                          {"2 0", HttpStage::Truncated},
                          {"20", HttpStage::Truncated},
                          {"2000", HttpStage::Truncated}};
    for (const Case &c : cases) {
        const Script script{"HTTP/1.1 " + std::string(c.status) + " OK\r\nContent-Length: 3\r\n\r\none"};
        const auto exchanges = exchange({script, {responseB}}, {"a", "b"});
        cr_expect_eq(exchanges.at(0).stage, c.expected, "%s: stage %d", c.status, static_cast<int>(exchanges.at(0).stage));
        cr_expect(c.expected == HttpStage::Complete || exchanges.at(0).body.empty(), "%s: its body is passed on", c.status);
        cr_expect_eq(exchanges.at(1).stage, HttpStage::Complete, "%s: the next request fails", c.status);
    }
}

//! A server in trouble may send a head with a line that is no field: a proxy may neither pass it on nor join it to another field.
Test(httpclient, a_malformed_field_line_is_not_a_response)
{
    struct Case
    {
        const char *description;
        std::string lines;
        HttpStage expected = HttpStage::Truncated;
    };
    const std::string length = "Content-Length: 3\r\n";
    const Case cases[] = {
        {"tabs and blanks around a value", "Name: \t value \t\r\n" + length, HttpStage::Complete},
        {"empty value", "Name:\r\n" + length, HttpStage::Complete},
        {"bytes above ASCII in a value", "Name: \xc3\xa9\xff\r\n" + length, HttpStage::Complete},
        {"blank before a name", "Name: value\r\n Other: value\r\n" + length},
        {"tab before a name", "Name: value\r\n\tOther: value\r\n" + length},
        {"blank before a name, after an empty value", "Name:\r\n Other: value\r\n" + length},
        {"blank before the length", "Name: value\r\n " + length},
        {"tab before the length", "Name: value\r\n\t" + length},
        {"line of a blank only", "Name: value\r\n \r\n" + length},
        {"folded length", "Content-Length:\r\n 3\r\n"},
        {"blank at the end of the head", length + "Name: value\r\n "},
        {"blank before the first name", " Name: value\r\n" + length},
        {"blank in a name", "Na me: value\r\n" + length},
        {"blank before the colon", "Name : value\r\n" + length},
        {"tab before the colon", "Name\t: value\r\n" + length},
        {"control byte in a name", "Na\x01me: value\r\n" + length},
        {"NUL in a name", std::string("Na\0me: value\r\n", 15) + length},
        {"delete byte in a name", "Na\x7fme: value\r\n" + length},
        {"byte above ASCII in a name", "Na\xe9me: value\r\n" + length},
        {"control byte in the name of the length", "Content-\x01Length: 3\r\n"},
        {"no name", ": value\r\n" + length},
        {"no colon", "Name\r\n" + length},
        {"control byte in a value", "Name: va\x01lue\r\n" + length},
        {"NUL in a value", std::string("Name: va\0lue\r\n", 15) + length},
        {"carriage return in a value", "Name: va\rlue\r\n" + length},
        {"line feed in a value", "Name: va\nlue\r\n" + length},
    };
    for (const Case &c : cases) {
        const Script script{"HTTP/1.1 200 OK\r\n" + c.lines + "\r\none"};
        const auto start = steadyClock()();
        const auto exchanges = exchange({script, {responseB}}, {"a", "b"});
        cr_expect_eq(exchanges.at(0).stage, c.expected, "%s: stage %d", c.description, static_cast<int>(exchanges.at(0).stage));
        cr_expect(c.expected == HttpStage::Complete || exchanges.at(0).body.empty(), "%s: its body is passed on", c.description);
        cr_expect_eq(exchanges.at(1).stage, HttpStage::Complete, "%s: the next request fails", c.description);
        cr_expect_lt(steadyClock()() - start, std::chrono::seconds(4), "%s: given up only at the timeout", c.description);
    }
}

//! What is passed on as a response can be written as one again, and each of its fields stands in a line of its own.
Test(httpclient, a_damaged_head_is_refused_or_passed_on_as_it_is)
{
    constexpr int rounds = 2000;
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nFirst: one\r\nSecond:\r\nContent-Length: 3\r\n";
    const std::string spoilt[] = {
        " ", "\t", "\r\n", "\r", "\n", "\r\n ", ":", std::string(1, '\0'), "\x01", "\x7f", "\xe9", "0", "9", "\r\n\t"};
    RandomSource random(30);
    int complete = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string damaged = head;
        for (std::size_t changes = 1 + uniformIndex(random, 3); changes > 0; --changes) {
            const std::size_t at = uniformIndex(random, damaged.size());
            const std::string &bytes = spoilt[uniformIndex(random, std::size(spoilt))];
            const std::size_t replaced = uniformIndex(random, 2) * bytes.size();
            damaged.replace(at, replaced, bytes);
        }
        const Exchange exchanged = exchange({{damaged + "\r\none", true}}, {"a"}).at(0);
        if (exchanged.stage != HttpStage::Complete) {
            continue;
        }
        ++complete;
        cr_expect(isHttpStatus(exchanged.response.status), "round %d: status %d", round, exchanged.response.status);
        const std::string sentHead = damaged.substr(0, damaged.find("\r\n\r\n"));
        for (const auto &[name, value] : exchanged.response.headers.fields()) {
            cr_expect(isHttpToken(name) && isHttpFieldValue(value), "round %d: %s", round, name.c_str());
            const auto line = sentHead.find("\r\n" + name + ":");
            const std::string sent = sentHead.substr(std::min(line, sentHead.size()));
            cr_expect_neq(sent.substr(0, sent.find("\r\n", 2)).find(value), std::string::npos, "round %d: %s", round, name.c_str());
        }
    }
    cr_expect_gt(complete, rounds / 20, "%d heads are passed on", complete);
    cr_expect_lt(complete, rounds, "%d heads are passed on", complete);
}

//! The blank may arrive apart from the end of the line before it.
Test(httpclient, a_folded_line_is_detected_however_the_head_is_cut)
{
    const std::string head = "HTTP/1.1 200 OK\r\nName: value\r\n Other: value\r\nContent-Length: 3\r\n\r\n";
    for (std::size_t length = 1; length < head.size(); ++length) {
        const auto exchanges = exchange({{head.substr(0, length), false, false, {}, {}, head.substr(length) + "one"}}, {"a"});
        cr_expect_eq(exchanges.at(0).stage, HttpStage::Truncated, "after %zu bytes", length);
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

//! A server may respond before it has read a long request. The operating system reports a reset once, to a read or to a write.
Test(httpclient, a_response_that_is_reset_during_the_upload_is_not_complete)
{
    constexpr std::size_t moreThanSocketBuffersHold = std::size_t{24} * 1024 * 1024;
    constexpr int repetitions = 10;
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\n";
    const std::string noLength = head + "\r\n";
    const std::string length = head + "Content-Length: 3\r\n\r\n";
    const std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    enum class End { Open, Close, Reset, HalfClose, HalfCloseAndReset };
    struct Case
    {
        const char *description;
        std::string bytes;
        End end;
        HttpStage expected;
        Duration timeout = std::chrono::seconds(5);
    };
    const Case cases[] = {
        {"no length, reset", noLength + "one", End::Reset, HttpStage::Truncated},
        {"no length and no body, reset", noLength, End::Reset, HttpStage::Truncated},
        {"no length, closed with unread input", noLength + "one", End::Close, HttpStage::Truncated},
        {"no length, never ended", noLength + "one", End::Open, HttpStage::Truncated, std::chrono::milliseconds(50)},
        {"no length, ended, upload read on", noLength + "one", End::HalfClose, HttpStage::Complete},
        {"no length, ended, then reset", noLength + "one", End::HalfCloseAndReset, HttpStage::Complete},
        {"length, reset", length + "one", End::Reset, HttpStage::Complete},
        {"length, closed with unread input", length + "one", End::Close, HttpStage::Complete},
        {"length, upload read on", length + "one", End::Open, HttpStage::Complete},
        {"part of the length, reset", length + "on", End::Reset, HttpStage::Truncated},
        {"part of the length, ended", length + "on", End::HalfClose, HttpStage::Truncated},
        {"chunks, reset", chunks + "3\r\none\r\n0\r\n\r\n", End::Reset, HttpStage::Complete},
        {"part of the chunks, reset", chunks + "3\r\none\r\n", End::Reset, HttpStage::Truncated},
        {"part of the chunks, ended", chunks + "3\r\none\r\n", End::HalfClose, HttpStage::Truncated},
        {"part of the head, reset", head, End::Reset, HttpStage::Truncated},
        {"no response, reset", "", End::Reset, HttpStage::Sent},
    };
    const std::string upload(moreThanSocketBuffersHold, 'u');
    for (const Case &c : cases) {
        for (int i = 0; i < repetitions; ++i) {
            Script script{c.bytes};
            script.closes = c.end == End::Close;
            script.resets = c.end == End::Reset || c.end == End::HalfCloseAndReset;
            script.halfCloses = c.end == End::HalfClose || c.end == End::HalfCloseAndReset;
            script.endsLater = i % 2 == 0;
            asio::io_context context;
            ScriptedServer server(context, {script});
            HttpClient::Options options;
            options.address = server.address();
            options.maxBodyBytes = 1024;
            options.acceptsCloseDelimitedBodies = true;
            HttpClient client(context, options);
            HttpRequest request;
            request.method = "PUT";
            request.body = upload;
            HttpResult received;
            client.send(std::move(request), c.timeout, [&](const HttpResult &result) {
                received = result;
                context.stop();
            });
            context.run();
            cr_expect_eq(received.stage,
                         c.expected,
                         "%s, ended %s, repetition %d: stage %d",
                         c.description,
                         script.endsLater ? "later" : "at once",
                         i,
                         static_cast<int>(received.stage));
            cr_assert(c.expected != HttpStage::Complete || received.response.body == "one", "%s: part of its body", c.description);
        }
    }
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

//! A cancellation or a deadline may come when a completion is already queued. Each step of an exchange is interrupted once.
Test(httpclient, an_interruption_at_any_step_ends_the_request_once_and_spoils_no_later_one)
{
    constexpr auto shortTimeout = std::chrono::milliseconds(20);
    enum class Interruption { Cancellation, Deadline, DeadlineOfSilentServer };
    for (const Interruption interruption : {Interruption::Cancellation, Interruption::Deadline, Interruption::DeadlineOfSilentServer}) {
        bool hasEndedBefore = false;
        for (int step = 0; !hasEndedBefore; ++step) {
            cr_assert_lt(step, 100, "the exchange does not end");
            asio::io_context clientContext;
            asio::io_context serverContext;
            ScriptedServer server(serverContext, {{responseA}, {responseB}});
            HttpClient client(clientContext, {server.address(), 1024});
            const auto advance = [&] {
                clientContext.restart();
                clientContext.poll_one();
                serverContext.restart();
                serverContext.poll();
            };
            std::vector<HttpResult> first;
            HttpRequest request;
            const bool isCancelled = interruption == Interruption::Cancellation;
            const auto number = client.send(
                request, isCancelled ? std::chrono::seconds(5) : shortTimeout, [&](const HttpResult &result) { first.push_back(result); });
            cr_assert(first.empty(), "called back before send() returned");
            for (int i = 0; i < step; ++i) {
                advance();
            }
            hasEndedBefore = !first.empty();
            if (isCancelled) {
                client.cancel(number);
            } else {
                std::this_thread::sleep_for(shortTimeout + std::chrono::milliseconds(5));
            }
            if (interruption == Interruption::DeadlineOfSilentServer) {
                clientContext.restart();
                clientContext.poll();
            }
            const auto giveUpAt = steadyClock()() + std::chrono::seconds(4);
            while (first.empty() && steadyClock()() < giveUpAt) {
                advance();
            }
            cr_assert_eq(first.size(), 1, "interrupted at step %d", step);
            const bool isComplete = first[0].stage == HttpStage::Complete;
            cr_expect(!isComplete || first[0].response.body == "one", "step %d", step);
            std::vector<HttpResult> second;
            client.send(request, std::chrono::seconds(4), [&](const HttpResult &result) { second.push_back(result); });
            while (second.empty() && steadyClock()() < giveUpAt) {
                advance();
            }
            cr_assert_eq(second.size(), 1, "step %d", step);
            cr_expect_eq(second[0].stage,
                         HttpStage::Complete,
                         "step %d: the next request ended at stage %d",
                         step,
                         static_cast<int>(second[0].stage));
            const std::string expected = server.requests() == 2 ? "two" : "one";
            cr_expect(second[0].response.body == expected, "step %d: %s", step, second[0].response.body.c_str());
            cr_expect(first[0].stage != HttpStage::NotSent || server.requests() == 1, "step %d: a request was sent after all", step);
            cr_expect_eq(first.size(), 1, "step %d: called back twice", step);
        }
    }
}

Test(httpclient, a_connection_is_not_reused_when_its_server_is_about_to_close_it)
{
    struct Case
    {
        const char *description;
        std::string firstField;
        std::string secondField;
        Duration idleTime;
        int connections;
    };
    const std::string announcement = "Keep-Alive: timeout=5\r\n";
    const Case cases[] = {
        {"nothing announced", "", "", std::chrono::milliseconds(59900), 1},
        {"nothing announced, idle for longer than the limit", "", "", std::chrono::seconds(60), 2},
        {"within the announced time", announcement, announcement, std::chrono::milliseconds(3900), 1},
        {"shortly before its end", announcement, announcement, std::chrono::seconds(4), 2},
        {"announced by the last response only", "", announcement, std::chrono::seconds(4), 2},
        {"announced by an earlier response only", announcement, "", std::chrono::seconds(4), 2},
        {"a longer time announced last", announcement, "Keep-Alive: timeout=15\r\n", std::chrono::seconds(4), 1},
        {"no number announced last", announcement, "Keep-Alive: timeout=x\r\n", std::chrono::seconds(4), 2},
    };
    for (const Case &c : cases) {
        asio::io_context context;
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
        ScriptedServer server(context, {{head + c.firstField + "\r\n"}, {head + c.secondField + "\r\n"}, {head + "\r\n"}});
        TimePoint now;
        HttpClient::Options options;
        options.address = server.address();
        options.clock = [&now] { return now; };
        HttpClient client(context, options);
        int completed = 0;
        std::function<void(const HttpResult &)> next = [&](const HttpResult &result) {
            cr_expect_eq(result.stage, HttpStage::Complete, "%s", c.description);
            if (++completed == 3) {
                context.stop();
                return;
            }
            now += completed == 2 ? c.idleTime : Duration::zero();
            client.send({}, std::chrono::seconds(5), next);
        };
        client.send({}, std::chrono::seconds(5), next);
        context.run();
        cr_expect_eq(server.connections(), c.connections, "%s: %d connections", c.description, server.connections());
    }
}
