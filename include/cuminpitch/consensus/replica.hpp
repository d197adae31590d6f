#pragma once

#include "cuminpitch/consensus/action.hpp"
#include "cuminpitch/consensus/replica_options.hpp"
#include "cuminpitch/consensus/storage.hpp"
#include "cuminpitch/core/error.hpp"
#include "cuminpitch/core/random.hpp"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::consensus {

/// Position of a proposal in the log. The proposal is committed if the entry applied at
/// `index` has this term, and lost if that entry has another term.
struct proposal
{
    core::log_index index;
    core::term term;
};

/// Adds a learner. If there is a learner of the same name, it is replaced.
struct add_learner
{
    consensus::member member;
};

/// Makes a learner a voter. A voter of the same name is removed by the same log entry.
/// This is safe because the old voter's disk is gone and it can't vote again, and every
/// majority of the remaining old voters has a voter in common with every majority of the
/// new set.
struct promote_learner
{
    member_id id;
};

struct remove_member
{
    member_id id;
};

/// Changes the endpoint at which the member listens.
struct move_member
{
    member_id id;
    core::endpoint internal;
};

using member_change =
    std::variant<add_learner, promote_learner, remove_member, move_member>;

/// One member of a Raft group, as a state machine without a clock, threads, or I/O.
///
/// The caller passes events in and then executes all actions that take_actions() returns,
/// in their order. After several events one call of take_actions() is enough, and its
/// actions need one sync for all of them. If a write or sync fails, the remaining actions
/// must not be executed and the replica must be discarded.
class replica
{
public:
    /// Returns null if the stored state is inconsistent. The first actions restore the
    /// stored snapshot, if there is one.
    static std::unique_ptr<replica> make(
        replica_options options,
        member_id self,
        stored_state state,
        core::random_source random,
        absl::Time now);
    ~replica();

    void tick(absl::Time now);
    /// `from` is the endpoint at which the sender listens. Responses are sent there.
    void receive(absl::Time now, const core::endpoint& from, const envelope& received);

    /// Returns errc::not_leader if this replica does not lead, and errc::unavailable
    /// during a leadership transfer and while the uncommitted entries exceed their limit.
    core::result<proposal> propose(absl::Time now, std::string bytes);
    /// Returns errc::not_leader if this replica does not lead, and errc::invalid_change
    /// if the change does not fit the member set. Returns errc::unavailable while another
    /// change is uncommitted, before the leader has committed an entry of its term,
    /// during a leadership transfer, and if the learner to be promoted is not caught up
    /// or the voter that it replaces still responds.
    core::result<proposal> change_members(absl::Time now, const member_change& change);
    /// Transfers the leadership to `to`, or to the voter with the longest log if `to` is
    /// empty. The transfer is abandoned after `election_timeout_max`. Returns
    /// errc::not_leader if this replica does not lead, and errc::invalid_change if there
    /// is no such other voter.
    core::result<void> transfer_leadership(absl::Time now, const member_id& to = {});
    /// Replaces the stored snapshot with one up to `index`, and drops the log entries
    /// that it covers except the last ones, within the limits of `kept_entries` and
    /// `kept_bytes`. `bytes` is the replicated state
    /// after applying the entry at `index`. Returns errc::invalid_change if that entry is
    /// not committed yet or not after the last snapshot.
    core::result<void> take_snapshot(core::log_index index, std::string bytes);

    /// Returns the actions that follow from all events since the last call.
    std::vector<action> take_actions();
    /// Time at which tick() must be called if no other event changes it before.
    absl::Time next_deadline() const;

    const member_id& self() const;
    consensus::role role() const;
    core::term term() const;
    /// Empty if the leader is unknown.
    const member_id& leader() const;
    core::log_index commit_index() const;
    core::log_index last_index() const;
    core::log_index snapshot_index() const;
    /// Size in bytes of the encoded state in the last snapshot.
    std::size_t snapshot_bytes() const;
    /// Size in bytes of the log entries in memory.
    std::size_t log_bytes() const;
    /// The newest member set in the log.
    const member_set& members() const;
    /// True once this replica has applied everything that was committed when a leader
    /// first sent entries to it, or leads and has committed an entry of its term. Before
    /// that, its state may be older than the state that it served before a restart.
    bool synchronized() const;
    /// Time of the last contact with the member by this replica's clock. The leader has
    /// one for each member that has responded, other replicas only for the leader. Empty
    /// if there was no contact.
    std::optional<absl::Time> last_contact(const member_id& id) const;
    /// Time at which this replica had committed everything that was committed in the
    /// group, on its own clock. A time that a message spends on the way is not counted.
    /// Infinite past if unknown.
    absl::Time current_at() const;
    /// Time since which a majority of the voters has confirmed this leader. Infinite past
    /// if there is none yet, or if this replica does not lead.
    absl::Time majority_contact() const;

private:
    struct impl;
    explicit replica(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::consensus
