#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/telemetry/metrics.hpp"
#include "entry/held_permits_priv.hpp"
#include "entry/listed_servers_priv.hpp"
#include "entry/permit_ledger_priv.hpp"
#include "entry/permit_owners_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// Keeps the rate limits that backend servers name for all entries together.
///
/// For each server, one entry of its pool is the owner of its limit (permit_owners()). It
/// grants permits at the rate of the limit (permit_ledger). An entry that has a request
/// for the server requests permits from the owner and sends the request to another server
/// meanwhile. An owner that doesn't respond is replaced by the next one, which grants a
/// part of the rate, as the first one may still grant for others. An entry that gets no
/// response from any uses its share of the rate. rate_limits.cpp has the part of an entry
/// that wants permits, rate_limits_owner.cpp that of an owner.
///
/// A state machine without I/O. Time is the time since boot, which counts suspensions.
class rate_limits
{
public:
    rate_limits(
        control::entry_record self,
        core::random_source random,
        telemetry::metrics& metrics);

    /// Sets all entries of the fleet.
    void set_entries(std::vector<control::entry_record> entries);
    /// Sets the entries that serve a pool: all of them if `it` is empty.
    void set_assigned(const core::pool_id& pool, std::vector<control::entry_record> it);

    /// Records what the response to a request that was sent at `sent` says.
    void observe(
        absl::Time now,
        const core::pool_id& pool,
        const core::server_id& server,
        absl::Time sent,
        const request::rate_statement& said);
    /// Counts an attempt or a probe that is sent to the server.
    void
    count_sent(absl::Time now, const core::pool_id& pool, const core::server_id& server);
    /// Records that `count` requests would be sent to the server if there were permits.
    void want(
        absl::Time now,
        const core::pool_id& pool,
        const core::server_id& server,
        std::uint32_t count);

    void
    receive(absl::Time now, const net::peer& from, const control::permit_request& it);
    void
    receive(absl::Time now, const net::peer& from, const control::permit_response& it);
    void receive(absl::Time now, const net::peer& from, const control::rate_news& it);

    /// Expected every 20 ms, or 100 ms while is_idle().
    void tick(absl::Time now);
    /// True if this entry grants no permits.
    bool is_idle() const { return ledgers_.empty(); }

    /// Fills in the limits of the servers in `it`, which replace those listed before.
    /// Forgets the limit of a server that was replaced by a later incarnation.
    void apply(absl::Time now, request::pool_update& it);

    struct outgoing
    {
        core::endpoint to;
        control::message message;
    };
    std::vector<outgoing> take_messages() { return std::exchange(out_, {}); }
    /// Removes and returns log lines about limits that were named, changed or ended.
    std::vector<action::write_log> take_log() { return std::exchange(log_, {}); }
    /// Pools for which apply() gives another result than before.
    absl::btree_set<core::pool_id> take_changed_pools()
    {
        return std::exchange(changed_, {});
    }

private:
    using server_key = std::pair<core::pool_id, core::server_id>;

    /// The limit of a server and the permits of this entry.
    struct record
    {
        std::uint64_t incarnation = 0;
        core::request_rate limit;
        control::rate_phase phase = control::rate_phase::in_force;
        /// Time of the response that named the limit, or of the first one that didn't.
        absl::Time stated;

        held_permits permits;
        /// Attempts that were sent without a permit.
        std::uint32_t debt = 0;
        std::uint32_t wanted = 0;
        absl::Time last_want = absl::InfinitePast();
        absl::Time requested = absl::InfinitePast();
        bool awaits_response = false;
        absl::Time next_request = absl::InfinitePast();
        absl::Time next_permit = absl::InfinitePast(); ///< Expected.
        std::uint32_t requesters = 1;

        std::size_t owner = 0; ///< Position in permit_owners().
        /// No owner responds: this entry uses its own share of the rate.
        bool is_alone = false;
        double own_permits = 0;
        absl::Time own_updated = absl::InfinitePast();

        bool is_limited() const { return phase != control::rate_phase::ended; }
    };
    struct ledger
    {
        permit_ledger permits;
        std::uint64_t incarnation = 0;
        std::size_t position = 0;
        absl::Time next_check = absl::InfinitePast();
        absl::Time used; ///< Time of the newest request.
    };

    void update_listed(const request::pool_update& it);
    const std::vector<control::entry_record>& members(const core::pool_id& pool) const;
    std::vector<control::entry_record> owners(const server_key& server) const;
    /// Merges the state into the records. True if that limited the server or ended its
    /// limit.
    bool learn(absl::Time now, const control::rate_state& state);
    control::rate_state
    state_of(absl::Time now, const server_key& server, const record& it) const;
    /// The rate of all entries together at `now`.
    core::request_rate allowed_rate(absl::Time now, const record& it) const;
    core::request_rate
    own_share(absl::Time now, const server_key& key, const record& it) const;
    void refill_own(absl::Time now, const server_key& server, record& it);
    void end(absl::Time now, const server_key& server, record& it);
    void spread(const control::rate_state& state);
    void request_permits(absl::Time now, const server_key& server);
    void try_next_owner(absl::Time now, const server_key& server, record& it);
    void send(const core::endpoint& to, control::message it);
    /// Handles a request to this entry. `from` may be this entry.
    void
    grant(absl::Time now, const core::endpoint& from, const control::permit_request& it);
    /// Whether an owner that precedes this entry responds.
    bool owner_before_responds(absl::Time now, const server_key& server, ledger& it);
    void update_rate(absl::Time now, const record& known, ledger& it);
    /// Returns the entries that got a grant.
    absl::btree_set<core::endpoint>
    send_grants(absl::Time now, const server_key& server, ledger& it);
    void
    respond(absl::Time now, const core::endpoint& to, const control::permit_response& it);
    void accept(absl::Time now, const control::permit_response& it);
    void tick_record(absl::Time now, const server_key& server);
    void tick_ledgers(absl::Time now);
    void log_limit(
        const server_key& server, std::string what, std::vector<telemetry::field> more);

    control::entry_record self_;
    core::random_source random_;
    telemetry::metrics& metrics_;
    std::vector<control::entry_record> entries_;
    absl::btree_map<core::pool_id, std::vector<control::entry_record>> assigned_;
    bool has_asked_for_news_ = false;
    listed_servers listed_;
    absl::btree_map<server_key, record> records_;
    absl::btree_map<server_key, ledger> ledgers_;
    /// Time of the last permit message from another entry.
    absl::btree_map<core::endpoint, absl::Time> heard_;
    absl::btree_map<core::pool_id, std::size_t> limited_; ///< Servers, as published.
    std::vector<outgoing> out_;
    absl::btree_set<core::pool_id> changed_;
    std::vector<action::write_log> log_;
};

} // namespace cuminpitch::entry
