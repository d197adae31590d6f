#pragma once

#include "cuminpitch/core/random.hpp"
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
    /// Requests that the entry holds at once, queued or sent.
    std::size_t in_flight_limit = 4096;
    /// Part of in_flight_limit that one team may hold if the entry serves several, so
    /// that slow requests of one team leave room for the others.
    std::uint32_t team_share_percent = 60;
    /// The bounds of queues, callers' shares and expected waits can be left out for
    /// comparison in benchmarks.
    bool has_admission_control = true;
    request::dialect dialect;
    /// Emits an `explain` for each decision.
    bool explains = false;
};

/// Requests of one pool at this entry.
struct pool_load
{
    std::size_t queued = 0;
    std::size_t in_flight = 0;
};

/// Carries the requests of one entry: decides which request goes where and when, and what
/// its caller is told. State machine; not thread-safe; time is an argument and never goes
/// back. Actions are to be carried out in their order.
///
/// Each request gets exactly one of `respond` and `refuse`, unless its caller is gone. A
/// request of a route that isn't idempotent is sent again only if it wasn't run.
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

    /// Until this is called, requests are refused for lack of a revision.
    void set_routes(std::shared_ptr<const route_table> it);
    void set_entry(const entry_state& it);

    std::vector<action> update_pool(absl::Time now, pool_update it);
    /// The pool is no longer declared; its queued requests are refused.
    std::vector<action> remove_pool(absl::Time now, const core::pool_id& pool);

    /// `tick` is due every 20 ms or so. A result of an unknown attempt is dropped, as is
    /// a request whose id is already in use.
    std::vector<action> handle(absl::Time now, event it);

    /// Requests without `respond` or `refuse` yet.
    std::size_t in_flight() const;
    pool_load load(const core::pool_id& pool) const;
    /// Whether a request of the pool could be sent to a server now or once one is free.
    bool has_servers(const core::pool_id& pool) const;
    /// Servers of the pool with requests of this entry in flight, and how many.
    std::vector<std::pair<core::server_id, std::uint32_t>>
    occupied(const core::pool_id& pool) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::request
