#pragma once

#include <cstdint>

namespace cuminpitch::request {

/// How often servers of a pool weren't chosen for a request, by reason, summed over
/// choices and servers.
struct choice_counts
{
    std::uint64_t choices = 0;
    std::uint64_t without_server = 0; ///< Choices that found no free server.
    std::uint64_t servers = 0;        ///< Servers considered.
    /// Leaving, holding off, without slots or tried before.
    std::uint64_t closed = 0;
    std::uint64_t full = 0;         ///< This entry uses all of its slots.
    std::uint64_t not_compared = 0; ///< Free, but not in the random sample.
    std::uint64_t no_permit = 0;    ///< Its rate limit allows no request now.
    std::uint64_t suspected = 0;    ///< Would have been chosen but for its suspicion.
    std::uint64_t penalized = 0;    ///< The same for its other penalties.
    std::uint64_t busier = 0;       ///< Has a higher load, or lost a tie.
};

} // namespace cuminpitch::request
