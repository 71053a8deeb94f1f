#pragma once

#include <system_error>

namespace chervilpaddle {

//! What a socket holds that has not been read.
enum class PendingInput {
    None,
    Bytes,
    EndOfStream, //!< The peer has closed its end.
    Error,
};

//! Looks at the input of a socket without taking it and without blocking. Sets `error` for the result Error and clears it otherwise.
//! Thread-safe.
PendingInput peekInput(int socket, std::error_code &error);

} // namespace chervilpaddle
