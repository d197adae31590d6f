#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/health/pool_heartbeat.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <optional>

namespace cuminpitch::health {

/// Clock rates of two instances differ by at most 1%, so an instance that waits for the
/// end of another's lease multiplies the time by this factor.
inline constexpr double clock_rate_margin = 1.01;

/// This entry's state, as granter and as holder, of the lease that makes one of a pool's
/// assigned entries its coordinator. The holder counts the lease from when it sent its
/// request, a granter its promise from when it received the request. A lease needs grants
/// of a majority of the list at the same list revision. Promises outlive changes of the
/// list, and successive lists differ by one member, so two leases never overlap.
class pool_lease
{
public:
    /// Grants nothing before `created` + 1.01 x `length`, because an earlier process of
    /// this instance may have promised the lease, and promises aren't stored.
    pool_lease(
        core::instance_id self,
        std::uint64_t incarnation,
        absl::Time created,
        absl::Duration length);

    void set_list(absl::Time now, const control::pool_assignment& it);

    /// Sets whether the list is known to be at least as new as any that an earlier
    /// process of this instance had; initially true. Unless it is, this entry grants
    /// nothing: the control instances may have relied on the newer list when they made
    /// the next change, and majorities of lists that are two changes apart need not
    /// intersect.
    void set_list_confirmed(bool it) { list_confirmed_ = it; }

    /// `reachable`: members of the list with recent two-way contact. `candidates`: those
    /// of them, and this entry, that may be the coordinator (not draining).
    void tick(
        absl::Time now,
        const absl::btree_set<core::instance_id>& reachable,
        const absl::btree_set<core::instance_id>& candidates,
        core::random_source& random);

    /// The request to put into heartbeats, if this entry holds or requests the lease.
    std::optional<lease_request> request() const;

    void on_request(
        absl::Time now,
        const core::instance_id& from,
        std::uint64_t incarnation,
        core::revision list_revision,
        const lease_request& it);

    /// The grant to put into heartbeats to `peer`.
    std::optional<lease_grant> grant_for(absl::Time now, const core::instance_id& peer);

    void on_grant(
        const core::instance_id& from,
        core::revision list_revision,
        const lease_grant& it);

    bool is_held(absl::Time now) const { return now < held_until_; }
    absl::Time held_until() const { return held_until_; }

    /// The entry, possibly this one, that this entry has currently promised the lease to.
    std::optional<core::instance_id> promised_to(absl::Time now) const;

private:
    struct promise
    {
        core::instance_id holder;
        std::uint64_t incarnation = 0;
        absl::Time request_sent;
        absl::Time expiry;
    };

    bool is_member(const core::instance_id& it) const;
    bool may_promise(
        absl::Time now, const core::instance_id& holder, std::uint64_t incarnation) const;
    void renew(absl::Time now);
    void count_grants();

    core::instance_id self_;
    std::uint64_t incarnation_;
    absl::Duration length_;
    absl::Time earliest_grant_;
    control::pool_assignment list_;
    bool list_confirmed_ = true;
    std::optional<promise> promise_;
    /// Newest request that each member has granted, by the time when it was sent.
    absl::btree_map<core::instance_id, absl::Time> grants_;
    absl::Time held_until_ = absl::InfinitePast();
    absl::Time next_attempt_ = absl::InfinitePast();
    std::optional<absl::Time> attempt_started_;
    std::optional<absl::Time> request_sent_;
    /// Whether the lease was promised since tick() last found no promise in force.
    /// Initially true, so that the first tick sets `next_attempt_`.
    bool was_promised_ = true;
};

} // namespace cuminpitch::health
