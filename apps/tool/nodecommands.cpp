#include "callclient.h"
#include "toolcommands.h"

#include <chervilpaddle/base/units.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chervilpaddle::tool {

namespace {

constexpr Duration operatorTimeout = std::chrono::seconds(5);
constexpr Duration callTimeout = std::chrono::seconds(310);
constexpr std::size_t maximumAnswerBytes = 16 * mebibyte;

std::optional<Endpoint> parseAddress(const std::string &text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        std::fprintf(stderr, "chervilpaddle: '%s' is not an address such as 127.0.0.1:9004\n", text.c_str());
    }
    return endpoint;
}

int sendOperatorRequest(const std::string &address, const std::string &method, const std::string &target)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return exitUsage;
    }
    boost::asio::io_context context;
    HttpClient client(context, {*endpoint, maximumAnswerBytes});
    HttpRequest request;
    request.method = method;
    request.target = target;
    int status = exitUsage;
    client.send(request, operatorTimeout, [&](const HttpResult &result) {
        if (result.stage != HttpStage::Complete) {
            std::fprintf(stderr, "chervilpaddle: no response from %s\n", address.c_str());
            return;
        }
        std::printf("%s\n", result.response.body.c_str());
        status = result.response.status == 200 ? 0 : exitFailure;
    });
    context.run();
    return status;
}

void printResult(const CallerResult &result, bool json)
{
    const ResultCodeInfo &row = describe(result.code);
    if (json) {
        const nlohmann::json line = {{"code", static_cast<int>(result.code)},
                                     {"name", row.name},
                                     {"outcome", outcomeName(result.outcome)},
                                     {"attempts", result.attempts},
                                     {"repeats", result.repeatsSpent},
                                     {"ticket", result.ticket},
                                     {"body", result.body}};
        std::printf("%s\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
        return;
    }
    std::fprintf(stderr, "%s (%d %s): %s\n", outcomeName(result.outcome), static_cast<int>(result.code), row.name, row.meaning);
    if (result.outcome == Outcome::Done) {
        std::printf("%s", result.body.c_str());
    }
}

} // namespace

int showState(const NodeArguments &arguments)
{
    return sendOperatorRequest(arguments.address, "GET", "/state");
}

int drainNode(const NodeArguments &arguments)
{
    return sendOperatorRequest(arguments.address, "POST", "/drain");
}

int sendCall(const CallArguments &arguments)
{
    const auto endpoint = parseAddress(arguments.address);
    if (!endpoint) {
        return exitUsage;
    }
    CallerRequest request;
    request.customer = CustomerName(arguments.customer);
    request.operation = OperationName(arguments.operation);
    request.request = RequestId(arguments.request);
    request.body = arguments.body;
    request.deadlineMs = arguments.deadlineMs;
    boost::asio::io_context context;
    HttpClient client(context, {*endpoint, maximumAnswerBytes});
    CallerResult result;
    sendRequest(client, request, callTimeout, [&](const CallerResult &r) { result = r; });
    context.run();
    printResult(result, arguments.json);
    return result.outcome == Outcome::Done ? 0 : exitFailure;
}

} // namespace chervilpaddle::tool
