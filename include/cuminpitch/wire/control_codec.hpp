#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/error.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpitch::wire {

/// Everything that a snapshot of control::fleet_state stores.
struct fleet_snapshot
{
    core::revision last_index;
    cuminpitch::control::fleet_contents contents;
    std::vector<std::pair<core::team_id, core::revision>> team_revisions;
    /// Oldest first.
    std::vector<std::pair<core::change_id, cuminpitch::control::outcome>> outcomes;
    std::vector<cuminpitch::control::numbered_command> history;
};

/// Each decoder returns errc::malformed_message for a buffer that fails verification or
/// has an unknown kind or an empty id.

/// A long command is compressed: it is kept in the log, on each disk, and goes to each
/// other member of the group.
std::string encode(const cuminpitch::control::command& it);
core::result<cuminpitch::control::command> decode_command(std::string_view bytes);
/// Whether the bytes of a command are compressed.
bool is_packed_command(std::string_view bytes);

std::string encode(const cuminpitch::control::message& it);
core::result<cuminpitch::control::message> decode_control_message(std::string_view bytes);

/// Contents as one compressed block, to be encoded once for many receivers.
std::string pack(const cuminpitch::control::fleet_contents& it);
core::result<std::shared_ptr<const cuminpitch::control::fleet_contents>>
unpack_contents(std::string_view packed);

std::string encode(const fleet_snapshot& it);
core::result<fleet_snapshot> decode_snapshot(std::string_view bytes);

} // namespace cuminpitch::wire
