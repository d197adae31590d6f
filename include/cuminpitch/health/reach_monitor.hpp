#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::health {

struct reach_monitor_options
{
    /// The path is lost if no connection was made to this many servers, or to any of a
    /// smaller pool, without a contact in between. Fewer may be down, or out of reach of
    /// this entry, at the same time.
    std::size_t min_servers = 5;
    /// A failure that is not confirmed by others within this time is forgotten.
    absl::Duration failure_memory = absl::Seconds(3);
    /// Number of contacts in a row after which a lost path has recovered, so that a link
    /// that comes and goes isn't used.
    std::size_t contacts_to_recover = 3;
    /// A path that is lost again within this time after it has recovered must work for
    /// longer the next time: for `min_relapse_hold`, doubled with each relapse.
    absl::Duration relapse_window = absl::Seconds(10);
    absl::Duration min_relapse_hold = absl::Seconds(2);
    absl::Duration max_relapse_hold = absl::Seconds(8);
};

/// Detects that this entry's network path to the servers of a pool is lost. A server that
/// is down looks the same to an attempt, but the path to other servers still works then.
/// That a new connection is made proves more than a response on an open one, as a network
/// fault may let open connections live. Connections that break are a reason to probe the
/// path and don't prove a loss, as servers with gray failures break them too.
class reach_monitor
{
public:
    explicit reach_monitor(reach_monitor_options options = {}) : options_(options) {}

    /// Sets the servers of the pool, sorted by id.
    void set_servers(const std::vector<core::server_id>& servers);

    /// A new connection to a server was made by an attempt that began at `began`.
    void count_connected(absl::Time now, absl::Time began);
    /// A server responded, on a connection that may be old.
    void count_answered(absl::Time now);
    /// No connection to the server was made by an attempt that began at `began`.
    void
    count_not_connected(absl::Time now, absl::Time began, const core::server_id& server);
    /// An open connection was reset, or is silent since `began`.
    void count_broken(absl::Time now, absl::Time began, const core::server_id& server);

    /// Forgets old failures.
    void tick(absl::Time now);

    bool is_lost() const { return is_lost_; }
    /// Marks the path as lost because of failures at servers of other pools.
    void mark_lost(absl::Time now);
    /// Servers that have failed without a contact since.
    std::vector<core::server_id> failed_servers() const;
    std::size_t failures() const { return failures_.size(); }
    /// Number of these to which no connection was made.
    std::size_t failures_to_connect() const;
    /// Begin of the earliest of these failures; infinite future if there is none.
    absl::Time first_failure() const;
    /// Begin of the last attempt that made a connection.
    absl::Time last_connected() const { return last_connected_; }

private:
    struct failure
    {
        absl::Time began;
        absl::Time last;
        bool is_connect = false;
    };

    void count_failure(
        absl::Time now, absl::Time began, const core::server_id& server, bool is_connect);

    reach_monitor_options options_;
    std::size_t size_ = 0;
    bool is_lost_ = false;
    std::size_t contacts_ = 0; ///< Since the last failure of a lost path.
    absl::Time last_connected_ = absl::InfinitePast();
    absl::Time last_failed_ = absl::InfinitePast();
    absl::Time recovered_ = absl::InfinitePast();
    /// Time without a failure that a lost path needs to recover.
    absl::Duration hold_;
    absl::btree_map<core::server_id, failure> failures_;
};

} // namespace cuminpitch::health
