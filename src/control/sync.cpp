#include "cuminpitch/control/sync.hpp"

#include "cuminpitch/core/hash.hpp"

namespace cuminpitch::control {

std::uint64_t endpoints_hash(const std::vector<core::endpoint>& list)
{
    std::uint64_t result = 0;
    for (const auto& it : list) {
        result = core::hash64(it.str(), result);
    }
    return result;
}

} // namespace cuminpitch::control
