#include "daemon/clock_priv.hpp"

#include <absl/time/clock.h>

namespace cuminpitch::daemon {

std::uint64_t wall_clock_us()
{
    return static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
}

} // namespace cuminpitch::daemon
