#pragma once

#include <cstdint>

namespace cuminpitch::http {

/// What the attempts of one client have received and still hold. Used by one thread.
struct received_bytes
{
    std::uint64_t held = 0;
    bool has_overrun = false; ///< Some attempt is overrun.
};

} // namespace cuminpitch::http
