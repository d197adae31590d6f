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
constexpr std::size_t bulk_change = 16;

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
    const fleet_view& committed, const report_book& reports, absl::Time now)
{
    const situation at{committed, reports, now};
    update_candidates(at);
    std::vector<set_assignment> result;
    for (const auto& [pool, settings] : committed.declarations->pools) {
        if (settings.every_entry) {
            continue;
        }
        const auto& target = target_of(pool, settings.entries);
        const auto known = committed.assignments.find(pool);
        const bool is_new = known == committed.assignments.end();
        const auto revision = is_new ? core::revision{} : known->second.list_revision;
        auto next = is_new ? first_list(at, target)
                           : next_list(at, known->second, target, settings.entries);
        if (next && may_propose(pool, revision, now)) {
            result.push_back(
                {pool, std::move(*next), revision, !options_.single_member_steps});
        }
    }
    return result;
}

void assignment_planner::update_candidates(const situation& at)
{
    std::vector<assign::member> changed;
    for (auto it = candidates_.begin(); it != candidates_.end();) {
        const auto known = at.committed.entries.find(it->first);
        if (known != at.committed.entries.end() &&
            known->second.failure_domain == it->second &&
            !at.reports.is_draining(it->first)) {
            ++it;
            continue;
        }
        changed.push_back({it->first, it->second});
        it = candidates_.erase(it);
    }
    const auto left = changed.size();
    for (const auto& [id, record] : at.committed.entries) {
        if (!candidates_.contains(id) && !at.reports.is_draining(id)) {
            changed.push_back({id, record.failure_domain});
            candidates_.emplace(id, record.failure_domain);
        }
    }
    if (changed.size() > bulk_change) {
        targets_.clear();
    }
    for (std::size_t i = 0; i < changed.size(); ++i) {
        const auto& it = changed[i];
        if (i < left) {
            drop_affected(it);
            assign::leave(strategy_, it.id);
        } else {
            assign::join(strategy_, it);
            drop_affected(it);
        }
    }
}

void assignment_planner::drop_affected(const assign::member& changed)
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
assignment_planner::first_list(const situation& at, const id_list& target) const
{
    if (at.now - start_ < options_.initial_wait) {
        return std::nullopt;
    }
    id_list result;
    for (const auto& it : target) {
        if (at.reports.is_heard(it, options_.report_timeout, at.now)) {
            result.push_back(it);
        }
    }
    return result.empty() ? std::nullopt : std::optional(std::move(result));
}

std::optional<id_list> assignment_planner::next_list(
    const situation& at,
    const pool_assignment& list,
    const id_list& target,
    std::size_t wanted) const
{
    const auto& members = list.entries;
    std::optional<id_list> next;
    if (!options_.single_member_steps) {
        next = first_list(at, target);
        if (next && *next == members) {
            next.reset();
        }
    } else if (members.size() > wanted) {
        if (const auto id = member_to_remove(at, members, target)) {
            next = ordered(without(members, *id), target);
        }
    } else if (const auto id = member_to_add(at, members, target)) {
        auto more = members;
        more.push_back(*id);
        next = ordered(more, target);
    }
    if (next && options_.gate_steps && !is_gate_open(at, list)) {
        next.reset();
    }
    return next;
}

bool assignment_planner::is_gate_open(
    const situation& at, const pool_assignment& list) const
{
    const auto n = std::count_if(
        list.entries.begin(), list.entries.end(), [&](const core::instance_id& id) {
            return at.reports.is_heard(id, options_.report_timeout, at.now) &&
                   at.reports.is_settled(id, list.list_revision, at.now);
        });
    return static_cast<std::size_t>(n) >= majority(list.entries.size());
}

bool assignment_planner::has_heard_majority(
    const situation& at, const id_list& list) const
{
    const auto n =
        std::count_if(list.begin(), list.end(), [&](const core::instance_id& id) {
            return at.reports.is_heard(id, options_.report_timeout, at.now);
        });
    return static_cast<std::size_t>(n) >= majority(list.size());
}

std::optional<core::instance_id> assignment_planner::member_to_add(
    const situation& at, const id_list& list, const id_list& target) const
{
    for (const auto& it : target) {
        if (!contains(list, it) &&
            at.reports.is_heard(it, options_.report_timeout, at.now)) {
            return it;
        }
    }
    return std::nullopt;
}

std::optional<core::instance_id> assignment_planner::member_to_remove(
    const situation& at, const id_list& list, const id_list& target) const
{
    // Entries to remove first rank highest: entries removed from the fleet, then draining
    // entries, entries without a recent report, and all others.
    const auto urgency = [&](const core::instance_id& id) {
        if (!at.committed.entries.contains(id)) {
            return 3;
        }
        if (at.reports.is_draining(id)) {
            return 2;
        }
        return at.reports.is_heard(id, options_.report_timeout, at.now) ? 0 : 1;
    };
    std::optional<core::instance_id> result;
    for (const auto& it : list) {
        if (!contains(target, it) && (!result || urgency(it) >= urgency(*result))) {
            result = it;
        }
    }
    if (result && !has_heard_majority(at, without(list, *result))) {
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
