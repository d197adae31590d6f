#pragma once

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/request/choice_counts.hpp"
#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/request/route_table.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace cuminpitch::request {

struct dispatcher_options
{
    /// Maximum number of requests that the entry holds at once, queued or sent.
    std::size_t in_flight_limit = 4096;
    /// Percentage of in_flight_limit that one team may hold if the entry serves several
    /// teams, so that slow requests of one team leave capacity for the others.
    std::uint32_t team_share_percent = 60;
    /// Enforces the limits on queue length, caller shares and expected wait. Benchmarks
    /// turn it off for comparison.
    bool has_admission_control = true;
    /// Orders and refuses requests by priority instead of by arrival, and refuses queued
    /// requests as soon as they can't finish in time. Needs `has_admission_control`.
    bool is_ranked = false;
    request::dialect dialect;
    /// Emits an `explain` action for each decision.
    bool explains = false;
};

/// Number of requests of one pool at this entry.
struct pool_load
{
    std::size_t queued = 0;
    std::size_t in_flight = 0;
};

/// Dispatches the requests of one entry: decides when and to which server or entry each
/// request is sent, and which response its caller gets. A state machine without I/O; not
/// thread-safe. Time is an argument and must not decrease. The caller must carry out the
/// returned actions in their order.
///
/// Each request gets exactly one `respond` or `refuse`, unless its caller has
/// disconnected. A request of a route that isn't idempotent is sent again only if it
/// wasn't run.
class dispatcher
{
public:
    dispatcher(
        dispatcher_options options,
        core::random_source random,
        telemetry::metrics& counters);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Until this is called, requests are refused with `no_revision`.
    void set_routes(std::shared_ptr<const route_table> it);
    void set_entry(const entry_state& it);

    std::vector<action> update_pool(absl::Time now, pool_update it);
    /// Removes a pool that is no longer declared. Its waiting requests go where the
    /// routes lead now, or are refused with `no_route`; those already sent are finished.
    /// Requires that set_routes() and update_pool() have been called for the new
    /// declarations.
    std::vector<action> remove_pool(absl::Time now, const core::pool_id& pool);

    /// Expects a `tick` about every 20 ms. Drops the result of an unknown attempt, and a
    /// request whose id is already in use.
    std::vector<action> handle(absl::Time now, event it);

    /// Number of requests without `respond` or `refuse` yet.
    std::size_t in_flight() const;
    pool_load load(const core::pool_id& pool) const;
    /// Returns why servers of the pool weren't chosen since the last call.
    choice_counts take_choice_counts(const core::pool_id& pool);
    /// Whether the pool has a server that a request could be sent to, now or once a slot
    /// is free.
    bool has_servers(const core::pool_id& pool) const;
    /// Servers of the pool with requests of this entry in flight, and the number of
    /// those.
    std::vector<std::pair<core::server_id, std::uint32_t>>
    in_flight_by_server(const core::pool_id& pool) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::request
