#include <chervilpaddle/controllers/policyswitches.h>

namespace chervilpaddle {

namespace {
constexpr double conventionalRetryBudget = 0.1;
}

PolicySwitches fullPolicy()
{
    return {};
}

PolicySwitches passThroughPolicy()
{
    PolicySwitches policy;
    policy.priorityOrder = false;
    policy.price = false;
    policy.retryAllowance = false;
    policy.deadlineEnforcement = false;
    policy.concurrencyLimit = false;
    return policy;
}

PolicySwitches conventionalPolicy()
{
    PolicySwitches policy = passThroughPolicy();
    policy.concurrencyLimit = true;
    policy.hopRetryBudget = conventionalRetryBudget;
    return policy;
}

} // namespace chervilpaddle
