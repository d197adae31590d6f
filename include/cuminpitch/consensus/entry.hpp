#pragma once

#include "cuminpitch/consensus/member.hpp"
#include "cuminpitch/core/ids.hpp"

#include <memory>
#include <string>
#include <variant>

namespace cuminpitch::consensus {

/// First entry of each leader's term. A leader commits only entries of its own term by
/// counting replicas; committing this one commits all entries of earlier terms before it.
struct no_operation
{
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// A command for the replicated state machine, opaque to the consensus code.
struct command
{
    std::string bytes;

    friend bool operator==(const command&, const command&) = default;
};

/// A member set takes effect as soon as it is appended to the log, before it is
/// committed.
using entry_payload = std::variant<no_operation, command, member_set>;

struct entry
{
    core::log_index index;
    core::term term;
    entry_payload payload;

    friend bool operator==(const entry&, const entry&) = default;
};

struct snapshot_info
{
    core::log_index index; ///< Index of the last entry that the snapshot contains.
    core::term term;       ///< Term of that entry.
    member_set members;    ///< Member set in effect at that entry.

    friend bool operator==(const snapshot_info&, const snapshot_info&) = default;
};

struct snapshot
{
    snapshot_info info;
    /// Serialized replicated state. Empty in the first snapshot of a group.
    std::shared_ptr<const std::string> bytes;
};

/// The state besides the log and the snapshot that must survive a restart.
struct hard_state
{
    core::term term;
    member_id voted_for; ///< Empty if this replica has not voted in `term`.
    group_id group;      ///< 0 while this instance belongs to no group.

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

} // namespace cuminpitch::consensus
