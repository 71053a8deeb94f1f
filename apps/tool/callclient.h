#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/transport/httpclient.h>

#include <functional>
#include <memory>
#include <string>

namespace chervilpaddle::tool {

//! One request as an outside caller sends it.
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

//! What an outside caller learns of its request.
struct CallerResult
{
    ResultCode code = ResultCode::NoInstance;
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    int attempts = 0;
    int repeatsSpent = 0;
    //! The ticket that the request went out with, or a fresh one where it was not run.
    std::string ticket;
    std::string body;
};

//! Sends a request, fetching a ticket first where the node asks for one. An HTTP exchange that ends without the
//! node's word counts as not run where nothing was sent, else as unknown.
void sendRequest(HttpClient &client, const CallerRequest &request, Duration timeout, std::function<void(const CallerResult &)> done);

} // namespace chervilpaddle::tool
