#pragma once

#include <string_view>

namespace chervilpaddle {

//! Returns whether a number is the status of a response, interim or final (RFC 9110, 15). Thread-safe.
bool isHttpStatus(int status);
//! Returns whether a number is the status of a final response. Thread-safe.
bool isFinalHttpStatus(int status);
//! Returns whether a text is a token, as the names of fields are (RFC 9110, 5.6.2). Thread-safe.
bool isHttpToken(std::string_view text);
//! Returns whether a text can be the value of a field (RFC 9110, 5.5). Thread-safe.
bool isHttpFieldValue(std::string_view text);

} // namespace chervilpaddle
