#pragma once

#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/health/reach_monitor.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// Knows to which backend servers this entry has lost its network path, and finds other
/// entries to which it can forward their requests meanwhile.
///
/// That several servers fail in succession may also mean that they are down. What tells
/// the two apart is whether another entry reaches servers of the pool: an entry whose
/// attempts fail asks a few others, and forwards requests only to those that do. One that
/// hasn't made a connection lately probes one of the servers that failed. A majority of
/// the entries may have lost their paths, so their number doesn't count. A lost path is
/// probed until it has recovered.
///
/// A state machine without I/O. Only an entry with failing attempts sends messages, to a
/// number of entries that doesn't grow with the fleet.
class server_reach
{
public:
    server_reach(
        control::entry_record self,
        core::random_source random,
        telemetry::metrics& metrics);

    /// Sets all entries of the fleet.
    void set_entries(std::vector<control::entry_record> entries);
    void set_servers(const core::pool_id& pool, std::vector<core::server_id> servers);
    void remove_pool(const core::pool_id& pool);
    /// Sets the number of requests that this entry holds, and whether it accepts
    /// forwarded requests.
    void set_load(std::size_t in_flight, bool accepts_requests);

    void observe(absl::Time now, const request::observation& it);
    /// Records the result of a probe that began at `began`.
    void observe_probe(
        absl::Time now,
        absl::Time began,
        const core::pool_id& pool,
        const core::server_id& server,
        bool has_answered);
    void receive(absl::Time now, const net::peer& from, const control::reach_query& it);
    void receive(absl::Time now, const net::peer& from, const control::reach_report& it);
    /// Expected every 20 ms, or 100 ms if no path has failed.
    void tick(absl::Time now);

    bool is_lost(const core::pool_id& pool) const;
    bool any_lost() const;
    /// True if no path has failed lately.
    bool is_idle() const;
    /// Sets whether the path to the pool is lost, and the entries that reach it.
    void apply(request::pool_update& it) const;

    struct outgoing
    {
        core::endpoint to;
        control::message message;
    };
    struct probe
    {
        core::pool_id pool;
        core::server_id server;
    };
    std::vector<outgoing> take_messages() { return std::exchange(out_, {}); }
    std::vector<probe> take_probes() { return std::exchange(probes_, {}); }
    std::vector<action::write_log> take_log() { return std::exchange(log_, {}); }
    /// Removes and returns the pools whose path was lost or has recovered, or whose
    /// requests are to be forwarded to other entries than before.
    absl::btree_set<core::pool_id> take_changed_pools()
    {
        return std::exchange(changed_, {});
    }

private:
    /// An entry that reaches servers of the pool.
    struct target
    {
        absl::Time heard;
        std::uint32_t in_flight = 0;
    };
    struct pending_query
    {
        core::endpoint from;
        absl::Time expires;
    };
    struct pool_reach
    {
        health::reach_monitor monitor;
        std::vector<core::server_id> servers;
        bool was_lost = false;
        absl::btree_map<core::instance_id, target> targets;
        /// Entries that others have named, to be asked next.
        absl::btree_set<core::instance_id> candidates;
        std::vector<pending_query> queries;
        absl::btree_map<core::server_id, absl::Time> probed;
        absl::Time next_probe = absl::InfinitePast();
        absl::Time next_search = absl::InfinitePast();

        /// Whether the path may be lost, so that other entries are asked.
        bool is_suspect() const;
    };

    void detect_loss_of_all(absl::Time now);
    void report_changes(const core::pool_id& id, pool_reach& pool);
    void answer_queries(absl::Time now, const core::pool_id& id, pool_reach& pool);
    void search(absl::Time now, const core::pool_id& id, pool_reach& pool);
    void probe_servers(absl::Time now, const core::pool_id& id, pool_reach& pool);
    void start_probe(
        absl::Time now,
        const core::pool_id& id,
        pool_reach& pool,
        const core::server_id& server);
    void send_report(
        const core::endpoint& to,
        const core::pool_id& id,
        const pool_reach& pool,
        bool reaches);
    void add_random_entries(
        absl::btree_set<core::instance_id>& to, std::size_t n, bool in_own_domain);
    pool_reach* find(const core::pool_id& pool);

    control::entry_record self_;
    core::random_source random_;
    telemetry::metrics& metrics_;
    absl::btree_map<core::instance_id, control::entry_record> entries_;
    std::vector<core::instance_id> domain_entries_;
    std::vector<core::instance_id> other_entries_;
    absl::btree_map<core::pool_id, pool_reach> pools_;
    std::size_t in_flight_ = 0;
    bool accepts_requests_ = false;
    std::vector<outgoing> out_;
    std::vector<probe> probes_;
    std::vector<action::write_log> log_;
    absl::btree_set<core::pool_id> changed_;
};

} // namespace cuminpitch::entry
