// Passes a repeat allowance down a chain of calls. The total never grows, whatever happens in the calls below.

#include <chervilpaddle/controllers/retryallowance.h>

#include <cstdio>

using namespace chervilpaddle;

int main()
{
    RetryAllowance entry(3);
    const int lent = entry.delegate();
    RetryAllowance child(lent);
    std::printf("granted 3, lent %d, kept %d\n", lent, entry.remaining());

    // The child repeats one of its own calls, then answers and returns the rest.
    child.spend();
    entry.reclaim(child.release(), lent);
    std::printf("after the child: held %d, spent below %d\n", entry.remaining(), child.spent());

    // The answer of a second child is lost, so that what was lent to it counts as spent.
    entry.delegate();
    std::printf("after a lost answer: held %d\n", entry.remaining());
    return entry.remaining() <= 2 ? 0 : 1;
}
