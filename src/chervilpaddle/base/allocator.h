#pragma once

namespace chervilpaddle {

//! Makes the allocator return large blocks to the system as soon as they are freed. glibc otherwise raises its threshold to the size
//! of the blocks that are freed, and serves the next ones from the heap: there, a freed block stays resident while anything behind it
//! is in use. Must be called before other threads are started. Has no effect with other C libraries.
void returnLargeBlocksToSystem();

} // namespace chervilpaddle
