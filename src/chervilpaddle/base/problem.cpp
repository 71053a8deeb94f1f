#include <chervilpaddle/base/problem.h>

namespace chervilpaddle {

std::string toText(const Problem &problem)
{
    std::string text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty()) {
        text += "key '" + problem.key + "': ";
    }
    return text + problem.reason + " (code " + std::to_string(static_cast<int>(problem.code)) + ")";
}

} // namespace chervilpaddle
