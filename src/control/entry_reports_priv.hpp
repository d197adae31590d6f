#pragma once

#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace cuminpitch::control {

/// The reports of one entry since its last start.
struct reported_entry
{
    entry_record record;
    std::uint64_t incarnation = 0;
    core::revision in_force;
    bool draining = false;
    absl::Time last_report;
    std::vector<contact_age> contacts;

    struct revision_report
    {
        core::revision in_force;
        absl::Time first_reported;
    };
    // Revisions in ascending order with the times of their first reports: those first
    // reported within the settle time, and the newest one before them.
    std::deque<revision_report> revision_reports;
};

/// The newest reports that a leader received from the entries.
class entry_reports
{
public:
    explicit entry_reports(absl::Duration settle) : settle_(settle) {}

    void add(const sync_request& it, absl::Time now);
    /// Returns null if there was no report.
    const reported_entry* find(const core::instance_id& id) const;
    /// Whether the last report is more recent than `timeout`.
    bool has_recent_report(
        const core::instance_id& id, absl::Duration timeout, absl::Time now) const;
    /// Whether the entry has had `wanted` in force for the settle time.
    bool
    is_settled(const core::instance_id& id, core::revision wanted, absl::Time now) const;
    bool is_draining(const core::instance_id& id) const;
    /// Drops entries whose last report is older than `timeout`.
    void remove_expired(absl::Duration timeout, absl::Time now);

    const absl::btree_map<core::instance_id, reported_entry>& entries() const
    {
        return entries_;
    }

private:
    absl::Duration settle_;
    absl::btree_map<core::instance_id, reported_entry> entries_;
};

} // namespace cuminpitch::control
