#pragma once

#include "cuminpitch/control/server_record.hpp"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::control {

/// Announcements of backend servers whose pool isn't declared yet. They change nothing
/// until it is: an announcement that can't be used must not take the address of a server
/// in use. Kept at the leader only; servers repeat their announcements.
class deferred_announcements
{
public:
    /// Maximum number of servers. Announcements of others are not kept.
    static constexpr std::size_t max_servers = 4096;
    /// Time after which an announcement that isn't repeated is dropped.
    static constexpr absl::Duration lifetime = absl::Seconds(10);

    /// Keeps the newest announcement of the server. Returns whether there was none of it.
    bool hold(absl::Time now, const server_record& it);
    /// Removes the announcement of a server.
    void drop(const core::server_id& id) { held_.erase(id); }
    void clear() { held_.clear(); }

    /// Removes and returns the announcements whose pool is declared now, and drops the
    /// expired ones.
    std::vector<server_record> take_declared(
        absl::Time now, absl::FunctionRef<bool(const core::pool_id&)> is_declared);

private:
    struct held_announcement
    {
        server_record record;
        absl::Time expires_at;
    };

    absl::btree_map<core::server_id, held_announcement> held_;
};

} // namespace cuminpitch::control
