#include "cuminpitch/core/clock.hpp"

#include <ctime>

namespace cuminpitch::core {

absl::Time monotonic_now()
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return absl::TimeFromTimespec(it);
}

} // namespace cuminpitch::core
