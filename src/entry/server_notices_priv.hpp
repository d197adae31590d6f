#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/telemetry/metrics.hpp"
#include "entry/listed_servers_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// Knows which backend servers are leaving, by what they and other entries have said, and
/// which want no requests from this entry for a time.
///
/// That a server is leaving is final for its incarnation. It is sent to a few random
/// entries, and each that learns it does the same. A hold-off concerns this entry only.
///
/// A state machine without I/O. Time is the time since boot, which counts suspensions.
class server_notices
{
public:
    server_notices(
        control::entry_record self,
        core::random_source random,
        telemetry::metrics& metrics);

    /// Sets all entries of the fleet.
    void set_entries(std::vector<control::entry_record> entries);

    /// Records what a response of this incarnation of the server says.
    void observe(
        absl::Time now,
        const core::pool_id& pool,
        const core::server_id& server,
        std::uint64_t incarnation,
        const request::server_notice& said);
    /// The incarnation that is listed for the server.
    std::optional<std::uint64_t>
    listed_incarnation(const core::pool_id& pool, const core::server_id& server) const
    {
        return listed_.incarnation(pool, server);
    }
    void receive(absl::Time now, const control::leaving_news& it);
    /// Sends what is known to an entry that starts.
    void reply_to(const core::endpoint& starting);
    void tick(absl::Time now);

    /// Fills in which of the servers in `it`, which replace those listed before, want no
    /// requests. Forgets what an earlier incarnation has said.
    void apply(request::pool_update& it);
    /// Whether the server may get a request or a probe.
    bool is_open(
        absl::Time now, const core::pool_id& pool, const core::server_id& server) const;

    struct outgoing
    {
        core::endpoint to;
        control::message message;
    };
    std::vector<outgoing> take_messages() { return std::exchange(out_, {}); }
    std::vector<action::write_log> take_log() { return std::exchange(log_, {}); }
    /// Removes and returns the pools for which apply() gives another result than before.
    absl::btree_set<core::pool_id> take_changed_pools()
    {
        return std::exchange(changed_, {});
    }

private:
    using server_key = std::pair<core::pool_id, core::server_id>;

    struct record
    {
        std::uint64_t incarnation = 0;
        bool is_leaving = false;
        absl::Time open_from = absl::InfinitePast();
        absl::Time last_listed;
    };

    record& record_of(absl::Time now, const server_key& key, std::uint64_t incarnation);
    /// Returns true if this was not known.
    bool learn_leaving(absl::Time now, const control::leaving_server& it);
    void spread(const control::leaving_server& it);
    void count_malformed(const core::pool_id& pool, const char* what);
    void send(const core::endpoint& to, control::message it);

    control::entry_record self_;
    core::random_source random_;
    telemetry::metrics& metrics_;
    std::vector<control::entry_record> entries_;
    listed_servers listed_;
    absl::btree_map<server_key, record> records_;
    std::vector<outgoing> out_;
    std::vector<action::write_log> log_;
    absl::btree_set<core::pool_id> changed_;
};

} // namespace cuminpitch::entry
