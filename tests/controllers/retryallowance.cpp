#include "fakeservice.h"

#include <chervilpaddle/controllers/retryallowance.h>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

Test(retryallowance, delegates_half_rounded_up_and_reclaims_no_more_than_delegated)
{
    RetryAllowance allowance(5);
    cr_assert_eq(allowance.delegate(), 3);
    cr_assert_eq(allowance.remaining(), 2);
    allowance.reclaim(7, 3);
    cr_assert_eq(allowance.remaining(), 5);
    allowance.reclaim(-4, 3);
    cr_assert_eq(allowance.remaining(), 5);
}

Test(retryallowance, is_spent_one_by_one_and_never_below_zero)
{
    RetryAllowance allowance(1);
    cr_assert(allowance.spend());
    cr_assert_not(allowance.spend());
    cr_assert_eq(allowance.spent(), 1);
    cr_assert_eq(RetryAllowance(-3).remaining(), 0);
}

namespace {

//! Parameters of a random call tree and of the faults that are injected into it.
struct TreeScenario
{
    int depth = 1;
    int fanOut = 1;
    int grant = 0;
    int clientRetries = 0;
    double lossRate = 0;
    double duplicateRate = 0;
    double delayRate = 0;
    double failureRate = 0;
    bool replacesInstance = false;
    std::uint64_t seed = 0;
    PolicySwitches policy;
};

void buildTree(FakeServices &services, const TreeScenario &scenario)
{
    for (int level = 0; level < scenario.depth; ++level) {
        const std::string service = "s" + std::to_string(level);
        FakeOperation operation;
        operation.serviceTime = std::chrono::milliseconds(2);
        operation.deadline = std::chrono::milliseconds(400);
        if (level + 1 < scenario.depth) {
            // Fan out only near the root, to limit the number of calls.
            const int calls = level < 2 ? scenario.fanOut : 1;
            for (int i = 0; i < calls; ++i) {
                operation.calls.emplace_back("s" + std::to_string(level + 1) + ".run");
            }
        }
        services.addOperation(OperationName(service + ".run"), operation);
        for (int number = 0; number < 3; ++number) {
            services.addNode(service + "-" + std::to_string(number), service, "centre-a", 20, scenario.policy)
                .setFailureRate(scenario.failureRate);
        }
    }
}

//! Runs one request and returns the number of retries at all hops, counted independently of the allowance.
std::uint64_t countRetries(const TreeScenario &scenario)
{
    VirtualTime time;
    FakeServices services(time, scenario.seed);
    buildTree(services, scenario);
    RandomSource faults(scenario.seed + 1);
    services.setDeliveryFunction([&](const InstanceId &, const InstanceId &, const PeerMessage &) {
        Delivery delivery;
        if (uniformFraction(faults) < scenario.lossRate) {
            return delivery;
        }
        delivery.copies.push_back(std::chrono::microseconds(200));
        if (uniformFraction(faults) < scenario.duplicateRate) {
            delivery.copies.push_back(std::chrono::milliseconds(5));
        }
        if (uniformFraction(faults) < scenario.delayRate) {
            delivery.copies.front() = std::chrono::milliseconds(150);
        }
        return delivery;
    });
    for (int attempt = 0; attempt <= scenario.clientRetries; ++attempt) {
        OutboundCall call;
        call.context.request = RequestId("r");
        call.context.customer = CustomerName("c");
        call.context.operation = OperationName("s0.run");
        call.context.idempotent = true;
        call.context.rank = 100;
        call.deadline = time.now() + std::chrono::milliseconds(500);
        call.allowance = std::make_shared<RetryAllowance>(attempt == 0 ? scenario.grant : 0);
        services.node("s0-" + std::to_string(attempt % 3)).router().call(std::move(call), [](const CallResult &) {});
        time.runFor(std::chrono::milliseconds(40));
        if (scenario.replacesInstance) {
            const std::string replaced = "s" + std::to_string(scenario.depth - 1) + "-1";
            FakeNode &replacement = services.replaceNode(replaced);
            for (FakeNode *node : services.nodes()) {
                node->router().handleInstanceReplaced(InstanceId(replaced), replacement.self().incarnation);
            }
        }
        time.runFor(std::chrono::milliseconds(100));
    }
    time.runFor(std::chrono::seconds(2));
    std::uint64_t retries = 0;
    for (FakeNode *node : services.nodes()) {
        retries += node->router().counters().retries;
    }
    return retries;
}

TreeScenario randomScenario()
{
    TreeScenario scenario;
    scenario.depth = *rc::gen::inRange(1, 22);
    scenario.fanOut = *rc::gen::inRange(1, 4);
    scenario.grant = *rc::gen::inRange(0, 8);
    scenario.clientRetries = *rc::gen::inRange(0, 4);
    scenario.lossRate = *rc::gen::inRange(0, 30) / 100.0;
    scenario.duplicateRate = *rc::gen::inRange(0, 30) / 100.0;
    scenario.delayRate = *rc::gen::inRange(0, 30) / 100.0;
    scenario.failureRate = *rc::gen::inRange(0, 60) / 100.0;
    scenario.replacesInstance = *rc::gen::arbitrary<bool>();
    scenario.seed = *rc::gen::arbitrary<std::uint32_t>();
    return scenario;
}

} // namespace

Test(retryallowance, bounds_retries_over_the_whole_tree_under_faults)
{
    const bool holds = rc::check("the retries of all hops never exceed the grant", [] {
        const TreeScenario scenario = randomScenario();
        RC_ASSERT(countRetries(scenario) <= static_cast<std::uint64_t>(scenario.grant));
    });
    cr_assert(holds);
}

Test(retryallowance, without_it_retries_multiply_down_the_chain)
{
    TreeScenario scenario;
    scenario.depth = 5;
    scenario.failureRate = 1;
    scenario.grant = 3;
    scenario.seed = 3;
    cr_assert_leq(countRetries(scenario), 3);
    scenario.policy.retryAllowance = false;
    cr_assert_gt(countRetries(scenario), 3);
}
