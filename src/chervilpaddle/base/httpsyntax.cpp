#include <chervilpaddle/base/httpsyntax.h>

namespace chervilpaddle {

namespace {

constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

} // namespace

bool isHttpStatus(int status)
{
    return status >= lowestStatus && status <= highestStatus;
}

} // namespace chervilpaddle
