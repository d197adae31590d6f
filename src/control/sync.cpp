#include "cuminpitch/control/sync.hpp"

#include "cuminpitch/core/hash.hpp"

namespace cuminpitch::control {

std::uint64_t control_hash_of(const std::vector<core::endpoint>& sorted)
{
    std::uint64_t result = 0;
    for (const auto& it : sorted) {
        result = core::hash64(it.str(), result);
    }
    return result;
}

} // namespace cuminpitch::control
