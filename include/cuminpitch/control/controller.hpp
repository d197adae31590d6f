#pragma once

#include "cuminpitch/assign/strategy.hpp"
#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <vector>

namespace cuminpitch::control {

struct controller_options
{
    /// An entry is removed from the fleet after this time without a report.
    absl::Duration removal_timeout = absl::Seconds(60);
    /// A majority of the members of a list must have had the list in force for this time
    /// before its next change. It must exceed the time for which the granter of a pool
    /// lease is bound by its promise (1.01 x 2 s).
    absl::Duration assignment_settle = absl::Seconds(3);
    /// An entry without a report for this time is not added to a list and does not count
    /// towards a majority. Entries report every 500 ms.
    absl::Duration report_timeout = absl::Seconds(3);
    /// A new leader waits this long, two report intervals, before it sets the first list
    /// of a pool, so that all live entries have reported.
    absl::Duration initial_wait = absl::Seconds(1);
    /// A proposal that is not committed within this time is proposed again.
    absl::Duration proposal_timeout = absl::Seconds(1);
    /// Turned off only by tests that show that these two rules are needed.
    bool require_settled_majority = true;
    bool single_member_steps = true;
};

/// What the leader knows about one entry.
struct entry_status
{
    core::instance_id id;
    core::failure_domain_id failure_domain;
    /// Empty if this leader has received no report from the entry.
    std::optional<core::revision> in_force;
    std::optional<absl::Duration> last_contact;
    bool draining = false;
    std::vector<contact_age> contacts; ///< As reported by the entry.
};

/// An entry that isn't known to have a given revision in force.
struct lagging_entry
{
    core::instance_id id;
    std::optional<core::revision> in_force;
    /// Time since this leader first saw the revision, or since it became leader.
    absl::Duration since;
};

/// Decides fleet membership and pool assignments at the leader of the control instances.
/// Its state consists only of the reports that it received. A new leader makes a new
/// controller, which removes no entry for one removal timeout and changes no list until
/// its own reports allow it.
class controller
{
public:
    controller(controller_options options, assign::strategy strategy, absl::Time now);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;

    /// Records a report. Reports of an earlier incarnation are ignored.
    void report(const sync_request& it, absl::Time now);

    /// Returns the commands to propose now. `committed` is the newest state applied at
    /// this instance. Must be called after each commit and at least every 250 ms.
    std::vector<command> tick(const fleet_view& committed, absl::Time now);

    std::vector<entry_status> status(const fleet_view& committed, absl::Time now) const;
    /// Committed entries that are not known to have the revision `wanted` in force.
    std::vector<lagging_entry> lagging_entries(
        const fleet_view& committed, core::revision wanted, absl::Time now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
