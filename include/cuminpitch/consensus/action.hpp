#pragma once

#include "cuminpitch/consensus/entry.hpp"
#include "cuminpitch/consensus/message.hpp"
#include "cuminpitch/core/endpoint.hpp"

#include <variant>
#include <vector>

namespace cuminpitch::consensus {

enum class role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

struct write_hard_state
{
    hard_state state;
};

/// Appends entries with consecutive indexes. Stored entries at or after the first of
/// these indexes are replaced.
struct write_entries
{
    std::vector<entry> entries;
};

/// Replaces the stored snapshot with `snapshot` and the stored log with `kept`.
struct write_snapshot
{
    consensus::snapshot snapshot;
    std::vector<entry> kept;
};

/// Makes all earlier writes durable. The next action must not be executed before that.
struct sync_writes
{
};

struct send_message
{
    core::endpoint to;
    envelope message;
};

/// Applies a committed entry to the replicated state. Entries are applied in the order of
/// their indexes; an applied entry never changes.
struct apply_entry
{
    consensus::entry entry;
};

/// Replaces the replicated state with that of the snapshot.
struct restore_snapshot
{
    consensus::snapshot snapshot;
};

struct role_changed
{
    consensus::role role = role::follower;
    core::term term;
    member_id leader; ///< Empty if the leader is unknown.
};

using action = std::variant<
    write_hard_state,
    write_entries,
    write_snapshot,
    sync_writes,
    send_message,
    apply_entry,
    restore_snapshot,
    role_changed>;

} // namespace cuminpitch::consensus
