#pragma once

#include <cstddef>
#include <string>

namespace chervilpaddle::tests {

//! Bytes that a peer sends without end, after a beginning.
struct EndlessCase
{
    const char *description;
    std::string start;
    std::string endless;
};

//! More than the buffers of two sockets hold: who has taken so much does not stop.
constexpr std::size_t maxFloodBytes = std::size_t{16} * 1024 * 1024;

//! Returns a block of many repetitions of the pattern, to be sent again and again.
inline std::string floodBlock(const std::string &pattern)
{
    constexpr std::size_t minBlockBytes = 65536;
    std::string block;
    while (block.size() < minBlockBytes) {
        block += pattern;
    }
    return block;
}

} // namespace chervilpaddle::tests
