#include "../transport/scriptedserver.h"

#include <chervilpaddle/mesh/meshbackend.h>
#include <platform/platformprotocol.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace chervilpaddle;
using tests::Script;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

struct Results
{
    std::vector<BackendResult> backend;
    int connections = 0;
};

//! Runs one call per request id, sequentially, at a backend server that follows the scripts.
Results run(const std::vector<Script> &scripts, const std::vector<std::string> &ids, Duration deadline = std::chrono::seconds(5))
{
    asio::io_context context;
    ScriptedServer server(context, scripts);
    const PlatformProtocol protocol = platform::platformProtocol();
    Results results;
    std::function<void()> next;
    MeshBackend backend(context, server.address(), protocol, steadyClock(), nullptr, [&](RunId /*id*/, const BackendResult &result) {
        results.backend.push_back(result);
        next();
    });
    next = [&] {
        if (results.backend.size() == ids.size()) {
            context.stop();
            return;
        }
        HttpHead head{"POST", "/pay/x", {{"Host", "h.example"}, {"Request-Id", ids[results.backend.size()]}}};
        Run run;
        run.id = RunId(results.backend.size() + 1);
        run.deadline = steadyClock()() + deadline;
        run.call.payload.head = std::make_shared<const HttpHead>(std::move(head));
        backend.start(run);
    };
    next();
    context.run();
    results.connections = server.connections();
    return results;
}

std::string refusal(const std::string &fields, const char *status = "503 Service Unavailable\r\nNot-Executed: 1")
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string answer(const std::string &fields, const std::string &body = "one")
{
    return "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string idOfA = "Request-Id: a\r\n";
const std::string idOfB = "Request-Id: b\r\n";

} // namespace

//! A backend server may send an earlier refusal once more. Only the id tells whether it refuses the present request.
Test(meshbackend, a_response_is_believed_only_if_it_names_the_request)
{
    struct Case
    {
        const char *description;
        //! Response to the request b, on a connection that has carried a refusal of the request a.
        std::string response;
        ResultCode expected;
        int connections;
    };
    const Case cases[] = {
        {"a refusal", refusal(idOfB), ResultCode::BackendRefused, 1},
        {"an answer", answer(idOfB), ResultCode::Done, 1},
        {"a refusal without an id", refusal(""), ResultCode::AnswerUnverified, 2},
        {"a refusal with an empty id", refusal("Request-Id:\r\n"), ResultCode::AnswerUnverified, 2},
        {"a misdirected request without an id", refusal("", "421 Misdirected Request"), ResultCode::AnswerUnverified, 2},
        {"a refusal without an id, then the answer", refusal("") + answer(idOfB), ResultCode::AnswerUnverified, 2},
        {"a refusal without an id, after an interim response", interim + refusal(""), ResultCode::AnswerUnverified, 2},
        {"a refusal, after an interim response", interim + refusal(idOfB), ResultCode::BackendRefused, 1},
        {"an interim response that says not run, then the answer",
         "HTTP/1.1 100 Continue\r\nNot-Executed: 1\r\n\r\n" + answer(idOfB),
         ResultCode::Done,
         1},
        {"an answer without an id", answer(""), ResultCode::AnswerUnverified, 2},
        {"a failure without an id", refusal("", "500 Internal Server Error"), ResultCode::AnswerUnverified, 2},
        {"an earlier refusal only", refusal(idOfA), ResultCode::DeadlineWhileRunning, 2},
        {"an earlier misdirected request only", refusal(idOfA, "421 Misdirected Request"), ResultCode::DeadlineWhileRunning, 2},
        {"an earlier refusal, then the answer", refusal(idOfA) + answer(idOfB), ResultCode::Done, 1},
        {"an earlier refusal that ends the connection", refusal(idOfA + "Connection: close\r\n"), ResultCode::AnswerTruncated, 2},
        {"an earlier refusal, after an interim response", interim + refusal(idOfA) + answer(idOfB), ResultCode::Done, 1},
        {"a refusal that names both requests", refusal(idOfA + idOfB), ResultCode::AnswerUnverified, 2},
        {"a refusal that names both requests, the present one first", refusal(idOfB + idOfA), ResultCode::AnswerUnverified, 2},
    };
    for (const Case &c : cases) {
        const Results results =
            run({{refusal(idOfA)}, {c.response}, {answer("Request-Id: c\r\n")}}, {"a", "b", "c"}, std::chrono::milliseconds(50));
        cr_expect_eq(results.backend[0].code, ResultCode::BackendRefused, "%s", c.description);
        const ResultCode code = results.backend[1].code;
        cr_expect_eq(code, c.expected, "%s: %s", c.description, describe(code).name);
        cr_expect_eq(results.backend[2].code, ResultCode::Done, "%s: then %s", c.description, describe(results.backend[2].code).name);
        cr_expect_eq(results.connections, c.connections, "%s: %d connections", c.description, results.connections);
    }
}

