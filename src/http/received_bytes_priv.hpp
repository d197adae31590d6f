#pragma once

#include <cstdint>

namespace cuminpitch::http {

/// Response bytes that the attempts of one client hold in memory. Not thread-safe.
struct received_bytes
{
    std::uint64_t held = 0;
    bool any_exceeds_framing_limit = false; ///< Some attempt exceeds the framing limit.
};

} // namespace cuminpitch::http
