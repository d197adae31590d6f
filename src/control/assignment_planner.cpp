#include "control/assignment_planner_priv.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::control {
namespace {

using id_list = std::vector<core::instance_id>;

bool contains(const id_list& list, const core::instance_id& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

// With more candidate changes at once, as when a failure domain is lost, computing all
// targets anew is cheaper than finding the affected ones.
constexpr std::size_t bulk_change_limit = 16;

std::size_t majority(std::size_t n)
{
    return n / 2 + 1;
}

// Sorts the members that are also in the target first, in the order of the target.
id_list ordered(const id_list& members, const id_list& target)
{
    id_list result;
    for (const auto& it : target) {
        if (contains(members, it)) {
            result.push_back(it);
        }
    }
    for (const auto& it : members) {
        if (!contains(target, it)) {
            result.push_back(it);
        }
    }
    return result;
}

id_list without(id_list list, const core::instance_id& id)
{
    std::erase(list, id);
    return list;
}

} // namespace

assignment_planner::assignment_planner(
    const controller_options& options, assign::strategy strategy, absl::Time start)
    : options_(options), strategy_(std::move(strategy)), start_(start)
{
}

std::vector<set_assignment> assignment_planner::plan(
    const fleet_view& committed, const entry_reports& reports, absl::Time now)
{
    const planning_input input{committed, reports, now};
    update_candidates(input);
    std::vector<set_assignment> result;
    for (const auto& [pool, settings] : committed.declarations->pools) {
        if (settings.every_entry) {
            continue;
        }
        const auto& target = target_of(pool, settings.entries);
        const auto known = committed.assignments.find(pool);
        const bool is_new = known == committed.assignments.end();
        const auto revision = is_new ? core::revision{} : known->second.list_revision;
        auto next = is_new ? first_list(input, target)
                           : next_list(input, known->second, target, settings.entries);
        if (next && may_propose(pool, revision, now)) {
            result.push_back(
                {pool, std::move(*next), revision, !options_.single_member_steps});
        }
    }
    return result;
}

void assignment_planner::update_candidates(const planning_input& input)
{
    std::vector<assign::member> changed;
    for (auto it = candidates_.begin(); it != candidates_.end();) {
        const auto known = input.committed.entries.find(it->first);
        if (known != input.committed.entries.end() &&
            known->second.failure_domain == it->second &&
            !input.reports.is_draining(it->first)) {
            ++it;
            continue;
        }
        changed.push_back({it->first, it->second});
        it = candidates_.erase(it);
    }
    const auto left = changed.size();
    for (const auto& [id, record] : input.committed.entries) {
        if (!candidates_.contains(id) && !input.reports.is_draining(id)) {
            changed.push_back({id, record.failure_domain});
            candidates_.emplace(id, record.failure_domain);
        }
    }
    if (changed.size() > bulk_change_limit) {
        targets_.clear();
    }
    for (std::size_t i = 0; i < changed.size(); ++i) {
        const auto& it = changed[i];
        if (i < left) {
            discard_affected_targets(it);
            assign::leave(strategy_, it.id);
        } else {
            assign::join(strategy_, it);
            discard_affected_targets(it);
        }
    }
}

void assignment_planner::discard_affected_targets(const assign::member& changed)
{
    for (auto it = targets_.begin(); it != targets_.end();) {
        const auto& [wanted, list] = it->second;
        const bool drop =
            assign::is_affected(strategy_, it->first, wanted, list, changed);
        it = drop ? targets_.erase(it) : std::next(it);
    }
}

const id_list&
assignment_planner::target_of(const core::pool_id& pool, std::size_t wanted)
{
    auto& it = targets_[pool];
    if (it.wanted != wanted) {
        it = {wanted, assign::pick(strategy_, pool, wanted)};
    }
    return it.entries;
}

std::optional<id_list>
assignment_planner::first_list(const planning_input& input, const id_list& target) const
{
    if (input.now - start_ < options_.initial_wait) {
        return std::nullopt;
    }
    id_list result;
    for (const auto& it : target) {
        if (input.reports.has_recent_report(it, options_.report_timeout, input.now)) {
            result.push_back(it);
        }
    }
    return result.empty() ? std::nullopt : std::optional(std::move(result));
}

std::optional<id_list> assignment_planner::next_list(
    const planning_input& input,
    const pool_assignment& list,
    const id_list& target,
    std::size_t wanted) const
{
    const auto& members = list.entries;
    std::optional<id_list> next;
    if (!options_.single_member_steps) {
        next = first_list(input, target);
        if (next && *next == members) {
            next.reset();
        }
    } else if (members.size() > wanted) {
        if (const auto id = member_to_remove(input, members, target)) {
            next = ordered(without(members, *id), target);
        }
    } else if (const auto id = member_to_add(input, members, target)) {
        auto more = members;
        more.push_back(*id);
        next = ordered(more, target);
    }
    if (next && options_.require_settled_majority && !is_majority_settled(input, list)) {
        next.reset();
    }
    return next;
}

bool assignment_planner::is_majority_settled(
    const planning_input& input, const pool_assignment& list) const
{
    const auto n = std::count_if(
        list.entries.begin(), list.entries.end(), [&](const core::instance_id& id) {
            return input.reports.has_recent_report(
                       id, options_.report_timeout, input.now) &&
                   input.reports.is_settled(id, list.list_revision, input.now);
        });
    return static_cast<std::size_t>(n) >= majority(list.entries.size());
}

bool assignment_planner::has_live_majority(
    const planning_input& input, const id_list& list) const
{
    const auto n =
        std::count_if(list.begin(), list.end(), [&](const core::instance_id& id) {
            return input.reports.has_recent_report(
                id, options_.report_timeout, input.now);
        });
    return static_cast<std::size_t>(n) >= majority(list.size());
}

std::optional<core::instance_id> assignment_planner::member_to_add(
    const planning_input& input, const id_list& list, const id_list& target) const
{
    for (const auto& it : target) {
        if (!contains(list, it) &&
            input.reports.has_recent_report(it, options_.report_timeout, input.now)) {
            return it;
        }
    }
    return std::nullopt;
}

std::optional<core::instance_id> assignment_planner::member_to_remove(
    const planning_input& input, const id_list& list, const id_list& target) const
{
    // Entries to remove first rank highest: entries removed from the fleet, then draining
    // entries, entries without a recent report, and all others.
    const auto urgency = [&](const core::instance_id& id) {
        if (!input.committed.entries.contains(id)) {
            return 3;
        }
        if (input.reports.is_draining(id)) {
            return 2;
        }
        return input.reports.has_recent_report(id, options_.report_timeout, input.now)
                   ? 0
                   : 1;
    };
    std::optional<core::instance_id> result;
    for (const auto& it : list) {
        if (!contains(target, it) && (!result || urgency(it) >= urgency(*result))) {
            result = it;
        }
    }
    if (result && !has_live_majority(input, without(list, *result))) {
        result.reset();
    }
    return result;
}

bool assignment_planner::may_propose(
    const core::pool_id& pool, core::revision list, absl::Time now)
{
    const auto [it, is_first] = proposals_.try_emplace(pool, proposal{list, now});
    if (is_first) {
        return true;
    }
    if (it->second.list_revision == list &&
        now - it->second.when < options_.proposal_timeout) {
        return false;
    }
    it->second = {list, now};
    return true;
}

} // namespace cuminpitch::control
