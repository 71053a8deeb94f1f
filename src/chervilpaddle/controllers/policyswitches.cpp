#include <chervilpaddle/controllers/policyswitches.h>

namespace chervilpaddle {

namespace {
constexpr double usualRetryBudget = 0.1;
}

PolicySwitches fullPolicy()
{
    return {};
}

PolicySwitches directPolicy()
{
    PolicySwitches policy;
    policy.priorityOrder = false;
    policy.price = false;
    policy.allowance = false;
    policy.deadlineEnforcement = false;
    policy.slots = false;
    return policy;
}

PolicySwitches usualPolicy()
{
    PolicySwitches policy = directPolicy();
    policy.slots = true;
    policy.hopRetryBudget = usualRetryBudget;
    return policy;
}

} // namespace chervilpaddle
