#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/health/pool_health.hpp"
#include "cuminpitch/request/events.hpp"

#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Runtime state of a pool that this entry is assigned to: the health of its servers and
/// the view of it that the request dispatcher uses.
class pool_runtime
{
public:
    pool_runtime(
        const node_options& options,
        absl::Time now,
        const config::pool_settings& settings);

    void set_view(absl::Time now, const control::fleet_view& view);

    /// The current state of the pool for the request dispatcher.
    request::pool_update update(absl::Time now, const control::fleet_view& view) const;

    /// The assigned entries that callers should use: those that are live, which means
    /// that their heartbeats arrive, and not draining.
    std::vector<control::entry_record>
    usable_entries(absl::Time now, const control::fleet_view& view) const;

    const config::pool_settings& settings() const { return settings_; }
    health::pool_health& health() { return health_; }
    const health::pool_health& health() const { return health_; }

private:
    const node_options& options_;
    config::pool_settings settings_;
    health::pool_health health_;
};

} // namespace cuminpitch::entry