//! An earlier refusal of the same request bears the right id, so only the connection tells it from a new one.
Test(meshbackend, an_earlier_refusal_of_the_same_request_is_never_read)
{
    const std::vector<std::vector<std::string>> sequences = {{"a", "a"}, {"a", "b", "a"}, {"a", "b", "c", "a"}};
    for (const std::vector<std::string> &ids : sequences) {
        std::vector<Script> scripts = {{refusal(idOfA)}};
        for (std::size_t i = 1; i + 1 < ids.size(); ++i) {
            scripts.push_back({answer("Request-Id: " + ids[i] + "\r\n")});
        }
        Script repeated = {answer(idOfA)};
        repeated.earlierBytes = refusal(idOfA);
        scripts.push_back(repeated);
        const Results results = run(scripts, ids);
        cr_expect_eq(results.backend.front().code, ResultCode::BackendRefused);
        cr_expect_eq(results.backend.back().code, ResultCode::Done, "%zu requests: the request has run", ids.size());
        cr_expect_eq(results.connections, 2, "%zu requests: %d connections", ids.size(), results.connections);
    }
}

Test(meshbackend, refusals_of_different_requests_leave_their_connection_in_use)
{
    std::vector<Script> scripts;
    std::vector<std::string> ids;
    for (int i = 0; i < 1500; ++i) {
        ids.push_back("r" + std::to_string(i));
        scripts.push_back({refusal("Request-Id: " + ids.back() + "\r\n")});
    }
    const Results results = run(scripts, ids);
    for (const BackendResult &result : results.backend) {
        cr_assert_eq(result.code, ResultCode::BackendRefused);
    }
    cr_assert_eq(results.connections, 2, "%d connections: each carries 1024 requests", results.connections);
}

