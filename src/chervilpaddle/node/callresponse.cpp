#include <chervilpaddle/node/callresponse.h>

#include <chervilpaddle/peer/codec.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

HttpResponse makeResponse(const CallResult &result, const RequestId &request, const std::optional<Ticket> &ticket)
{
    const ResultCodeInfo &row = describe(result.code);
    const Outcome outcome = outcomeOf(result.code);
    HttpResponse response;
    response.headers.add(headers::outcome, outcomeName(outcome));
    response.headers.add(headers::code, std::to_string(static_cast<int>(result.code)));
    response.headers.add(headers::request, request.value());
    response.headers.add(headers::attempts, std::to_string(result.attempts));
    response.headers.add(headers::retries, std::to_string(result.retriesSpent));
    if (ticket) {
        response.headers.add(headers::ticket, formatTicket(*ticket));
    }
    if (outcome == Outcome::Done) {
        response.status = result.payload.status;
        response.headers.add(headers::contentType, result.payload.contentType);
        response.body = result.payload.body ? *result.payload.body : std::string();
        return response;
    }
    response.status = row.httpStatus;
    response.headers.add(headers::contentType, "application/json");
    const nlohmann::json body = {
        {"code", static_cast<int>(result.code)}, {"name", row.name}, {"outcome", outcomeName(outcome)}, {"meaning", row.meaning}};
    response.body = body.dump();
    return response;
}

CallResult refusedResult(ResultCode code)
{
    CallResult result;
    result.code = code;
    return result;
}

std::optional<int> parseIntegerHeader(const std::string &value, int lowest, int highest)
{
    int number = 0;
    const char *end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || rest != end || number < lowest || number > highest) {
        return std::nullopt;
    }
    return number;
}

OperationName operationOf(const HttpRequest &request)
{
    const bool isPlainPath =
        request.target.size() > 1 && request.target.find('/', 1) == std::string::npos && request.target.find('?') == std::string::npos;
    return OperationName(isPlainPath ? request.target.substr(1) : std::string());
}

} // namespace chervilpaddle
