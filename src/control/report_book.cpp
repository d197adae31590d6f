#include "control/report_book_priv.hpp"

#include <algorithm>

namespace cuminpitch::control {

void report_book::take(const sync_request& it, absl::Time now)
{
    auto& known = entries_[it.entry.id];
    if (it.incarnation < known.incarnation) {
        return;
    }
    if (it.incarnation > known.incarnation) {
        // A restarted entry may have an older revision in force than before.
        known = {};
    }
    known.record = it.entry;
    known.incarnation = it.incarnation;
    known.draining = known.draining || it.draining;
    known.last_report = now;
    known.contacts = it.contacts;
    if (it.in_force > known.in_force || known.milestones.empty()) {
        known.in_force = it.in_force;
        known.milestones.push_back({it.in_force, now});
    }
    while (known.milestones.size() > 1 &&
           known.milestones[1].first_reported <= now - settle_) {
        known.milestones.pop_front();
    }
}

const entry_knowledge* report_book::find(const core::instance_id& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

bool report_book::is_heard(
    const core::instance_id& id, absl::Duration timeout, absl::Time now) const
{
    const auto* it = find(id);
    return it != nullptr && now - it->last_report < timeout;
}

bool report_book::is_settled(
    const core::instance_id& id, core::revision wanted, absl::Time now) const
{
    const auto* it = find(id);
    return it != nullptr && std::any_of(
                                it->milestones.begin(),
                                it->milestones.end(),
                                [&](const entry_knowledge::milestone& m) {
                                    return m.in_force >= wanted &&
                                           m.first_reported <= now - settle_;
                                });
}

bool report_book::is_draining(const core::instance_id& id) const
{
    const auto* it = find(id);
    return it != nullptr && it->draining;
}

void report_book::forget(absl::Duration timeout, absl::Time now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = now - it->second.last_report >= timeout ? entries_.erase(it) : std::next(it);
    }
}

} // namespace cuminpitch::control