//! A response that ends early, at whatever byte, is neither an answer nor a refusal.
Test(meshbackend, a_response_cut_at_any_byte_does_not_look_whole)
{
    const std::string signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n";
    struct Case
    {
        const char *description;
        std::string response;
        ResultCode whole;
        bool isCloseDelimited = false;
    };
    const Case cases[] = {
        {"content length", signedHead + "Content-Length: 12\r\n\r\ntwelve bytes", ResultCode::Done},
        {"content length before the other fields",
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nRequest-Id: a\r\nResponse-Signature: s\r\n\r\none",
         ResultCode::Done},
        {"empty body", signedHead + "Content-Length: 0\r\n\r\n", ResultCode::Done},
        {"chunked", signedHead + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n2;x=y\r\ntw\r\n0\r\nTrailer: 1\r\n\r\n", ResultCode::Done},
        {"no length", signedHead + "\r\n", ResultCode::Done, true},
        {"no length, connection to be closed", signedHead + "Connection: close\r\n\r\n", ResultCode::Done, true},
        {"unsigned", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\none", ResultCode::AnswerUnverified},
        {"no content", "HTTP/1.1 204 No Content\r\nRequest-Id: a\r\nResponse-Signature: s\r\n\r\n", ResultCode::Done},
        {"not modified",
         "HTTP/1.1 304 Not Modified\r\nRequest-Id: a\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\n",
         ResultCode::Done},
        {"refusal", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbusy", ResultCode::BackendRefused},
        {"refusal without a length", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: a\r\n\r\n", ResultCode::BackendRefused, true},
        {"misdirected request",
         "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nnot I",
         ResultCode::BackendRefused},
    };
    for (const Case &c : cases) {
        for (std::size_t length = 0; length <= c.response.size(); ++length) {
            for (const bool resets : {false, true}) {
                const Results results = run({{c.response.substr(0, length), !resets, resets}}, {"a"});
                const ResultCode code = results.backend[0].code;
                const bool isWhole = length == c.response.size() && !(resets && c.isCloseDelimited);
                const bool isAsExpected = isWhole ? code == c.whole : outcomeOf(code) == Outcome::Unknown;
                cr_expect(
                    isAsExpected, "%s, %s after %zu bytes: %s", c.description, resets ? "reset" : "closed", length, describe(code).name);
            }
        }
    }
}

Test(meshbackend, a_body_without_a_length_is_whole_only_if_its_end_is_unambiguous)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n";
    struct Case
    {
        const char *description;
        std::string response;
        bool resets;
        ResultCode expected;
    };
    const Case cases[] = {
        {"orderly close", head + "\r\none", false, ResultCode::Done},
        {"reset", head + "\r\none", true, ResultCode::AnswerTruncated},
        {"reset after an empty body", head + "\r\n", true, ResultCode::AnswerTruncated},
        {"a coding that is not chunked", head + "Transfer-Encoding: gzip\r\n\r\none", false, ResultCode::AnswerTruncated},
        {"a misspelt coding", head + "Transfer-Encoding: chunke\r\n\r\n3\r\none\r\n0\r\n\r\n", false, ResultCode::AnswerTruncated},
        {"a coding after the chunked one", head + "Transfer-Encoding: chunked, gzip\r\n\r\none", false, ResultCode::AnswerTruncated},
        {"a length without a value", head + "Content-Length: \r\n\r\none", false, ResultCode::AnswerTruncated},
        {"a field name without a value", head + "Content-Len\r\n\r\none", false, ResultCode::AnswerTruncated},
        {"a length that differs", head + "Content-Length: 3\r\nContent-Length: 30\r\n\r\none", false, ResultCode::AnswerTruncated},
        {"a length and chunks",
         head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
         false,
         ResultCode::AnswerTruncated},
    };
    for (const Case &c : cases) {
        const ResultCode code = run({{c.response, !c.resets, c.resets}}, {"a"}).backend[0].code;
        cr_expect_eq(code, c.expected, "%s: %s", c.description, describe(code).name);
    }
}

//! Trailer fields follow the body, when the response has been classified by its head (RFC 9110, 6.5.1).
Test(meshbackend, a_trailer_field_does_not_change_what_the_head_says)
{
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n";
    struct Case
    {
        const char *description;
        std::string fields;
        std::string trailer;
        ResultCode expected;
    };
    const std::string signature = "Response-Signature: s\r\n";
    const Case cases[] = {
        {"no trailer", idOfA + signature, "", ResultCode::Done},
        {"a trailer without a meaning", idOfA + signature, "Name: value\r\n", ResultCode::Done},
        {"a folded trailer", idOfA + signature, "Name: value\r\n Other: value\r\n", ResultCode::Done},
        {"a trailer that says not run", idOfA + signature, "Not-Executed: 1\r\n", ResultCode::Done},
        {"a trailer with a content coding", idOfA + signature, "Content-Encoding: gzip\r\n", ResultCode::Done},
        {"a trailer that names another request", idOfA + signature, idOfB, ResultCode::Done},
        {"the request's id in the trailer only", signature, idOfA, ResultCode::AnswerUnverified},
        {"the signature in the trailer only", idOfA, signature, ResultCode::AnswerUnverified},
    };
    for (const Case &c : cases) {
        const BackendResult result = run({{"HTTP/1.1 200 OK\r\n" + c.fields + chunks + c.trailer + "\r\n"}}, {"a"}).backend[0];
        cr_expect_eq(result.code, c.expected, "%s: %s", c.description, describe(result.code).name);
        const std::size_t fields = result.payload.head ? result.payload.head->fields.size() : 0;
        cr_expect_eq(fields, c.expected == ResultCode::Done ? 2 : 0, "%s: %zu fields are passed on", c.description, fields);
    }
}

namespace {

//! Runs one call for each script, all at the same time, and returns how they ended.
std::map<RunId, BackendResult> runAll(const std::vector<Script> &scripts, const std::shared_ptr<BodyMemory> &memory, Duration deadline)
{
    asio::io_context context;
    asio::io_context serverContext;
    std::map<RunId, BackendResult> results;
    std::size_t peakBytes = 0;
    const PlatformProtocol protocol = platform::platformProtocol();
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::unique_ptr<MeshBackend>> backends;
    for (const Script &script : scripts) {
        const RunId id(servers.size() + 1);
        servers.push_back(std::make_unique<ScriptedServer>(serverContext, std::vector<Script>{script}));
        backends.push_back(std::make_unique<MeshBackend>(
            context, servers.back()->address(), protocol, steadyClock(), memory, [&](RunId run, const BackendResult &result) {
                results[run] = result;
            }));
        HttpHead head{"GET", "/x", {{"Host", "h.example"}, {"Request-Id", "a"}}};
        Run run;
        run.id = id;
        run.deadline = steadyClock()() + deadline;
        run.call.payload.head = std::make_shared<const HttpHead>(std::move(head));
        backends.back()->start(run);
    }
    // Of its own, as it writes long responses without returning.
    std::thread serverThread([&serverContext] { serverContext.run(); });
    while (results.size() < scripts.size()) {
        context.run_one();
        peakBytes = std::max(peakBytes, memory->heldBytes());
    }
    serverContext.stop();
    serverThread.join();
    cr_expect_leq(peakBytes, 8 * mebibyte, "%zu bytes are held", peakBytes);
    cr_expect_eq(memory->heldBytes(), 0, "%zu bytes stay held", memory->heldBytes());
    return results;
}

} // namespace

//! Each endless response is below the limit of a single one, but all together are not. They end at once, and no sound one with them.
Test(meshbackend, endless_responses_at_the_same_time_do_not_use_up_the_memory)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body(mebibyte, 'b');
    std::vector<Script> scripts;
    for (int i = 0; i < 8; ++i) {
        scripts.push_back({head + "\r\n", false, false, "xyz"});
        scripts.push_back({chunked, false, false, "10\r\n0123456789abcdef\r\n"});
        scripts.push_back({head, false, false, "Name: value\r\n"});
    }
    const std::size_t endless = scripts.size();
    const auto half = static_cast<std::ptrdiff_t>(body.size() / 2);
    for (int i = 0; i < 3; ++i) {
        Script slow{head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, half)};
        slow.laterBytes = body.substr(half);
        scripts.push_back(slow);
        scripts.push_back({chunked + "3\r\none\r\n0\r\n\r\n"});
    }
    const auto memory = std::make_shared<BodyMemory>(8 * mebibyte);
    const auto start = steadyClock()();
    const auto results = runAll(scripts, memory, std::chrono::seconds(30));
    cr_expect_lt(steadyClock()() - start, std::chrono::seconds(20), "given up only at the deadline");
    for (const auto &[run, result] : results) {
        const bool isEndless = run.value() <= endless;
        cr_expect_eq(outcomeOf(result.code),
                     isEndless ? Outcome::Unknown : Outcome::Done,
                     "response %zu: %s",
                     static_cast<std::size_t>(run.value()),
                     describe(result.code).name);
    }
    cr_expect_gt(memory->givenUp(), 0);
}

Test(meshbackend, large_sound_responses_at_the_same_time_are_all_received)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n";
    const std::string body(mebibyte - 64 * kibibyte, 'b');
    std::vector<Script> scripts(8, {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
    const auto results = runAll(scripts, std::make_shared<BodyMemory>(8 * mebibyte), std::chrono::seconds(30));
    for (const auto &[run, result] : results) {
        cr_expect_eq(result.code, ResultCode::Done, "%s", describe(result.code).name);
        cr_expect(result.payload.body && *result.payload.body == body);
    }
}
