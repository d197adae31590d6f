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

/// The part of the replicated state that entries also hold.
struct fleet_contents
{
    core::revision revision;
    settings_tree settings;
    absl::btree_map<core::instance_id, entry_member> entries;
    /// The list of a deleted pool is kept: a pool declared again under the same name must
    /// continue from it, or leases granted under both lists could overlap.
    absl::btree_map<core::pool_id, pool_assignment> assignments;
    /// Backend servers of pools that every entry serves.
    server_records servers;
    /// The newest document in force. Entries receive only its number.
    control::document document;

    friend bool operator==(const fleet_contents&, const fleet_contents&) = default;
};

/// Returns the command without the parts that entries don't need: the document source.
command without_document_source(command it);

/// Applies a command that is known to change the state. Returns whether it changed
/// settings.
bool apply_command(fleet_contents& contents, const numbered_command& it);

/// Appends the paths that a change sets or deletes.
void append_paths(const change& it, std::vector<std::string>& to);

/// All state-changing commands with revisions in (base, current].
struct delta
{
    core::revision base;
    core::revision current;
    std::vector<numbered_command> commands;

    friend bool operator==(const delta&, const delta&) = default;
};

/// Encoded contents, compressed once for all entries that receive them.
struct packed_contents
{
    std::shared_ptr<const std::string> bytes; ///< Made by wire::pack().
};

/// Brings an entry to a newer revision: either the commands that it lacks, or the
/// complete contents.
using update =
    std::variant<delta, std::shared_ptr<const fleet_contents>, packed_contents>;

} // namespace cuminpitch::control
