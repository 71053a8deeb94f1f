#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/transport/httpclient.h>

#include <functional>
#include <memory>
#include <string>

namespace chervilpaddle::tool {

//! A request as sent by an external caller.
struct CallerRequest
{
    CustomerName customer;
    OperationName operation;
    RequestId request;
    std::string body;
    int deadlineMs = -1;
    int attempt = 0;
    std::string ticket;
    int ticketAttempt = 0;
};

//! The result of a request as seen by an external caller.
struct CallerResult
{
    ResultCode code = ResultCode::NoInstance;
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    int attempts = 0;
    int repeatsSpent = 0;
    //! The ticket that the request was sent with, or a new one from the node if the request was not run.
    std::string ticket;
    std::string body;
};

//! Sends a request, and sends it again with a ticket if the node requires one. If the HTTP exchange fails, the outcome is
//! "not run" if nothing was sent and "unknown" otherwise.
void sendRequest(HttpClient &client, const CallerRequest &request, Duration timeout, std::function<void(const CallerResult &)> done);

} // namespace chervilpaddle::tool
