#include <chervilpaddle/controllers/resourcebudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

constexpr std::size_t maxRequestBytes = 48 * mebibyte;
constexpr std::size_t maxResponseBytes = 40 * mebibyte;

} // namespace

ResourceBudget divideResources(const MachineResources &machine)
{
    ResourceBudget budget;
    budget.requestBytes = std::min(maxRequestBytes, machine.memoryBytes * 3 / 10);
    budget.responseBytes = std::min(maxResponseBytes, machine.memoryBytes / 4);
    return budget;
}

} // namespace chervilpaddle
