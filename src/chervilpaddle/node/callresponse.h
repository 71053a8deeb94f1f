#pragma once

#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <optional>

namespace chervilpaddle {

//! The HTTP response that tells a caller how its call ended. The status follows from the code, never the reverse.
HttpResponse responseFor(const CallResult &result, const RequestId &request, const std::optional<Ticket> &ticket = std::nullopt);

//! The result of a call that a node refused before it went anywhere.
CallResult refusal(ResultCode code);

//! A header's value as a whole number in [lowest, highest]; nothing where it is malformed.
std::optional<int> parseIntegerHeader(const std::string &value, int lowest, int highest);

//! The operation that a request's target "/SERVICE.METHOD" names; empty where it names none.
OperationName operationOf(const HttpRequest &request);

} // namespace chervilpaddle
