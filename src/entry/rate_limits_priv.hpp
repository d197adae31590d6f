#pragma once

#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// The rate limits that backend servers have named in responses to this entry.
class rate_limits
{
public:
    explicit rate_limits(telemetry::metrics& metrics) : metrics_(metrics) {}

    /// Records what a response of the server said at `now`.
    void observe(
        absl::Time now,
        const core::pool_id& pool,
        const core::server_id& server,
        const request::rate_statement& said);

    /// Fills in the limits of the servers in `it`, which replace those listed before.
    /// Forgets the limit of a server that was replaced by a later incarnation.
    void apply(absl::Time now, request::pool_update& it);

    /// Removes and returns log lines about limits that were named, changed or ended.
    std::vector<action::write_log> take_log() { return std::exchange(log_, {}); }

private:
    struct record
    {
        core::request_rate limit;
        absl::Time stated;
    };
    using server_key = std::pair<core::pool_id, core::server_id>;

    void log_limit(
        const server_key& server, std::string what, std::vector<telemetry::field> more);

    telemetry::metrics& metrics_;
    /// Incarnations of the listed servers.
    absl::btree_map<server_key, std::uint64_t> listed_;
    absl::btree_map<server_key, record> records_;
    std::vector<action::write_log> log_;
};

} // namespace cuminpitch::entry
