#include "../transport/scriptedserver.h"

#include <chervilpaddle/node/backendadapter.h>

#include <criterion/criterion.h>
#include <vector>

using namespace chervilpaddle;
using tests::Script;
using tests::ScriptedServer;

namespace {

namespace asio = boost::asio;

struct Results
{
    std::vector<ResultCode> codes;
    int connections = 0;
};

//! Runs one call per script, sequentially. The context of the call number N is "7-N".
Results run(const std::vector<Script> &scripts)
{
    asio::io_context context;
    ScriptedServer server(context, scripts);
    Results results;
    std::function<void()> next;
    BackendAdapter::Hooks hooks;
    hooks.clock = steadyClock();
    hooks.leaving = [] {};
    hooks.lateResponseTimeout = [] { return std::chrono::milliseconds(100); };
    hooks.finished = [&](RunId /*id*/, const BackendResult &result) {
        results.codes.push_back(result.code);
        next();
    };
    BackendAdapter backend(context, server.address(), Incarnation(7), nullptr, hooks);
    next = [&] {
        if (results.codes.size() == scripts.size()) {
            context.stop();
            return;
        }
        Run run;
        run.id = RunId(results.codes.size() + 1);
        run.deadline = steadyClock()() + std::chrono::milliseconds(200);
        run.call.context.operation = OperationName("x.run");
        run.call.context.request = RequestId("r");
        backend.start(run);
    };
    next();
    context.run();
    results.connections = server.connections();
    return results;
}

std::string refusal(const std::string &fields = {})
{
    return "HTTP/1.1 503 Service Unavailable\r\nChervilpaddle-Not-Run: true\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string answer(const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n\r\none";
}

Script after(const std::string &earlierBytes, const std::string &bytes)
{
    Script script = {bytes};
    script.earlierBytes = earlierBytes;
    return script;
}

} // namespace

Test(backendadapter, an_earlier_refusal_sent_again_is_not_taken_for_one_of_the_present_call)
{
    struct Case
    {
        const char *description;
        std::vector<Script> scripts;
        std::vector<ResultCode> expected;
        int connections;
    };
    const std::string first = "Chervilpaddle-Context: 7-1\r\n";
    const std::string second = "Chervilpaddle-Context: 7-2\r\n";
    const Case cases[] = {
        {"a backend server that repeats no context",
         {{refusal()}, after(refusal(), answer())},
         {ResultCode::BackendRefused, ResultCode::Done},
         2},
        {"one that repeats the context",
         {{refusal(first)}, after(refusal(first), answer(second))},
         {ResultCode::BackendRefused, ResultCode::Done},
         1},
        {"an answer, and then a refusal of the same call",
         {{answer(first)}, after(refusal(first), answer(second))},
         {ResultCode::Done, ResultCode::Done},
         1},
        {"an earlier answer", {{answer(first)}, after(answer(first), refusal(second))}, {ResultCode::Done, ResultCode::BackendRefused}, 1},
        {"refusals of different calls", {{refusal(first)}, {refusal(second)}}, {ResultCode::BackendRefused, ResultCode::BackendRefused}, 1},
        {"answers without a context", {{answer()}, {answer()}}, {ResultCode::Done, ResultCode::Done}, 1},
    };
    for (const Case &c : cases) {
        const Results results = run(c.scripts);
        for (std::size_t i = 0; i < c.expected.size(); ++i) {
            cr_expect_eq(results.codes[i], c.expected[i], "%s, call %zu: %s", c.description, i + 1, describe(results.codes[i]).name);
        }
        cr_expect_eq(results.connections, c.connections, "%s: %d connections", c.description, results.connections);
    }
}

//! A response that ends early, at whatever byte, is neither an answer nor a refusal.
Test(backendadapter, a_response_cut_at_any_byte_does_not_look_whole)
{
    const std::string responses[] = {answer(), refusal(), "HTTP/1.1 200 OK\r\n\r\none"};
    for (const std::string &response : responses) {
        const bool isWhole = response.find("Content-Length") != std::string::npos;
        for (std::size_t length = 0; length < response.size() + (isWhole ? 0 : 1); ++length) {
            for (const bool resets : {false, true}) {
                const ResultCode code = run({{response.substr(0, length), !resets, resets}}).codes[0];
                cr_expect_eq(outcomeOf(code), Outcome::Unknown, "%s, %zu bytes: %s", response.c_str(), length, describe(code).name);
            }
        }
    }
}
