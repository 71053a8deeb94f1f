#include <chervilpaddle/base/httpsyntax.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

constexpr int lowestStatus = 100;
constexpr int lowestFinalStatus = 200;
constexpr int highestStatus = 599;
constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";

//! Independent of the locale.
bool isTokenCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || tokenPunctuation.find(c) != std::string_view::npos;
}

bool isControlCharacter(char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < firstPrintable || byte == deleteCharacter;
}

} // namespace

bool isHttpStatus(int status)
{
    return status >= lowestStatus && status <= highestStatus;
}

bool isFinalHttpStatus(int status)
{
    return isHttpStatus(status) && status >= lowestFinalStatus;
}

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHttpFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c != '\t' && isControlCharacter(c); });
}

} // namespace chervilpaddle
