#pragma once

#include <cstdint>
#include <string_view>

namespace cuminpitch::core {

/// Returns the XXH64 hash, which is the same on every instance and in every release.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

} // namespace cuminpitch::core
