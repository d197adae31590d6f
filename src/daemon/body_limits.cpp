#include "daemon/body_limits_priv.hpp"

namespace cuminpitch::daemon {
namespace {

// Divisors of the process memory. A request whose length is announced is held once; a
// chunked one and a response may take up to three times and twice their size while they
// grow. That leaves a fifth of the memory for the process itself.
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
