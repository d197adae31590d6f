#pragma once

#include "cuminpitch/control/command.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

struct entry_member
{
    entry_record record;
    std::uint64_t incarnation = 0;

    friend bool operator==(const entry_member&, const entry_member&) = default;
};

/// The part of the replicated state that entries hold too.
struct fleet_contents
{
    core::revision revision;
    settings_tree settings;
    absl::btree_map<core::instance_id, entry_member> entries;
    /// A list stays when its pool is deleted: a pool declared again under the same name
    /// must continue from it, or leases of both lists could overlap.
    absl::btree_map<core::pool_id, pool_assignment> assignments;
    /// Servers of pools that every entry serves.
    server_records servers;
    /// The newest document that is in force. Entries get its number only.
    control::document document;

    friend bool operator==(const fleet_contents&, const fleet_contents&) = default;
};

/// The command without what entries don't need.
command for_entries(command it);

/// Applies a command that is known to be effective. Returns whether settings changed.
bool apply_effect(fleet_contents& contents, const numbered_command& it);

/// Appends the paths that a change sets or deletes.
void add_paths(const change& it, std::vector<std::string>& to);

/// All effective commands with revisions in (base, current].
struct delta
{
    core::revision base;
    core::revision current;
    std::vector<numbered_command> commands;

    friend bool operator==(const delta&, const delta&) = default;
};

/// Encoded contents, compressed once for all entries that get them.
struct packed_contents
{
    std::shared_ptr<const std::string> bytes; ///< From wire::pack().
};

/// What brings an entry to a newer revision: the commands it lacks, or everything.
using update =
    std::variant<delta, std::shared_ptr<const fleet_contents>, packed_contents>;

} // namespace cuminpitch::control
