#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

Clock steadyClock()
{
    return [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); };
}

} // namespace chervilpaddle
