#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace cuminpitch::core {

/// Returns the XXH64 hash, which is the same on every instance and in every release.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the same hash for bytes that are in several parts.
std::uint64_t
hash64(std::initializer_list<std::string_view> parts, std::uint64_t seed = 0);

} // namespace cuminpitch::core
