#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/core/error.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::control {

/// Changes whose outcome is remembered, and so are safe to resend.
constexpr std::size_t outcome_limit = 65536;
/// Applied changes kept as history, and effective commands kept for deltas.
constexpr std::size_t history_limit = 1024;
/// Members of a list at most: 16 declared and one more during a replacement.
constexpr std::size_t assignment_limit = 17;
/// Problems or paths that an outcome names at most, to bound the replicated state.
constexpr std::size_t outcome_detail_limit = 16;
/// Length of a change id in bytes at most.
constexpr std::size_t change_id_limit = 128;

/// The replicated state machine of the control instances. Every replica applies the same
/// commands at the same log indexes and gets the same state and outcomes.
///
/// The revision is the log index of the last command that changed the state; commands
/// that are refused or have no effect leave it as it is.
class fleet_state
{
public:
    explicit fleet_state(compile_function compile);
    ~fleet_state();
    fleet_state(fleet_state&&) noexcept;
    fleet_state& operator=(fleet_state&&) noexcept;

    /// Applies the committed command at a log index. An index that was applied before is
    /// ignored. A change whose id is known gets its first outcome.
    outcome apply(core::revision index, const command& it);

    core::revision revision() const;
    /// Log index of the last command, effective or not.
    core::revision last_index() const;
    const fleet_contents& contents() const;
    std::optional<outcome> find_outcome(const core::change_id& id) const;
    /// Applied changes with revisions above `after`, oldest first.
    std::vector<numbered_command>
    changes_after(core::revision after, std::size_t limit) const;
    /// The same pointer until the revision changes.
    fleet_view_ptr view() const;
    /// What an entry at revision `base` lacks.
    update update_for(core::revision base) const;

    /// The same, with contents packed.
    update packed_update_for(core::revision base) const;

    std::string snapshot() const;
    /// Replaces the state. On an error the state is unchanged: errc::malformed_message,
    /// or errc::incompatible_format if this release finds the settings invalid.
    core::result<void> restore(std::string_view snapshot);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
