// Passes a retry allowance down a chain of calls. The total never grows, whatever happens in the calls below.

#include <chervilpaddle/controllers/retryallowance.h>

#include <cstdio>

using namespace chervilpaddle;

int main()
{
    RetryAllowance entry(3);
    const int delegated = entry.delegate();
    RetryAllowance child(delegated);
    std::printf("granted 3, delegated %d, kept %d\n", delegated, entry.remaining());

    // The child retries one of its own calls, then responds and returns the rest.
    child.spend();
    entry.reclaim(child.release(), delegated);
    std::printf("after the child: remaining %d, spent by the child %d\n", entry.remaining(), child.spent());

    // The response of a second child is lost, so that what was delegated to it counts as spent.
    entry.delegate();
    std::printf("after a lost response: remaining %d\n", entry.remaining());
    return entry.remaining() <= 2 ? 0 : 1;
}
