#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/health/capacity_window.hpp"
#include "cuminpitch/health/detector.hpp"
#include "cuminpitch/health/pool_lease.hpp"
#include "cuminpitch/upstream/registry.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::health {

struct coordinator_options
{
    absl::Duration lease = absl::Seconds(2); ///< Length of the coordinator's lease.
    /// How long an ejected server gets no requests before its probation. Doubles with
    /// each failed probation and each ejection soon after a readmission, up to
    /// `max_hold`.
    absl::Duration initial_hold = absl::Seconds(10);
    absl::Duration max_hold = absl::Minutes(5);
    /// Time over which the usable slots of a readmitted server rise from none to all.
    absl::Duration slow_start = absl::Seconds(10);
    /// Successful trial requests after which a server in probation is readmitted.
    std::uint32_t probation_successes = 5;
    /// Whether probation starts only after a successful probe.
    bool probes = false;
    /// Maximum number of probes per second for the whole pool.
    double probe_rate = 1;
    /// For tests only: this entry ejects servers on its own, without a lease.
    bool local_ejection = false;
};

namespace event {

/// This entry's current view of the pool, given at regular intervals.
struct tick
{
    /// Peers with recent two-way contact.
    absl::btree_set<core::instance_id> reachable;
    /// Those of them, and this entry, that may be the coordinator (not draining).
    absl::btree_set<core::instance_id> candidates;
    std::vector<upstream::eligible_server> servers;
    std::vector<finding> findings;
    capacity highest; ///< Highest capacity within the capacity window.
};

struct list_changed
{
    control::pool_assignment list;
};

/// A heartbeat of a peer, for its lease and ejection fields. `echo`: the reading of this
/// entry's clock that it echoes, if this process sent it.
struct heartbeat_received
{
    core::instance_id from;
    std::optional<absl::Time> echo;
    const pool_heartbeat* message;
};

/// Counts of attempts that finished at a server, from any entry.
struct evidence_received
{
    core::server_id server;
    evidence counts;
};

struct probe_finished
{
    core::server_id server;
    bool success = false;
};

} // namespace event

using coordinator_event = std::variant<
    event::tick,
    event::list_changed,
    event::heartbeat_received,
    event::evidence_received,
    event::probe_finished>;

namespace action {

enum class change : std::uint8_t
{
    lease_acquired,
    lease_lost,
    ejected,
    not_ejected_no_room, ///< Unhealthy, but capacity would fall below the minimum.
    probation_started,
    probation_failed,
    readmitted,
    readmitted_for_capacity,
};

/// A change to be logged and counted.
struct report
{
    change what;
    core::server_id server; ///< Empty for the lease.
    double severity = 0;
};

struct start_probe
{
    core::server_id server;
    core::endpoint address;
};

/// The detector's evidence on the server is to be discarded.
struct reset_evidence
{
    core::server_id server;
};

/// Heartbeats are to be sent at once, because the ejection set changed.
struct send_now
{
};

} // namespace action

using coordinator_action = std::variant<
    action::report,
    action::start_probe,
    action::reset_evidence,
    action::send_now>;

const char* to_string(action::change it);

/// Decides which servers of a pool are ejected while this entry holds the pool's lease,
/// and otherwise applies the ejection set of the entry that holds it.
class pool_coordinator
{
public:
    pool_coordinator(
        core::instance_id self,
        std::uint64_t incarnation,
        absl::Time created,
        const config::pool_settings& settings,
        const coordinator_options& options,
        std::uint64_t seed);

    void set_settings(const config::pool_settings& it) { settings_ = it; }
    /// See pool_lease::set_list_confirmed.
    void set_list_confirmed(bool it) { lease_.set_list_confirmed(it); }

    std::vector<coordinator_action> handle(absl::Time now, const coordinator_event& it);

    /// Fills in the lease and ejection fields of a heartbeat to `peer`.
    void fill(absl::Time now, const core::instance_id& peer, pool_heartbeat& it);

    struct decision
    {
        absl::btree_set<core::server_id> ejected; ///< Including those in probation.
        absl::btree_set<core::server_id> probation;
        absl::btree_map<core::server_id, double> slow_start; ///< Fraction of the slots.
        /// Unhealthy servers that aren't ejected for lack of capacity, and the servers of
        /// an expired set.
        absl::btree_set<core::server_id> suspected;
    };

