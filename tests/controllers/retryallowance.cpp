#include "fakeservice.h"

#include <chervilpaddle/controllers/retryallowance.h>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

Test(retryallowance, lends_half_rounded_up_and_takes_back_no_more_than_lent)
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

//! What one random tree of calls does under random faults.
struct TreeTrial
{
    int depth = 1;
    int fanOut = 1;
    int grant = 0;
    int callerRepeats = 0;
    double lossShare = 0;
    double duplicateShare = 0;
    double lateShare = 0;
    double failShare = 0;
    bool replaces = false;
    std::uint64_t seed = 0;
    PolicySwitches policy;
};

void buildTree(FakeServices &services, const TreeTrial &trial)
{
    for (int level = 0; level < trial.depth; ++level) {
        const std::string service = "s" + std::to_string(level);
        FakeOperation operation;
        operation.serviceTime = std::chrono::milliseconds(2);
        operation.deadline = std::chrono::milliseconds(400);
        if (level + 1 < trial.depth) {
            // Wide only near the root: the number of calls must stay small.
            const int calls = level < 2 ? trial.fanOut : 1;
            for (int i = 0; i < calls; ++i) {
                operation.calls.emplace_back("s" + std::to_string(level + 1) + ".run");
            }
        }
        services.describe(OperationName(service + ".run"), operation);
        for (int number = 0; number < 3; ++number) {
            services.addNode(service + "-" + std::to_string(number), service, "centre-a", 20, trial.policy).setFailShare(trial.failShare);
        }
    }
}

//! Runs one request and counts the repeats of all its hops: the naive counter that sees everything.
std::uint64_t repeatsOf(const TreeTrial &trial)
{
    VirtualTime time;
    FakeServices services(time, trial.seed);
    buildTree(services, trial);
    RandomSource faults(trial.seed + 1);
    services.setDeliver([&](const InstanceId &, const InstanceId &, const PeerMessage &) {
        Delivery delivery;
        if (uniformFraction(faults) < trial.lossShare) {
            return delivery;
        }
        delivery.copies.push_back(std::chrono::microseconds(200));
        if (uniformFraction(faults) < trial.duplicateShare) {
            delivery.copies.push_back(std::chrono::milliseconds(5));
        }
        if (uniformFraction(faults) < trial.lateShare) {
            delivery.copies.front() = std::chrono::milliseconds(150);
        }
        return delivery;
    });
    for (int attempt = 0; attempt <= trial.callerRepeats; ++attempt) {
        OutboundCall call;
        call.context.request = RequestId("r");
        call.context.customer = CustomerName("c");
        call.context.operation = OperationName("s0.run");
        call.context.idempotent = true;
        call.context.rank = 100;
        call.deadline = time.now() + std::chrono::milliseconds(500);
        call.allowance = std::make_shared<RetryAllowance>(attempt == 0 ? trial.grant : 0);
        services.node("s0-" + std::to_string(attempt % 3)).router().call(std::move(call), [](const CallResult &) {});
        time.runFor(std::chrono::milliseconds(40));
        if (trial.replaces) {
            const std::string victim = "s" + std::to_string(trial.depth - 1) + "-1";
            FakeNode &fresh = services.replaceNode(victim);
            for (FakeNode *node : services.nodes()) {
                node->router().handleInstanceReplaced(InstanceId(victim), fresh.self().incarnation);
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

TreeTrial randomTrial()
{
    TreeTrial trial;
    trial.depth = *rc::gen::inRange(1, 22);
    trial.fanOut = *rc::gen::inRange(1, 4);
    trial.grant = *rc::gen::inRange(0, 8);
    trial.callerRepeats = *rc::gen::inRange(0, 4);
    trial.lossShare = *rc::gen::inRange(0, 30) / 100.0;
    trial.duplicateShare = *rc::gen::inRange(0, 30) / 100.0;
    trial.lateShare = *rc::gen::inRange(0, 30) / 100.0;
    trial.failShare = *rc::gen::inRange(0, 60) / 100.0;
    trial.replaces = *rc::gen::arbitrary<bool>();
    trial.seed = *rc::gen::arbitrary<std::uint32_t>();
    return trial;
}

} // namespace

Test(retryallowance, bounds_repeats_over_the_whole_tree_under_faults)
{
    const bool holds = rc::check("the repeats of all hops never pass the grant", [] {
        const TreeTrial trial = randomTrial();
        RC_ASSERT(repeatsOf(trial) <= static_cast<std::uint64_t>(trial.grant));
    });
    cr_assert(holds);
}

Test(retryallowance, without_it_repeats_multiply_down_the_chain)
{
    TreeTrial trial;
    trial.depth = 5;
    trial.failShare = 1;
    trial.grant = 3;
    trial.seed = 3;
    cr_assert_leq(repeatsOf(trial), 3);
    trial.policy.allowance = false;
    cr_assert_gt(repeatsOf(trial), 3);
}
