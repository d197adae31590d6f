#pragma once

#include "cuminpitch/consensus/replica.hpp"
#include "replicated_log_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::consensus {

/// Replication state that a leader keeps for another member.
struct progress
{
    enum class mode
    {
        /// The last matching index is unknown. One message is sent at a time.
        probe,
        /// Entries are sent without waiting for responses.
        replicate,
        /// The log no longer has the entries that the member needs. One part of a
        /// snapshot is sent at a time.
        snapshot,
    };

    progress::mode state = mode::probe;
    core::log_index match; ///< Last index known to be durable and equal at the member.
    core::log_index next;  ///< Index of the next entry to send.
    /// True while a response is awaited in probe or snapshot mode.
    bool waiting = false;
    /// The snapshot that is being sent in snapshot mode.
    std::optional<snapshot> sending;
    std::uint64_t offset = 0; ///< Offset of the next part of `sending`.
};

struct replica::impl
{
    // Events, see `replica`.
    void start(absl::Time now);
    void advance(absl::Time now);
    void tick();
    void receive(const core::endpoint& from, const envelope& it);
    core::result<proposal> propose(entry_payload payload);
    core::result<proposal> change(const member_change& it);
    core::result<void> transfer(const member_id& to);
    std::vector<action> take_actions();

    // Roles and elections (replica_election.cpp).
    void become_follower(core::term term, const member_id& leader);
    void become_leader();
    void set_role(consensus::role role, const member_id& leader);
    void reset_election_deadline();
    void campaign(bool pre_vote, bool transfer);
    void count_vote(const member_id& from);
    bool hears_leader() const;
    bool hears_majority() const;
    bool is_up_to_date(const vote_request& it) const;
    void
    answer(const core::endpoint& to, const envelope& it, const vote_request& request);
    void
    answer(const core::endpoint& to, const envelope& it, const vote_response& response);
    void answer(const core::endpoint& to, const envelope& it, const timeout_now& request);

    // Messages from a leader (replica_following.cpp).
    /// Accepts the sender of an append_request or snapshot_request as leader. Returns
    /// false if the request must be ignored; an outdated one has then been refused.
    bool follow(
        const core::endpoint& to,
        const envelope& it,
        core::term term,
        std::int64_t sent_us);
    void
    answer(const core::endpoint& to, const envelope& it, const append_request& request);
    void
    answer(const core::endpoint& to, const envelope& it, const snapshot_request& request);
    core::log_index store(const append_request& request);
    core::log_index highest_possible_match(core::log_index previous) const;
    void install(const snapshot_info& info);
    void note_leader_commit(core::log_index commit);

    // Replication by the leader (replica_leading.cpp).
    void
    answer(const core::endpoint& to, const envelope& it, const append_response& response);
    void answer(
        const core::endpoint& to, const envelope& it, const snapshot_response& response);
    /// Records the contact with a member that responded, and returns its progress.
    /// Returns null if the response is of another term, or this replica does not lead or
    /// has no such member. Becomes a follower if the term is higher.
    progress*
    find_answering(const member_id& from, core::term term, std::int64_t echo_us);
    void note_contact(const member_id& from, std::int64_t echo_us);
    void update_progress_members();
    void replicate(bool heartbeat);
    void replicate_to(const member& to, progress& it, bool heartbeat);
    void send_append(const member& to, progress& it, bool with_entries);
    void send_snapshot_part(const member& to, progress& it);
    void advance_commit();
    void try_transfer(bool repeat);
    void append_own(entry_payload payload);

    // Member changes (replica_members.cpp).
    /// Returns the member set after the change, or an error if it is refused.
    core::result<member_set> changed(const add_learner& it) const;
    core::result<member_set> changed(const promote_learner& it) const;
    core::result<member_set> changed(const remove_member& it) const;
    core::result<member_set> changed(const move_member& it) const;
    void refresh_members();

    // Log, actions and messages (replica.cpp).
    void commit_to(core::log_index index);
    void write(entry it);
    void write_state();
    core::result<void> take_snapshot(core::log_index index, std::string bytes);
    void send(const core::endpoint& to, const member_id& id, message it);
    /// Sends a response with the group of the request. A replica that has not joined the
    /// group yet has no group of its own.
    void reply(const core::endpoint& to, const envelope& request, message it);
    std::int64_t now_us() const { return absl::ToUnixMicros(now_); }

    replica_options options_;
    member_id self_;
    core::random_source random_;
    replicated_log log_;
    hard_state hard_;
    member_set members_;

    absl::Time now_ = absl::InfinitePast();
    consensus::role role_ = consensus::role::follower;
    member_id leader_;
    absl::Time election_deadline_ = absl::InfiniteFuture();
    absl::Time leader_contact_ = absl::InfinitePast();
    absl::btree_set<member_id> votes_;

    absl::btree_map<member_id, progress> progress_;
    absl::btree_map<member_id, absl::Time> contacts_;
    absl::Time leader_since_ = absl::InfinitePast();
    absl::Time heartbeat_due_ = absl::InfiniteFuture();
    core::log_index term_start_; ///< Index of the first entry of this leader's term.
    member_id transfer_to_;
    absl::Time transfer_deadline_ = absl::InfiniteFuture();
    bool transfer_sent_ = false;

    core::log_index commit_;
    core::log_index known_commit_; ///< First commit index received from a leader.
    bool synchronized_ = false;
    /// The snapshot that is being received, and its bytes so far.
    std::optional<snapshot_info> incoming_;
    std::string incoming_bytes_;

    std::vector<action> writes_;
    /// Actions that are executed after `writes_` has been synced.
    std::vector<action> outputs_;
};

} // namespace cuminpitch::consensus
