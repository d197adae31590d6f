#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::daemon {

/// Returns the time since boot as an absl::Time. It never goes back, and it advances
/// while the process or the machine is suspended, so that leases also expire then.
absl::Time monotonic_now();

/// Returns the wall-clock time in microseconds, used as the incarnation of a process.
std::uint64_t wall_clock_us();

} // namespace cuminpitch::daemon
