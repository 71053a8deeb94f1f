#pragma once

#include <string_view>

namespace chervilpaddle {

//! Returns whether a number is the status of a response, interim or final (RFC 9110, 15). Thread-safe.
bool isHttpStatus(int status);

} // namespace chervilpaddle
