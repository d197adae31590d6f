#pragma once

#include <cstdint>

namespace cuminpitch::daemon {

/// Returns the wall-clock time in microseconds, used as the incarnation of a process.
std::uint64_t wall_clock_us();

} // namespace cuminpitch::daemon
