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

/// The content of a snapshot of control::fleet_state.
struct fleet_snapshot
{
    core::revision last_index;
    cuminpitch::control::fleet_contents contents;
    std::vector<std::pair<core::team_id, core::revision>> team_revisions;
    /// Ordered from the oldest to the newest.
    std::vector<std::pair<core::change_id, cuminpitch::control::outcome>> outcomes;
    std::vector<cuminpitch::control::numbered_command> history;
};

/// Each decoder below returns errc::malformed_message for a buffer that fails
/// verification or has an unknown union type or an empty id.

/// Encodes a command. A long command is compressed, because it is stored in the log of
/// each member of the group and sent to each of them.
std::string encode(const cuminpitch::control::command& command);
core::result<cuminpitch::control::command> decode_command(std::string_view bytes);
/// Returns whether the bytes of a command are compressed.
bool is_packed_command(std::string_view bytes);

std::string encode(const cuminpitch::control::message& message);
core::result<cuminpitch::control::message> decode_control_message(std::string_view bytes);

/// Encodes and compresses the contents, so that this is done once for many receivers.
std::string pack(const cuminpitch::control::fleet_contents& contents);
core::result<std::shared_ptr<const cuminpitch::control::fleet_contents>>
unpack_contents(std::string_view packed);

std::string encode(const fleet_snapshot& snapshot);
core::result<fleet_snapshot> decode_snapshot(std::string_view bytes);

} // namespace cuminpitch::wire
