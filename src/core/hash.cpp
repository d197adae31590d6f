#include "cuminpitch/core/hash.hpp"

#include <memory>
#include <xxhash.h>

namespace cuminpitch::core {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash64(std::initializer_list<std::string_view> parts, std::uint64_t seed)
{
    const std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> state(
        XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), seed);
    for (const auto it : parts) {
        XXH64_update(state.get(), it.data(), it.size());
    }
    return XXH64_digest(state.get());
}

} // namespace cuminpitch::core
