// Moves an allowance down a chain of calls: whatever happens below, the sum never grows.

#include <chervilpaddle/controllers/allowance.h>

#include <cstdio>

using namespace chervilpaddle;

int main()
{
    Allowance entry(3);
    const int lent = entry.lend();
    Allowance child(lent);
    std::printf("granted 3, lent %d, kept %d\n", lent, entry.held());

    // The child repeats one of its own calls, then answers and hands the rest back.
    child.spend();
    entry.takeBack(child.release(), lent);
    std::printf("after the child: held %d, spent below %d\n", entry.held(), child.spent());

    // A second child's answer is lost: what was lent to it counts as spent.
    entry.lend();
    std::printf("after a lost answer: held %d\n", entry.held());
    return entry.held() <= 2 ? 0 : 1;
}
