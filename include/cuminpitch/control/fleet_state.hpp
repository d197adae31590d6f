#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/control/memory_limits.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/core/error.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::control {

/// Number of changes whose outcome is stored, so that they are safe to resend.
constexpr std::size_t outcome_limit = 65536;
/// Number of applied changes kept as history, and of state-changing commands kept for
/// deltas. `memory_limits` bounds their size.
constexpr std::size_t history_limit = 1024;
/// Maximum members of a pool's list: 16 declared and one more during a replacement.
constexpr std::size_t assignment_limit = 17;
/// Maximum problems or paths in one outcome, to bound the replicated state.
constexpr std::size_t outcome_detail_limit = 16;
/// Maximum length of a change id in bytes.
constexpr std::size_t change_id_limit = 128;

/// The replicated state machine of the control instances. Every replica applies the same
/// commands at the same log indexes and reaches the same state and outcomes.
///
/// The revision is the log index of the last command that changed the state. Commands
/// that are rejected or have no effect don't change it.
class fleet_state
{
public:
    explicit fleet_state(
        compile_function compile, const memory_limits& limits = memory_limits_for(0));
    ~fleet_state();
    fleet_state(fleet_state&&) noexcept;
    fleet_state& operator=(fleet_state&&) noexcept;

    /// Applies the committed command at a log index. An index that was already applied is
    /// ignored. A change with a known id returns the outcome of its first application.
    outcome apply(core::revision index, const command& it);

    core::revision revision() const;
    /// Log index of the last command, whether or not it changed the state.
    core::revision last_index() const;
    const fleet_contents& contents() const;
    /// Whether the pool is declared at the current revision.
    bool declares(const core::pool_id& id) const;
    std::optional<outcome> find_outcome(const core::change_id& id) const;
    /// Up to `limit` applied changes with revisions above `after`, oldest first.
    std::vector<numbered_command>
    changes_after(core::revision after, std::size_t limit) const;
    /// Returns the same pointer until the revision changes.
    fleet_view_ptr view() const;
    /// The update that brings an entry at revision `base` to the current revision.
    update update_for(core::revision base) const;

    /// Like `update_for`, but complete contents are compressed.
    update packed_update_for(core::revision base) const;

    /// Size in bytes of the history, and of the commands kept for deltas.
    std::size_t history_bytes() const;
    std::size_t recent_command_bytes() const;
    /// Whether history was dropped to keep it within `memory_limits::history`, although
    /// there are less than `history_limit` changes.
    bool is_history_cut() const;

    std::string snapshot() const;
    /// Replaces the state. On error the state is unchanged: errc::malformed_message, or
    /// errc::incompatible_format if the settings don't compile in this release. Takes
    /// only as much of the history as `memory_limits` allows.
    core::result<void> restore(std::string_view snapshot);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
