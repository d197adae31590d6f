#pragma once

#include "cuminpitch/core/ids.hpp"

#include <cstdint>

namespace cuminpitch::health {

/// Outcome of an attempt as evidence of the backend server's health.
enum class attempt_kind : std::uint8_t
{
    success,
    failure, ///< Connect failure, timeout, reset, short response, 5xx other than
             ///< shedding.
    shed,    ///< The server refused because of load; not evidence.
    none,    ///< Cancelled, or a 4xx that the caller caused; not evidence.
};

/// Counts of finished attempts at one server on one route.
struct evidence
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;

    evidence& operator+=(const evidence& other)
    {
        requests += other.requests;
        failures += other.failures;
        slow += other.slow;
        return *this;
    }
    friend bool operator==(const evidence&, const evidence&) = default;
};

/// Counts for one server and route.
struct evidence_cell
{
    core::server_id server;
    core::route_id route;
    evidence counts;
};

} // namespace cuminpitch::health
