#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::upstream {

enum class availability : std::uint8_t
{
    active = 0,
    leaving = 1, ///< Accepts no new requests. Final for the incarnation.
    gone = 2,    ///< Has stopped. Final for the incarnation.
};

/// The state that a backend server reports about itself.
struct announcement
{
    core::server_id server;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    availability state = availability::active;
    core::endpoint address;
    core::failure_domain_id failure_domain;
    std::uint32_t slots = 1;
    std::uint32_t connections = 0;
    absl::Duration cold_start;

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// An announcement relayed by another entry.
struct relayed_announcement
{
    announcement it;
    /// Upper bound of the time since the server sent the announcement.
    absl::Duration age;
    /// Time since this incarnation was first known to be active.
    absl::Duration active_age;
};

} // namespace cuminpitch::upstream
