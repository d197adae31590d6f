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
/// invariant are recorded in `breaches`.
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
        core::log_index seen_commit;
        std::uint64_t state = 0; ///< Hash over all applied entries.
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
    void start(node& it);
    /// Simulates a power loss: a random number of the unsynced writes survives.
    void crash(node& it);
    /// Crashes and gives the node an empty disk with a new identity.
    void replace_disk(node& it);
    std::size_t size() const { return nodes_.size(); }
    member as_member(const node& it) const;

    /// Drops all later messages from one node to the other until heal() is called.
    void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
    void heal() { cuts_.clear(); }
    /// Cuts the node off from all others, in both directions or only in one.
    void isolate(std::size_t number, bool incoming = true, bool outgoing = true);

    void run(absl::Duration time, const std::function<void()>& each_step = {});
    bool run_until(const std::function<bool()>& condition, absl::Duration limit);
    /// Proposes a command at the leader. Returns false if there is none or it refuses.
    bool propose();
    /// Proposes a member change at the leader. Returns false if there is none or it
    /// refuses.
    bool change(const member_change& it);
    /// Adds the node as a learner and promotes it to a voter. Refused steps are repeated
    /// within the limit.
    bool repair(node& it, absl::Duration limit);
    /// Returns true if within the limit the running members commit and apply a new entry
    /// and all earlier ones.
    bool commits(absl::Duration limit);
    /// Executes all actions of the node, checks its state and takes a snapshot if it is
    /// due.
    void pump(node& it);

    network_faults faults;
    std::uint64_t snapshot_every = 0; ///< Number of applied entries; 0 means never.
    std::vector<std::string> breaches;
    core::random_source random;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    core::log_index highest_applied; ///< Highest index applied by any node.
    std::set<std::uint64_t> terms_with_leader;
    std::size_t lost_writes = 0; ///< Unsynced writes lost in crashes.

private:
    struct transit
    {
        std::size_t from;
        std::size_t to;
        envelope message;
    };

    bool chance(double probability);
    void execute(node& it, const action& what);
    void transmit(const node& from, const send_message& it);
    void apply(node& it, const entry& what);
    void restore(node& it, const snapshot& what);
    void check(node& it);
    void deliver();

    replica_options options_;
    std::vector<node> nodes_;
    std::multimap<absl::Time, transit> network_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<core::log_index, std::uint64_t> history_; ///< Node state after each index.
    std::map<core::term, member_id> leaders_;
    int identities_ = 0;
    std::uint64_t proposals_ = 0;
};

} // namespace cuminpitch::consensus
