#include <chervilpaddle/base/allocator.h>

#include <chervilpaddle/base/units.h>

#include <cstdlib>
#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace chervilpaddle {

void returnLargeBlocksToSystem()
{
#if defined(__GLIBC__)
    // Above the buffers of ordinary requests, which are to come from the heap without a system call.
    constexpr int largeBlockBytes = 256 * kibibyte;
    constexpr int maxFreeBytesAtEnd = 1 * mebibyte;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxFreeBytesAtEnd);
#endif
}

} // namespace chervilpaddle
