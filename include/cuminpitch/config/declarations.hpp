#pragma once

#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/request_rate.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::config {

/// Settings of one pool, from teams/<team>/pools/<pool>/<setting>. The name of the
/// setting is in parentheses.
struct pool_settings
{
    core::pool_id id;
    /// Number of entries that are assigned to the pool (`entries`, 1 to 16).
    std::uint32_t entries = 3;
    /// If true, every entry serves the pool, and control keeps the list of its servers
    /// (`every_entry`). Excludes `entries`.
    bool every_entry = false;
    /// Percentage of the recent maximum capacity that must stay healthy
    /// (`min_healthy_percent`).
    std::uint32_t min_healthy_percent = 70;
    /// If set, the number of servers that must stay healthy, instead of a percentage
    /// (`min_healthy_servers`).
    std::optional<std::uint32_t> min_healthy_servers;
    /// Time after which a leaving server gets no new requests (`departure_ms`, 1500 to
    /// 60000).
    absl::Duration departure = absl::Seconds(3);
    /// Tolerated number of false ejections per server and month
    /// (`false_ejections_per_server_month`).
    double false_ejections_per_server_month = 1.0;
    /// Maximum time that a request may take (`deadline_ms`).
    absl::Duration deadline = absl::Seconds(10);
    /// Maximum number of requests queued at one entry (`queue_limit`).
    std::uint32_t queue_limit = 256;
    /// Retry budget: maximum number of retries per 100 requests (`retry_percent`).
    std::uint32_t retry_percent = 10;
    /// Maximum share of slots and queue that one caller gets under contention
    /// (`caller_share_percent`).
    std::uint32_t caller_share_percent = 50;
    /// Maximum size of a request body and a response body in bytes (`max_request_bytes`,
    /// `max_response_bytes`).
    std::uint64_t max_request_bytes = 8U << 20U;
    std::uint64_t max_response_bytes = 8U << 20U;
    /// Maximum number of connections that a server accepts from all callers together
    /// (`max_connections`); 0 if unknown.
    std::uint32_t max_connections = 0;
    /// Path of the GET requests that probe a server after an ejection (`probe_path`,
    /// starts with '/'). No probes are sent if it is not set.
    std::optional<std::string> probe_path;

    friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

/// One pool and its weight in a route that splits its traffic among several pools.
struct split_part
{
    core::pool_id pool;
    double weight = 0; ///< At least 0; relative to the weights of the other parts.

    friend bool operator==(const split_part&, const split_part&) = default;
};

/// Settings of one route, from teams/<team>/routes/<route>/<setting>.
struct route_settings
{
    core::route_id id;
    std::string host;                 ///< `host`, lower case, without port.
    std::string path_prefix;          ///< `path_prefix`, starts with '/'.
    std::vector<std::string> methods; ///< `methods`, upper case; empty means any.
    core::pool_id pool;               ///< `pool`, a pool of the same team.
    /// `split`, pools of the same team with weights; empty if the route has `pool`
    /// instead.
    std::vector<split_part> split;
    /// `idempotent`; if false, a request is executed at most once.
    bool idempotent = false;
    /// `deadline_ms`; the pool's deadline if not set.
    std::optional<absl::Duration> deadline;
    /// `max_attempts`, the maximum number of servers that one request is sent to;
    /// unlimited if not set.
    std::optional<std::uint32_t> max_attempts;
    /// `target_latency_ms`, the time within which a response has its full value. Less
    /// than `target_latency_excess` above the deadline.
    std::optional<absl::Duration> target_latency;
    /// `priority`; 0 is the highest and is served first under overload.
    std::uint32_t priority = 0;
    /// `public`; served without a key where the team requires keys.
    bool is_public = false;
    /// `large_responses`; responses are large, so the bytes held for them are limited.
    bool has_large_responses = false;

    friend bool operator==(const route_settings&, const route_settings&) = default;
};

/// Settings of one customer, from teams/<team>/customers/<customer>/<setting>.
struct customer_settings
{
    core::customer_id id;
    /// `name`, which servers get; the name of the id by default.
    std::string name;
    /// `keys` that identify the customer. Never logged.
    std::vector<std::string> keys;
    /// `priority`, used instead of the route's if set.
    std::optional<std::uint32_t> priority;
    /// `rate_per_s` and `burst`: requests that all entries together serve. No limit if
    /// not set.
    std::optional<core::request_rate> rate;
    double burst = 0;

    friend bool operator==(const customer_settings&, const customer_settings&) = default;
};

/// A target latency that exceeds the deadline by this much is refused as a mistake.
constexpr absl::Duration target_latency_excess = absl::Minutes(1);

/// Limits on the sizes and times of callers' requests, from
/// teams/<team>/limits/callers/<setting>.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16U << 10U; ///< `max_header_bytes`.
    std::uint64_t max_body_bytes = 64U << 20U;   ///< `max_body_bytes`.
    /// Time limit for receiving the headers of a request (`header_timeout_ms`).
    absl::Duration header_timeout = absl::Seconds(10);
    /// Time after which an idle keep-alive connection is closed (`idle_timeout_ms`).
    absl::Duration idle_timeout = absl::Seconds(60);
    /// Requests need the key of a customer, unless their route is public
    /// (`requires_key`).
    bool requires_key = false;

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// All valid declarations of one revision.
struct declarations
{
    absl::btree_map<core::pool_id, pool_settings> pools;
    absl::btree_map<core::route_id, route_settings> routes;
    absl::btree_map<core::team_id, caller_limits> limits;
    absl::btree_map<core::customer_id, customer_settings> customers;

    friend bool operator==(const declarations&, const declarations&) = default;
};

} // namespace cuminpitch::config
