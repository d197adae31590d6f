#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/server_record.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Settings path to the value as JSON text.
using settings_tree = absl::btree_map<std::string, std::string>;

/// Sets one path, or deletes a path and everything below it if there is no value.
struct operation
{
    std::string path;
    std::optional<std::string> value; ///< JSON text.

    friend bool operator==(const operation&, const operation&) = default;
};

/// A whole document of declarations, of which the highest number wins.
struct document
{
    std::uint64_t number = 0; ///< Chosen by the operator; 0 means "none".
    std::string source;       ///< Text as the operator sent it.

    friend bool operator==(const document&, const document&) = default;
};

/// An operator's change of settings. Applied as a whole or not at all.
struct change
{
    core::change_id id;
    core::revision base_revision; ///< Revision that the operator saw.
    std::vector<operation> operations;
    std::int64_t time_ms = 0; ///< Wall-clock time at the proposer, for the history only.
    /// The document that the operations bring into force. Without effect if its number
    /// isn't above that of the present one.
    std::optional<control::document> document;

    friend bool operator==(const change&, const change&) = default;
};

/// Adds an entry or replaces its record.
struct entry_joined
{
    entry_record entry;
    std::uint64_t incarnation = 0; ///< Start time of the entry in us of wall-clock time.

    friend bool operator==(const entry_joined&, const entry_joined&) = default;
};

struct entry_removed
{
    core::instance_id id;

    friend bool operator==(const entry_removed&, const entry_removed&) = default;
};

/// Replaces the list of a pool.
struct set_assignment
{
    core::pool_id pool;
    std::vector<core::instance_id> entries;
    /// List revision that the proposer saw, 0 for no list. Without this check, steps
    /// proposed by two successive leaders could together change two members.
    core::revision expected_list_revision;
    /// By an operator who made sure that the missing members are stopped: neither the
    /// expected revision nor the single-member rule is checked.
    bool forced = false;

    friend bool operator==(const set_assignment&, const set_assignment&) = default;
};

/// A backend server announced itself, or a change of what it said before. It replaces
/// older servers at the same address.
struct server_announced
{
    server_record server;

    friend bool operator==(const server_announced&, const server_announced&) = default;
};

using command =
    std::variant<change, entry_joined, entry_removed, set_assignment, server_announced>;

/// A command that changed the state, with the revision that it made.
struct numbered_command
{
    core::revision revision;
    control::command command;

    friend bool operator==(const numbered_command&, const numbered_command&) = default;
};

} // namespace cuminpitch::control
