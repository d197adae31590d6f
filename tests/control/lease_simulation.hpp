#pragma once

#include "sample.hpp"

#include "cuminpitch/control/controller.hpp"
#include "cuminpitch/control/view_replica.hpp"
#include "cuminpitch/core/random.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::control {

struct simulation_options
{
    std::uint64_t seed = 1;
    int entries = 6;
    absl::Duration assignment_settle = absl::Seconds(3);
    bool require_settled_majority = true;
    bool single_member_steps = true;
    /// Whether a restarted entry grants leases only after a confirmed response from a
    /// control instance.
    bool wait_for_confirmation = true;
};

/// Simulates control instances, entries and the lease of one pool under a random schedule
/// of message delays, losses, one-way partitions, restarts, drains and leader changes.
/// The clocks of entries run up to 1% fast or slow. Counts violations of the lease
/// invariants.
class lease_simulation
{
public:
    explicit lease_simulation(simulation_options options);
    void run(absl::Duration time);

    /// Number of checks in which two lists could have disjoint majorities of granters.
    int disjoint_majorities = 0;
    /// Number of times that an entry acquired the lease while another entry held it.
    int double_leases = 0;
    int leases = 0;
    int list_steps = 0;

private:
    using link_type = std::pair<std::string, std::string>; // Sender and receiver.

    struct promise
    {
        std::string holder;
        absl::Time until; // This time is on the granter's clock.
        core::revision list;
    };
    struct round
    {
        int number = 0;
        absl::Time sent; // This time is on the holder's clock.
        pool_assignment list;
        std::set<std::string> granters;
    };
    struct node
    {
        std::string name;
        bool up = true;
        bool draining = false;
        bool confirmed = false;
        std::uint64_t incarnation = 0;
        double clock_rate = 1;
        std::unique_ptr<view_replica> view;
        absl::Time grants_from; // This and the next time are on the node's clock.
        absl::Time lease_until;
        promise current_promise;
        round current_round;
    };

    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    bool chance(std::uint64_t percent) { return random_below(100) < percent; }
    absl::Time clock(const node& it) const;
    void at(absl::Duration delay, std::function<void()> action);
    void every(absl::Duration mean, const std::function<void()>& action);
    void
    send(const std::string& from, const std::string& to, std::function<void()> action);

    void restart(node& it);
    void sync(node& it);
    void fetch(node& it, node& peer);
    void elect();
    void tick_leader();
    void commit(const command& it);
    const pool_assignment* list_of(const node& it) const;
    bool may_grant(const node& it) const;
    void ask_for_lease(node& it);
    bool grant(node& granter, const std::string& holder, core::revision list);
    void granted(node& holder, const std::string& granter, int number);
    void inject_fault();
    void isolate_pair();
    std::vector<std::string> all_names() const;
    void cut_link(const link_type& it, absl::Duration time);
    void check();

    simulation_options options_;
    core::random_source random_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    struct event
    {
        absl::Time when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;

    fleet_state state_{compile_sample};    // The state at the leader.
    fleet_state follower_{compile_sample}; // Applies each command 5 s later.
    std::uint64_t index_ = 0;
    std::unique_ptr<controller> leader_;
    std::uint64_t term_ = 0;
    std::map<std::string, node> nodes_;
    std::set<link_type> cut_;
    std::map<core::revision, pool_assignment> lists_;
};

} // namespace cuminpitch::control
