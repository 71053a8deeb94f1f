#pragma once

#include <chervilpaddle/base/clock.h>

#include <cstdint>
#include <random>
#include <string>

namespace chervilpaddle {

//! Random number generator for decisions; seeded by its owner, so that tests are reproducible.
using RandomSource = std::mt19937_64;

//! Returns a seed from the system's entropy source. Thread-safe.
std::uint64_t entropySeed();

//! Returns a non-zero random number. Precondition: `random` is not shared between threads.
std::uint64_t randomIdentifier(RandomSource &random);

//! Returns a uniformly distributed index in [0, bound). Precondition: bound > 0.
std::size_t uniformIndex(RandomSource &random, std::size_t bound);

//! Returns a uniformly distributed number in [0, 1).
double uniformFraction(RandomSource &random);

//! Returns a uniformly distributed duration in [min, max). Precondition: min <= max.
Duration randomDuration(RandomSource &random, Duration min, Duration max);

//! Returns the 64-bit xxHash of the bytes; identical on every machine.
std::uint64_t stableHash(const std::string &bytes);

//! Returns the stable hash mapped to [0, 1).
double hashFraction(const std::string &bytes);

//! Returns the stable hash as 16 hexadecimal digits.
std::string hexDigest(const std::string &bytes);

} // namespace chervilpaddle
