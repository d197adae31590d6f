#include "daemon/body_limits_priv.hpp"

namespace cuminpitch::daemon {
namespace {

// Divisors of the process memory. Buffered requests take up to three times and responses
// up to twice their size, which leaves a fifth of the memory for the process itself: an
// entry uses 10 to 20 MB of the 160 MB that the users give it.
constexpr std::uint64_t request_divisor = 5;
constexpr std::uint64_t response_divisor = 10;

} // namespace

body_limits body_limits_for(std::uint32_t memory_mb)
{
    if (memory_mb == 0) {
        return {};
    }
    const std::uint64_t memory = std::uint64_t{memory_mb} << 20U;
    return {memory / request_divisor, memory / response_divisor};
}

} // namespace cuminpitch::daemon
