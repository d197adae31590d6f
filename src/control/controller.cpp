#include "cuminpitch/control/controller.hpp"

#include "control/assignment_planner_priv.hpp"
#include "control/entry_reports_priv.hpp"
#include "cuminpitch/control/fleet_state.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace cuminpitch::control {

class controller::impl
{
public:
    impl(const controller_options& options, assign::strategy strategy, absl::Time now)
        : options_(options), start_(now), reports_(options.assignment_settle),
          planner_(options, std::move(strategy), now)
    {
    }

    void report(const sync_request& it, absl::Time now) { reports_.add(it, now); }

    std::vector<command> tick(const fleet_view& committed, absl::Time now)
    {
        record_revision(committed.revision, now);
        std::vector<command> result;
        add_joins(committed, now, result);
        add_removals(committed, now, result);
        for (auto& it : planner_.plan(committed, reports_, now)) {
            result.emplace_back(std::move(it));
        }
        reports_.remove_expired(options_.removal_timeout, now);
        return result;
    }

    std::vector<entry_status> status(const fleet_view& committed, absl::Time now) const
    {
        std::vector<entry_status> result;
        for (const auto& [id, record] : committed.entries) {
            auto& it = result.emplace_back();
            it.id = id;
            it.failure_domain = record.failure_domain;
            if (const auto* known = reports_.find(id)) {
                it.in_force = known->in_force;
                it.last_contact = now - known->last_report;
                it.draining = known->draining;
                it.contacts = known->contacts;
            }
        }
        return result;
    }

    std::vector<lagging_entry> lagging_entries(
        const fleet_view& committed, core::revision wanted, absl::Time now) const
    {
        const auto since = now - first_seen_at(wanted);
        std::vector<lagging_entry> result;
        for (const auto& [id, record] : committed.entries) {
            const auto* known = reports_.find(id);
            if (known == nullptr) {
                result.push_back({id, std::nullopt, since});
            } else if (known->in_force < wanted) {
                result.push_back({id, known->in_force, since});
            }
        }
        return result;
    }

private:
    struct seen_revision
    {
        core::revision revision;
        absl::Time when;
    };

    void record_revision(core::revision revision, absl::Time now)
    {
        if (!first_seen_.empty() && first_seen_.back().revision >= revision) {
            return;
        }
        first_seen_.push_back({revision, now});
        if (first_seen_.size() > history_limit) {
            first_seen_.pop_front();
        }
    }

    absl::Time first_seen_at(core::revision wanted) const
    {
        const auto it = std::lower_bound(
            first_seen_.begin(),
            first_seen_.end(),
            wanted,
            [](const seen_revision& seen, core::revision value) {
                return seen.revision < value;
            });
        return it == first_seen_.end() ? start_ : it->when;
    }

    void
    add_joins(const fleet_view& committed, absl::Time now, std::vector<command>& result)
    {
        for (const auto& [id, known] : reports_.entries()) {
            const auto member = committed.entries.find(id);
            const bool same =
                member != committed.entries.end() && member->second == known.record;
            if (!same && now - known.last_report < options_.report_timeout &&
                may_propose(id, now)) {
                result.emplace_back(entry_joined{known.record, known.incarnation});
            }
        }
    }

    void add_removals(
        const fleet_view& committed, absl::Time now, std::vector<command>& result)
    {
        for (const auto& [id, record] : committed.entries) {
            const auto* known = reports_.find(id);
            const auto last = known == nullptr ? start_ : known->last_report;
            if (now - last >= options_.removal_timeout && may_propose(id, now)) {
                result.emplace_back(entry_removed{id});
            }
        }
        for (auto it = proposals_.begin(); it != proposals_.end();) {
            const bool old = now - it->second >= options_.proposal_timeout;
            it = old ? proposals_.erase(it) : std::next(it);
        }
    }

    bool may_propose(const core::instance_id& id, absl::Time now)
    {
        const auto [it, is_first] = proposals_.try_emplace(id, now);
        if (!is_first && now - it->second < options_.proposal_timeout) {
            return false;
        }
        it->second = now;
        return true;
    }

    controller_options options_;
    absl::Time start_;
    entry_reports reports_;
    assignment_planner planner_;
    absl::btree_map<core::instance_id, absl::Time> proposals_;
    // The times at which this leader first saw each revision, oldest first.
    std::deque<seen_revision> first_seen_;
};

controller::controller(
    controller_options options, assign::strategy strategy, absl::Time now)
    : impl_(std::make_unique<impl>(options, std::move(strategy), now))
{
}

controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

void controller::report(const sync_request& it, absl::Time now)
{
    impl_->report(it, now);
}

std::vector<command> controller::tick(const fleet_view& committed, absl::Time now)
{
    return impl_->tick(committed, now);
}

std::vector<entry_status>
controller::status(const fleet_view& committed, absl::Time now) const
{
    return impl_->status(committed, now);
}

std::vector<lagging_entry> controller::lagging_entries(
    const fleet_view& committed, core::revision wanted, absl::Time now) const
{
    return impl_->lagging_entries(committed, wanted, now);
}

} // namespace cuminpitch::control
