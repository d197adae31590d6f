#pragma once

#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::consensus {

struct network_faults
{
    double loss = 0;
    double duplication = 0;
    absl::Duration max_delay = absl::Milliseconds(3); ///< Uniform; reorders messages.
};

/// Replicas with memory storage and a network in simulated time. Violations of an
/// invariant are recorded in `violations`.
class simulation
{
public:
    struct node
    {
        std::size_t number = 0;
        member_id id;
        std::unique_ptr<memory_storage> storage;
        std::unique_ptr<consensus::replica> replica; ///< Null while stopped.
        bool frozen = false;
        int crash_after_actions = -1; ///< Counts down; -1 means never.
        core::log_index applied;
        core::log_index last_commit;
        std::uint64_t state_hash = 0; ///< Hash over all applied entries.
        int snapshots_restored = 0;
    };

    /// Starts a group of `voters` nodes, and `extra` nodes with empty disks outside of
    /// it.
    simulation(
        std::uint64_t seed,
        std::size_t voters,
        replica_options options = {},
        std::size_t extra = 0);

    node& at(std::size_t number) { return nodes_.at(number); }
    /// Returns the leader with the highest term that isn't frozen, or null.
    node* leader();
    void start(node& target);
    /// Simulates a power loss: a random number of the unsynced writes survives.
    void crash(node& target);
    /// Crashes and gives the node an empty disk with a new identity.
    void replace_disk(node& target);
    std::size_t size() const { return nodes_.size(); }
    member as_member(const node& target) const;

    /// Drops all later messages from one node to the other until heal() is called.
    void cut(std::size_t from, std::size_t to) { cut_links_.insert({from, to}); }
    void heal() { cut_links_.clear(); }
    /// Cuts the node off from all others, in both directions or only in one.
    void isolate(std::size_t number, bool incoming = true, bool outgoing = true);

    void run(absl::Duration time, const std::function<void()>& each_step = {});
    bool run_until(const std::function<bool()>& condition, absl::Duration limit);
    /// Proposes a command at the leader. Returns false if there is none or it refuses.
    bool propose();
    /// Proposes a member change at the leader. Returns false if there is none or it
    /// refuses.
    bool change(const member_change& requested);
    /// Adds the node as a learner and promotes it to a voter. Refused steps are repeated
    /// within the limit.
    bool add_voter(node& target, absl::Duration limit);
    /// Returns true if within the limit the running members commit and apply a new entry
    /// and all earlier ones.
    bool commits(absl::Duration limit);
    /// Executes all actions of the node, checks its state and takes a snapshot if it is
    /// due.
    void execute_actions(node& target);

    network_faults faults;
    std::uint64_t snapshot_every = 0; ///< Number of applied entries; 0 means never.
    std::vector<std::string> violations;
    core::random_source random;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    core::log_index highest_applied; ///< Highest index applied by any node.
    std::set<std::uint64_t> terms_with_leader;
    std::size_t lost_writes = 0; ///< Unsynced writes lost in crashes.

private:
    struct message_in_transit
    {
        std::size_t from;
        std::size_t to;
        envelope message;
    };

    bool chance(double probability);
    void execute(node& target, const action& to_execute);
    void transmit(const node& from, const send_message& sent);
    void apply(node& target, const entry& applied);
    void restore(node& target, const snapshot& restored);
    void check_commit_index(node& target);
    void deliver();

    replica_options options_;
    std::vector<node> nodes_;
    std::multimap<absl::Time, message_in_transit> network_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::map<core::log_index, std::uint64_t>
        state_hashes_; ///< Node state after each index.
    std::map<core::term, member_id> leaders_;
    int identity_count_ = 0;
    std::uint64_t proposal_count_ = 0;
};

} // namespace cuminpitch::consensus
