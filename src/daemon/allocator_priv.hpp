#pragma once

namespace cuminpitch::daemon {

/// Makes the allocator return large blocks to the system as soon as they are freed. By
/// default it raises its limit to the size of the largest block freed, and keeps those
/// below it: memory that each thread has used once for a large body then counts for good.
void return_large_blocks();

} // namespace cuminpitch::daemon
