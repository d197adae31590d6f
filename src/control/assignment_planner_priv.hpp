#pragma once

#include "control/entry_reports_priv.hpp"
#include "cuminpitch/assign/strategy.hpp"
#include "cuminpitch/control/controller.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace cuminpitch::control {

/// Plans the next change of each pool's list of entries towards its target, the list that
/// the assignment strategy picks.
class assignment_planner
{
public:
    assignment_planner(
        const controller_options& options, assign::strategy strategy, absl::Time start);

    std::vector<set_assignment>
    plan(const fleet_view& committed, const entry_reports& reports, absl::Time now);

private:
    using id_list = std::vector<core::instance_id>;

    // The inputs of one planning run.
    struct planning_input
    {
        const fleet_view& committed;
        const entry_reports& reports;
        absl::Time now;
    };

    struct target
    {
        std::size_t wanted = 0;
        id_list entries;
    };

    struct proposal
    {
        core::revision list_revision;
        absl::Time when;
    };

    void update_candidates(const planning_input& input);
    void discard_affected_targets(const assign::member& changed);
    const id_list& target_of(const core::pool_id& pool, std::size_t wanted);
    std::optional<id_list>
    first_list(const planning_input& input, const id_list& target) const;
    std::optional<id_list> next_list(
        const planning_input& input,
        const pool_assignment& list,
        const id_list& target,
        std::size_t wanted) const;
    bool
    is_majority_settled(const planning_input& input, const pool_assignment& list) const;
    bool has_live_majority(const planning_input& input, const id_list& list) const;
    std::optional<core::instance_id> member_to_add(
        const planning_input& input, const id_list& list, const id_list& target) const;
    std::optional<core::instance_id> member_to_remove(
        const planning_input& input, const id_list& list, const id_list& target) const;
    bool may_propose(const core::pool_id& pool, core::revision list, absl::Time now);

    controller_options options_;
    assign::strategy strategy_;
    absl::Time start_;
    // The entries that the strategy can pick, with their failure domains.
    absl::btree_map<core::instance_id, core::failure_domain_id> candidates_;
    // Targets for the current candidates. Computing one is O(entries), so it is cached
    // until a candidate that affects it joins or leaves.
    absl::btree_map<core::pool_id, target> targets_;
    absl::btree_map<core::pool_id, proposal> proposals_;
};

} // namespace cuminpitch::control
