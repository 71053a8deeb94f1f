#include <chervilpaddle/controllers/resourcebudget.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

//! A node of the smallest machine that holds all that clients can make it hold must have memory left for itself.
Test(resourcebudget, the_parts_leave_memory_for_the_node_on_a_machine_of_any_size)
{
    constexpr std::size_t megabyte = 1'000'000;
    for (const std::size_t megabytes : {64, 100, 160, 260, 512, 16'000}) {
        const ResourceBudget budget = divideResources({megabytes * megabyte, 4100});
        cr_expect_leq(budget.requestBytes + budget.responseBytes, megabytes * megabyte * 6 / 10, "%zu MB", megabytes);
        cr_expect_gt(budget.requestBytes, 0);
        cr_expect_gt(budget.responseBytes, 0);
    }
}

//! A node whose clients hold all connections that they may must be able to reach its peers, its backend server and the platform.
Test(resourcebudget, the_connections_of_clients_leave_descriptors_for_those_of_the_node)
{
    for (const std::size_t descriptors : {256, 1024, 4100, 65'536}) {
        const ResourceBudget budget = divideResources({160 * mebibyte, descriptors});
        const std::size_t clients = budget.callerConnections + 2 * budget.operatorConnections + budget.unidentifiedPeerConnections;
        cr_expect_leq(clients, descriptors * 8 / 10, "%zu", descriptors);
        cr_expect_geq(budget.operatorConnections, 8);
    }
}

Test(resourcebudget, a_larger_machine_never_allows_less)
{
    ResourceBudget smaller = divideResources({64 * mebibyte, 4100});
    for (std::size_t bytes = 65 * mebibyte; bytes <= 512 * mebibyte; bytes += mebibyte) {
        const ResourceBudget budget = divideResources({bytes, 4100});
        cr_assert_geq(budget.requestBytes, smaller.requestBytes);
        cr_assert_geq(budget.responseBytes, smaller.responseBytes);
        smaller = budget;
    }
}
