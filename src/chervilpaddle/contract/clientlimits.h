#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/units.h>

namespace chervilpaddle {

//! What the operators' configuration allows clients of the plain HTTP interface. The defaults hold where it does not say.
struct ClientLimits
{
    std::size_t headerBytes = 16 * kibibyte;
    std::size_t bodyBytes = 8 * mebibyte;
    //! Time from the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(10);
    //! Time for which a client may leave a connection unused before it sends the next request.
    Duration idleTimeout = std::chrono::seconds(65);
};

} // namespace chervilpaddle
