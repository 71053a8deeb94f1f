#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace chervilpaddle {

//! The random source of a decision; seeded by the owner, so that a test repeats exactly.
using RandomSource = std::mt19937_64;

//! A seed from the system's entropy. Thread safe.
std::uint64_t entropySeed();

//! A non-zero random number. Precondition: `random` is not shared between threads.
std::uint64_t randomIdentifier(RandomSource &random);

//! Uniform in [0, bound). Precondition: bound > 0.
std::size_t uniformIndex(RandomSource &random, std::size_t bound);

//! Uniform in [0, 1).
double uniformFraction(RandomSource &random);

//! A 64-bit hash (xxHash) of the bytes; the same on every machine.
std::uint64_t stableHash(const std::string &bytes);

//! The stable hash mapped to [0, 1).
double hashFraction(const std::string &bytes);

//! The stable hash as 16 hexadecimal digits, for digests.
std::string hexDigest(const std::string &bytes);

} // namespace chervilpaddle
