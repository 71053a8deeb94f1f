#pragma once

#include <cstddef>

namespace chervilpaddle {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

} // namespace chervilpaddle
