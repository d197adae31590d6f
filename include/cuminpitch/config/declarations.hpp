#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::config {

/// What a team declared for one pool: teams/<team>/pools/<pool>/<setting>.
struct pool_settings
{
    core::pool_id id;
    /// Assigned entries (`entries`, 1 to 16).
    std::uint32_t entries = 3;
    /// Every entry serves the pool, and control keeps the list of its servers
    /// (`every_entry`). Excludes `entries`.
    bool every_entry = false;
    /// Part of the recent highest capacity that must stay healthy
    /// (`min_healthy_percent`).
    std::uint32_t min_healthy_percent = 70;
    /// If set, this many servers must stay healthy instead (`min_healthy_servers`).
    std::optional<std::uint32_t> min_healthy_servers;
    /// A leaving server gets no new work after this time (`departure_ms`, 1500 to 60000).
    absl::Duration departure = absl::Seconds(3);
    /// Tolerated false ejections per server and month
    /// (`false_ejections_per_server_month`).
    double false_ejections_per_server_month = 1.0;
    /// Longest time a request may take (`deadline_ms`).
    absl::Duration deadline = absl::Seconds(10);
    /// Requests that wait at one entry at most (`queue_limit`).
    std::uint32_t queue_limit = 256;
    /// Retries per 100 requests at most (`retry_percent`).
    std::uint32_t retry_percent = 10;
    /// One caller's part of slots and queue under contention (`caller_share_percent`).
    std::uint32_t caller_share_percent = 50;
    /// Longest request and response body in bytes (`max_request_bytes`,
    /// `max_response_bytes`).
    std::uint64_t max_request_bytes = 8U << 20U;
    std::uint64_t max_response_bytes = 8U << 20U;
    /// Connections that a server accepts from all callers (`max_connections`); 0 if
    /// unknown.
    std::uint32_t max_connections = 0;
    /// Path of a GET that probes a server after an ejection (`probe_path`, starts with
    /// '/'); no probes if not set.
    std::optional<std::string> probe_path;

    friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

/// One part of a route whose requests are divided among pools.
struct split_part
{
    core::pool_id pool;
    double weight = 0; ///< At least 0; relative to the other parts.

    friend bool operator==(const split_part&, const split_part&) = default;
};

/// teams/<team>/routes/<route>/<setting>.
struct route_settings
{
    core::route_id id;
    std::string host;                 ///< `host`, lower case, without port.
    std::string path_prefix;          ///< `path_prefix`, starts with '/'.
    std::vector<std::string> methods; ///< `methods`, upper case; empty means any.
    core::pool_id pool;               ///< `pool`, a pool of the same team.
    /// `split`: pools of the same team with weights, instead of `pool`. Not empty then.
    std::vector<split_part> split;
    /// `idempotent`: false means that a request runs at most once.
    bool idempotent = false;
    /// `deadline_ms`; the pool's deadline if not set.
    std::optional<absl::Duration> deadline;
    /// Servers that one request may be sent to at most (`max_attempts`); no bound if not
    /// set.
    std::optional<std::uint32_t> max_attempts;
    /// Time within which a response has its full value (`target_latency_ms`). At most
    /// `target_latency_excess` above the deadline.
    std::optional<absl::Duration> target_latency;
    /// `priority`: 0 is served first when not all can be.
    std::uint32_t priority = 0;

    friend bool operator==(const route_settings&, const route_settings&) = default;
};

/// A target latency this far above the deadline can only be a mistake.
constexpr absl::Duration target_latency_excess = absl::Minutes(1);

/// What callers may send, and how long they may take: teams/<team>/limits/callers/<..>.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16U << 10U; ///< `max_header_bytes`.
    std::uint64_t max_body_bytes = 64U << 20U;   ///< `max_body_bytes`.
    /// Time to send the headers of a request (`header_timeout_ms`).
    absl::Duration header_timeout = absl::Seconds(10);
    /// Idle time of a kept connection (`idle_timeout_ms`).
    absl::Duration idle_timeout = absl::Seconds(60);

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// All valid declarations of one revision.
struct declarations
{
    absl::btree_map<core::pool_id, pool_settings> pools;
    absl::btree_map<core::route_id, route_settings> routes;
    absl::btree_map<core::team_id, caller_limits> limits;

    friend bool operator==(const declarations&, const declarations&) = default;
};

} // namespace cuminpitch::config
