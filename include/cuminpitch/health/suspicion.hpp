#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::health {

struct suspicion_options
{
    /// Half-life of a suspicion. A server with a gray failure fails some of its requests
    /// for seconds, recovers and fails again, so a suspicion lasts longer than that.
    absl::Duration half_life = absl::Seconds(5);
    /// Factor that a success applies to the level.
    double success_factor = 0.6;
    /// Amount by which a failure soon after others raises the level; a first one adds 1.
    double repeated_failure = 2;
    /// Upper limit of the level, so that a server that recovered is tried again after a
    /// few half-lives.
    double max_level = 4;
    /// Amount by which load shedding raises a lower level: the server is full, and other
    /// entries use it too.
    double shed = 0.25;
};

/// Suspicion levels of the servers of one pool, from recent failures at this entry and at
/// others. Unlike an ejection, a suspicion removes no server from the pool: a suspected
/// server only compares as busier than it is, so the pool keeps its capacity and a false
/// suspicion costs little. It therefore takes effect on the first failure.
class suspicion
{
public:
    explicit suspicion(suspicion_options options = {}) : options_(options) {}

    void count_failure(absl::Time now, const core::server_id& server);
    void count_success(const core::server_id& server);
    /// Removes the record of the server.
    void clear(const core::server_id& server) { records_.erase(server); }
    void count_shed(absl::Time now, const core::server_id& server);

    /// 0 for a server without recent failures; 1 right after a first failure.
    double level(absl::Time now, const core::server_id& server) const;

    /// When the level of the server was last raised; infinite past if it has none.
    absl::Time last_raised(const core::server_id& server) const;

    /// Whether the level of any server is above 0.
    bool any_suspected(absl::Time now) const;

    /// Removes the records of servers whose level has decayed to 0.
    void remove_decayed(absl::Time now);

private:
    struct record
    {
        double level = 0;
        absl::Time updated;
    };

    double decayed_level(absl::Time now, const record& it) const;
    void raise(absl::Time now, const core::server_id& server, double amount);

    suspicion_options options_;
    absl::btree_map<core::server_id, record> records_;
};

} // namespace cuminpitch::health
