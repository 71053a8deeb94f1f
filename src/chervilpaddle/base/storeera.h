#pragma once

#include <chervilpaddle/base/ids.h>

namespace chervilpaddle {

//! Number of times that the store was restored from a copy. Zero if the store or the peer that reports it does not count them.
using StoreEra = StrongNumber<struct StoreEraTag>;

} // namespace chervilpaddle
