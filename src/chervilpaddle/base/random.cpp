#include <chervilpaddle/base/random.h>

#include <cstdio>
#include <xxhash.h>

namespace chervilpaddle {

namespace {
constexpr int fractionBits = 53;
}

std::uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t randomIdentifier(RandomSource &random)
{
    std::uint64_t value = 0;
    while (value == 0) {
        value = random();
    }
    return value;
}

std::size_t uniformIndex(RandomSource &random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

double uniformFraction(RandomSource &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

Duration randomDuration(RandomSource &random, Duration min, Duration max)
{
    return min + fromSeconds(toSeconds(max - min) * uniformFraction(random));
}

std::uint64_t stableHash(const std::string &bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

double hashFraction(const std::string &bytes)
{
    const std::uint64_t highBits = stableHash(bytes) >> (64U - fractionBits);
    return static_cast<double>(highBits) / static_cast<double>(1ULL << fractionBits);
}

std::string hexDigest(const std::string &bytes)
{
    char text[17] = {};
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(stableHash(bytes)));
    return text;
}

} // namespace chervilpaddle
