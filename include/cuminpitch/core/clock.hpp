#pragma once

#include <absl/time/time.h>

namespace cuminpitch::core {

/// Returns the time since boot as an absl::Time. It never goes back, and it advances
/// while the process or the machine is suspended, so that leases also expire then.
/// Intervals and deadlines are measured with it: the time of day, absl::Now(), may be
/// set, and is extrapolated for seconds from the processor's counter.
absl::Time monotonic_now();

} // namespace cuminpitch::core
