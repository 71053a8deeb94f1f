#include <chervilpaddle/controllers/resourcebudget.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

//! A node of the smallest machine that holds all that clients can make it hold must have memory left for itself.
Test(resourcebudget, the_parts_leave_memory_for_the_node_on_a_machine_of_any_size)
{
    constexpr std::size_t megabyte = 1'000'000;
    for (const std::size_t megabytes : {64, 100, 160, 260, 512, 16'000}) {
        const ResourceBudget budget = divideResources({megabytes * megabyte});
        cr_expect_leq(budget.requestBytes + budget.responseBytes, megabytes * megabyte * 6 / 10, "%zu MB", megabytes);
        cr_expect_gt(budget.requestBytes, 0);
        cr_expect_gt(budget.responseBytes, 0);
    }
}

Test(resourcebudget, a_larger_machine_never_allows_less)
{
    ResourceBudget smaller = divideResources({64 * mebibyte});
    for (std::size_t bytes = 65 * mebibyte; bytes <= 512 * mebibyte; bytes += mebibyte) {
        const ResourceBudget budget = divideResources({bytes});
        cr_assert_geq(budget.requestBytes, smaller.requestBytes);
        cr_assert_geq(budget.responseBytes, smaller.responseBytes);
        smaller = budget;
    }
}
