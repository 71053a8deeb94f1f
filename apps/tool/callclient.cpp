#include "callclient.h"

#include <cstdlib>

namespace chervilpaddle::tool {

namespace {

int integerHeader(const HttpResponse &response, const char *name)
{
    const std::string *value = response.headers.find(name);
    return value != nullptr ? std::atoi(value->c_str()) : 0;
}

HttpRequest toHttpRequest(const CallerRequest &request)
{
    HttpRequest http;
    http.method = "POST";
    http.target = "/" + request.operation.value();
    http.headers.add(headers::customer, request.customer.value());
    http.headers.add(headers::contentType, "text/plain");
    if (!request.request.isEmpty()) {
        http.headers.add(headers::request, request.request.value());
    }
    if (request.deadlineMs >= 0) {
        http.headers.add(headers::deadline, std::to_string(request.deadlineMs));
    }
    if (request.attempt > 0) {
        http.headers.add(headers::attempt, std::to_string(request.attempt));
    }
    if (!request.ticket.empty()) {
        http.headers.add(headers::ticket, request.ticket);
        http.headers.add(headers::ticketAttempt, std::to_string(request.ticketAttempt));
    }
    http.body = request.body;
    return http;
}

CallerResult toResult(const HttpResult &http, const CallerRequest &request)
{
    CallerResult result;
    result.ticket = request.ticket;
    if (http.stage != HttpStage::Complete) {
        result.code = http.stage == HttpStage::NotSent ? ResultCode::NoInstance : ResultCode::AnswerLost;
        result.outcome = outcomeOf(result.code);
        return result;
    }
    result.status = http.response.status;
    const ResultCodeInfo *row = findResultCode(integerHeader(http.response, headers::code));
    // A server without a node responds without a result code; its HTTP status decides.
    const bool isFromNode = row != nullptr && row->code != ResultCode::Success;
    result.code = isFromNode ? row->code : (result.status < 500 ? ResultCode::Done : ResultCode::DoneWithError);
    result.outcome = outcomeOf(result.code);
    result.attempts = integerHeader(http.response, headers::attempts);
    result.repeatsSpent = integerHeader(http.response, headers::retries);
    if (const std::string *ticket = http.response.headers.find(headers::ticket); ticket != nullptr) {
        result.ticket = *ticket;
    }
    result.body = http.response.body;
    return result;
}

} // namespace

void sendRequest(HttpClient &client, const CallerRequest &request, Duration timeout, std::function<void(const CallerResult &)> done)
{
    client.send(toHttpRequest(request), timeout, [&client, request, timeout, done = std::move(done)](const HttpResult &http) {
        const CallerResult result = toResult(http, request);
        if (result.code == ResultCode::RepeatWithoutTicket && request.ticket.empty()) {
            // Without a ticket no earlier attempt can have run, so the request can be sent as a first attempt.
            CallerRequest firstAttempt = request;
            firstAttempt.attempt = 0;
            sendRequest(client, firstAttempt, timeout, done);
            return;
        }
        if (result.code != ResultCode::TicketRequired || result.ticket.empty()) {
            done(result);
            return;
        }
        CallerRequest withTicket = request;
        withTicket.ticket = result.ticket;
        withTicket.ticketAttempt = 0;
        sendRequest(client, withTicket, timeout, done);
    });
}

} // namespace chervilpaddle::tool
