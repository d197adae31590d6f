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
    bool awaiting_response = false;
    /// The snapshot that is being sent in snapshot mode.
    std::optional<snapshot> outgoing_snapshot;
    std::uint64_t offset = 0; ///< Offset of the next part of `outgoing_snapshot`.
};

struct replica::impl
{
    // Events, see `replica`.
    void start(absl::Time now);
    void advance_clock(absl::Time now);
    void tick();
    void receive(const core::endpoint& from, const envelope& received);
    core::result<proposal> propose(entry_payload payload);
    core::result<proposal> change_members(const member_change& change);
    core::result<void> transfer_leadership(const member_id& to);
    std::vector<action> take_actions();

    // Roles and elections (replica_election.cpp).
    void become_follower(core::term term, const member_id& leader);
    void become_leader();
    void set_role(consensus::role role, const member_id& leader);
    void reset_election_deadline();
    void campaign(bool pre_vote, bool transfer);
    void count_vote(const member_id& from);
    bool has_recent_leader_contact() const;
    bool has_recent_majority_contact() const;
    absl::Time majority_contact() const;
    bool is_synchronized() const;
    /// The `majority_age_us` of the messages of this leader.
    std::int64_t majority_age_us() const;
    bool is_up_to_date(const vote_request& request) const;
    void handle(
        const core::endpoint& to, const envelope& received, const vote_request& request);
    void handle(
        const core::endpoint& to,
        const envelope& received,
        const vote_response& response);
    void handle(
        const core::endpoint& to, const envelope& received, const timeout_now& request);

    // Messages from a leader (replica_following.cpp).
    /// Accepts the sender of an append_request or snapshot_request as leader. Returns
    /// false if the request must be ignored; an outdated one has then been refused.
    bool accept_leader(
        const core::endpoint& to,
        const envelope& received,
        core::term term,
        std::int64_t sent_us);
    void handle(
        const core::endpoint& to,
        const envelope& received,
        const append_request& request);
    void handle(
        const core::endpoint& to,
        const envelope& received,
        const snapshot_request& request);
    core::log_index store_entries(const append_request& request);
    core::log_index highest_possible_match(core::log_index previous) const;
    void install(const snapshot_info& info);
    void record_leader_commit(core::log_index commit);

    // Replication by the leader (replica_leading.cpp).
    void handle(
        const core::endpoint& to,
        const envelope& received,
        const append_response& response);
    void handle(
        const core::endpoint& to,
        const envelope& received,
        const snapshot_response& response);
    /// Records the contact with a member that responded, and returns its progress.
    /// Returns null if the response is of another term, or this replica does not lead or
    /// has no such member. Becomes a follower if the term is higher.
    progress*
    find_responder(const member_id& from, core::term term, std::int64_t echo_us);
    void record_contact(const member_id& from, std::int64_t echo_us);
    void update_progress_members();
    void replicate(bool heartbeat);
    void replicate_to(const member& to, progress& peer, bool heartbeat);
    /// Whether the member may be sent more entries before it acknowledges those on their
    /// way.
    bool has_room_for_entries(const progress& peer) const;
    void send_append(const member& to, progress& peer, bool with_entries);
    void send_snapshot_part(const member& to, progress& peer);
    void advance_commit();
    void try_transfer(bool repeat);
    void append_as_leader(entry_payload payload);

    // Member changes (replica_members.cpp).
    /// Returns the member set after the change, or an error if it is refused.
    core::result<member_set> members_after(const add_learner& change) const;
    core::result<member_set> members_after(const promote_learner& change) const;
    core::result<member_set> members_after(const remove_member& change) const;
    core::result<member_set> members_after(const move_member& change) const;
    void refresh_members();

    // Log, actions and messages (replica.cpp).
    void commit_to(core::log_index index);
    /// Index of the first entry that a snapshot up to `index` keeps in the log.
    core::log_index first_kept(core::log_index index) const;
    void write(entry added);
    void write_state();
    core::result<void> take_snapshot(core::log_index index, std::string bytes);
    void send(const core::endpoint& to, const member_id& id, message content);
    /// Sends a response with the group of the request. A replica that has not joined the
    /// group yet has no group of its own.
    void reply(const core::endpoint& to, const envelope& request, message content);
    std::int64_t now_us() const { return absl::ToUnixMicros(now_); }

    replica_options options_;
    member_id self_;
    core::random_source random_;
    replicated_log log_;
    hard_state hard_state_;
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
    core::log_index first_leader_commit_; ///< First commit index received from a leader.
    bool synchronized_ = false;
    /// When this replica, as a follower, had everything that its leader had committed.
    absl::Time current_at_ = absl::InfinitePast();
    /// The snapshot that is being received, and its bytes so far.
    std::optional<snapshot_info> incoming_snapshot_;
    std::string incoming_snapshot_bytes_;

    std::vector<action> writes_;
    /// Actions that are executed after `writes_` has been synced.
    std::vector<action> outputs_;
};

} // namespace cuminpitch::consensus
