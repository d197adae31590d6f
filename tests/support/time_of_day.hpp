#pragma once

#include <absl/time/time.h>

namespace cuminpitch::testing {

/// Moves the time of day of this process, as clock_gettime() and absl::Now() give it. The
/// kernel's clock stays, so a wait for a time of day sees the clock set back by the
/// offset. Returns once absl::Now() follows, which takes it up to some seconds.
void move_time_of_day(absl::Duration offset);

} // namespace cuminpitch::testing
