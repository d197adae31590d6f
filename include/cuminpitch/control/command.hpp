#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/server_record.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Maps each settings path to its value as JSON text.
using settings_tree = absl::btree_map<std::string, std::string>;

/// Sets the value at one path. Without a value it deletes the path and all paths below.
struct operation
{
    std::string path;
    std::optional<std::string> value; ///< The new value as JSON text.

    friend bool operator==(const operation&, const operation&) = default;
};

/// A complete document of declarations. A document replaces one with a lower number.
struct document
{
    std::uint64_t number =
        0;              ///< Chosen by the operator; 0 means that there is no document.
    std::string source; ///< The text as the operator sent it.

    friend bool operator==(const document&, const document&) = default;
};

/// An operator's change of settings. It is applied atomically.
struct change
{
    core::change_id id;
    core::revision base_revision; ///< The revision that the change was based on.
    std::vector<operation> operations;
    std::int64_t time_ms =
        0; ///< Wall-clock time at the proposer; used only in the history.
    /// The document that the operations were derived from. The change is ignored if its
    /// number isn't higher than that of the current document.
    std::optional<control::document> document;

    friend bool operator==(const change&, const change&) = default;
};

/// Adds an entry or replaces its record.
struct entry_joined
{
    entry_record entry;
    std::uint64_t incarnation =
        0; ///< Wall-clock start time of the entry in microseconds.

    friend bool operator==(const entry_joined&, const entry_joined&) = default;
};

struct entry_removed
{
    core::instance_id id;

    friend bool operator==(const entry_removed&, const entry_removed&) = default;
};

/// Replaces the list of entries that serve a pool.
struct set_assignment
{
    core::pool_id pool;
    std::vector<core::instance_id> entries;
    /// Revision of the list that the proposer saw, 0 if there was none. Without this
    /// check, steps proposed by two successive leaders could together change two members.
    core::revision expected_list_revision;
    /// Set by an operator who has made sure that the members left out are stopped.
    /// Neither the expected revision nor the single-member rule is then checked.
    bool forced = false;

    friend bool operator==(const set_assignment&, const set_assignment&) = default;
};

/// A backend server's first announcement, or one that differs from the previous one. An
/// available server replaces earlier servers at the same address.
struct server_announced
{
    server_record server;

    friend bool operator==(const server_announced&, const server_announced&) = default;
};

using command =
    std::variant<change, entry_joined, entry_removed, set_assignment, server_announced>;

/// Returns the approximate size of the command in memory in bytes.
std::size_t memory_bytes(const command& it);

/// A command that changed the state, with the resulting revision.
struct numbered_command
{
    core::revision revision;
    control::command command;

    friend bool operator==(const numbered_command&, const numbered_command&) = default;
};

} // namespace cuminpitch::control
