#include "control/entry_reports_priv.hpp"

#include "core/earlier_start_priv.hpp"

#include <algorithm>

namespace cuminpitch::control {

void entry_reports::add(const sync_request& it, absl::Time now)
{
    auto& known = entries_[it.entry.id];
    if (core::is_of_earlier_start(
            it.incarnation, known.incarnation, known.last_report, now)) {
        return;
    }
    if (it.incarnation != known.incarnation) {
        // A restarted entry may have an older revision in force than before.
        known = {};
    }
    known.record = it.entry;
    known.incarnation = it.incarnation;
    known.draining = known.draining || it.draining;
    known.last_report = now;
    known.contacts = it.contacts;
    if (it.in_force > known.in_force || known.revision_reports.empty()) {
        known.in_force = it.in_force;
        known.revision_reports.push_back({it.in_force, now});
    }
    while (known.revision_reports.size() > 1 &&
           known.revision_reports[1].first_reported <= now - settle_) {
        known.revision_reports.pop_front();
    }
}

const reported_entry* entry_reports::find(const core::instance_id& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

bool entry_reports::has_recent_report(
    const core::instance_id& id, absl::Duration timeout, absl::Time now) const
{
    const auto* it = find(id);
    return it != nullptr && now - it->last_report < timeout;
}

bool entry_reports::is_settled(
    const core::instance_id& id, core::revision wanted, absl::Time now) const
{
    const auto* it = find(id);
    return it != nullptr && std::any_of(
                                it->revision_reports.begin(),
                                it->revision_reports.end(),
                                [&](const reported_entry::revision_report& m) {
                                    return m.in_force >= wanted &&
                                           m.first_reported <= now - settle_;
                                });
}

bool entry_reports::is_draining(const core::instance_id& id) const
{
    const auto* it = find(id);
    return it != nullptr && it->draining;
}

void entry_reports::remove_expired(absl::Duration timeout, absl::Time now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = now - it->second.last_report >= timeout ? entries_.erase(it) : std::next(it);
    }
}

} // namespace cuminpitch::control