    /// The decision that this entry applies now. Expired leases and sets have no effect,
    /// and the least severe ejections are left out if the capacity of `servers` would
    /// otherwise be below the minimum.
    decision current(
        absl::Time now,
        const std::vector<upstream::eligible_server>& servers,
        const capacity& highest) const;

    bool is_coordinator(absl::Time now) const;
    /// The entry whose decisions this one applies, possibly itself, if there is one.
    std::optional<core::instance_id> coordinator(absl::Time now) const;

private:
    struct ejection
    {
        double severity = 0;
        absl::Time since;
        absl::Duration hold;
        absl::Time hold_until;
        std::uint64_t incarnation = 0; ///< Incarnation of the server.
        bool in_probation = false;
        bool probe_satisfied = false; ///< No further probe is needed before probation.
        std::uint64_t successes = 0;  ///< Trial requests that succeeded and weren't slow.
        std::uint64_t slow = 0;       ///< Slow trial requests.
    };
    struct past_ejection
    {
        absl::Duration hold;
        absl::Time readmitted;
    };
    /// The newest ejection set of the coordinator that this entry follows, or this
    /// entry's own one after it lost the lease.
    struct followed_set
    {
        core::instance_id from;
        std::uint64_t incarnation = 0; ///< Incarnation of the sender.
        absl::Time clock;              ///< Sender's clock when it sent the set.
        absl::Time expiry;
        absl::Time received;
        ejection_set set;
    };
    using actions = std::vector<coordinator_action>;
    using server_map = absl::btree_map<core::server_id, const upstream::eligible_server*>;

    void on(absl::Time now, const event::tick& it, actions& out);
    void on(absl::Time now, const event::list_changed& it, actions& out);
    void on(absl::Time now, const event::heartbeat_received& it, actions& out);
    void on(absl::Time now, const event::evidence_received& it, actions& out);
    void on(absl::Time now, const event::probe_finished& it, actions& out);

    void drop_expired(absl::Time now, actions& out);
    void remove_absent(absl::Time now, const server_map& servers);
    void take_over(absl::Time now, const server_map& servers, actions& out);
    void follow(absl::Time now, const event::heartbeat_received& it);
    void restore_minimum(absl::Time now, const event::tick& it, actions& out);
    void update_ejections(absl::Time now, const server_map& servers, actions& out);
    void eject_unhealthy(absl::Time now, const event::tick& it, actions& out);
    void probe(absl::Time now, const server_map& servers, actions& out);
    void extend_hold(absl::Time now, ejection& it);
    void readmit(
        absl::Time now, const core::server_id& server, action::change why, actions& out);
    absl::Duration next_hold(absl::Time now, const core::server_id& server) const;
    double slow_start_fraction(absl::Time now, const core::server_id& server) const;
    std::vector<core::server_id> ejected_by_severity() const;

    /// Capacity of the servers for which `excluded(id)` is false.
    template <class Excluded>
    capacity capacity_without(
        absl::Time now,
        const std::vector<upstream::eligible_server>& servers,
        const Excluded& excluded) const;
    bool meets_minimum(const capacity& it, const capacity& highest) const;

    core::instance_id self_;
    config::pool_settings settings_;
    coordinator_options options_;
    core::random_source random_;
    control::pool_assignment list_;
    pool_lease lease_;
    bool was_coordinator_ = false;
    absl::btree_map<core::server_id, ejection> ejected_;
    /// Servers that are no longer ejected, with the time until which a follower may still
    /// apply the ejection.
    absl::btree_map<core::server_id, absl::Time> releasing_;
    absl::btree_map<core::server_id, absl::Time> slow_start_since_;
    absl::btree_map<core::server_id, past_ejection> past_ejections_;
    absl::btree_set<core::server_id> kept_for_capacity_;
    /// Latest expiry of an ejection set sent so far.
    absl::Time sent_sets_until_ = absl::InfinitePast();
    absl::Time next_probe_ = absl::InfinitePast();
    std::optional<followed_set> followed_;
};

} // namespace cuminpitch::health
