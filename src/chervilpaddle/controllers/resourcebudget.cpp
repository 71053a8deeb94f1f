#include <chervilpaddle/controllers/resourcebudget.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

constexpr std::size_t maxRequestBytes = 48 * mebibyte;
constexpr std::size_t maxResponseBytes = 40 * mebibyte;
constexpr std::size_t minOperatorConnections = 8;

} // namespace

ResourceBudget divideResources(const MachineResources &machine)
{
    ResourceBudget budget;
    budget.requestBytes = std::min(maxRequestBytes, machine.memoryBytes * 3 / 10);
    budget.responseBytes = std::min(maxResponseBytes, machine.memoryBytes / 4);
    // The rest is for files, and for connections to peers, to the backend server and to the platform.
    budget.callerConnections = machine.descriptors * 6 / 10;
    budget.operatorConnections = std::max(minOperatorConnections, machine.descriptors / 64);
    budget.unidentifiedPeerConnections = machine.descriptors / 8;
    return budget;
}

} // namespace chervilpaddle
