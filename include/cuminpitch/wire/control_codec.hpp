#pragma once

#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/control/outcome.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/error.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
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
    /// Whether the snapshot has older history than was decoded.
    bool is_history_cut = false;
};

/// The same as references, so that encoding needs no copy of the state.
struct fleet_snapshot_view
{
    core::revision last_index;
    const cuminpitch::control::fleet_contents& contents;
    const absl::btree_map<core::team_id, core::revision>& team_revisions;
    /// Ids of all outcomes, from the oldest to the newest.
    const std::deque<core::change_id>& outcome_order;
    const absl::flat_hash_map<core::change_id, cuminpitch::control::outcome>& outcomes;
    const std::deque<cuminpitch::control::numbered_command>& history;
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

/// Encodes and compresses the contents without the source of the document, so that this
/// is done once for many receivers.
std::string pack(const cuminpitch::control::fleet_contents& contents);
core::result<std::shared_ptr<const cuminpitch::control::fleet_contents>>
unpack_contents(std::string_view packed);

std::string encode(const fleet_snapshot_view& snapshot);
/// Decodes only the newest part of the history that takes at most `max_history_bytes` in
/// memory.
core::result<fleet_snapshot>
decode_snapshot(std::string_view bytes, std::size_t max_history_bytes);

} // namespace cuminpitch::wire
