#pragma once

#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <optional>

namespace chervilpaddle {

//! Builds the HTTP response that reports the end of a call to its caller. The status is derived from the result code, never the reverse.
HttpResponse makeResponse(const CallResult &result, const RequestId &request, const std::optional<Ticket> &ticket = std::nullopt);

//! The result of a call that was refused before it was sent.
CallResult refusedResult(ResultCode code);

//! Parses a header's value as an integer in [lowest, highest]; returns nothing if it is malformed or out of range.
std::optional<int> parseIntegerHeader(const std::string &value, int lowest, int highest);

//! The operation in a request target of the form "/SERVICE.METHOD"; empty if the target has another form.
OperationName operationOf(const HttpRequest &request);

} // namespace chervilpaddle
