#pragma once

#include "cuminpitch/consensus/action.hpp"
#include "cuminpitch/core/error.hpp"

#include <optional>
#include <vector>

namespace cuminpitch::consensus {

struct stored_state
{
    consensus::hard_state hard_state;
    std::optional<consensus::snapshot> snapshot;
    /// Entries with consecutive indexes. The first is at or before the index that follows
    /// the snapshot.
    std::vector<entry> entries;
};

/// Durable state of one replica. After an error the replica must not write or send
/// anything: the process must end and load its state again when it restarts.
class storage
{
public:
    virtual ~storage() = default;

    /// Returns the stored state, or errc::damaged_record if the checksum is wrong for the
    /// hard state, the snapshot or any log record before the last one.
    virtual core::result<stored_state> load() = 0;

    /// These two writes are durable only after sync().
    virtual core::result<void> write(const write_hard_state& update) = 0;
    virtual core::result<void> write(const write_entries& update) = 0;
    /// This write and all earlier ones are durable on return.
    virtual core::result<void> write(const write_snapshot& update) = 0;
    virtual core::result<void> sync() = 0;
};

/// Executes the action if it is a write or a sync. Does nothing for other actions.
core::result<void> execute(storage& store, const action& to_execute);

/// Forms a group of these voters by writing its first snapshot to empty storage. To be
/// called on one instance only; the other voters get the member set from it. Repeating
/// the call with the same voters has no effect. Returns errc::conflict if the storage
/// belongs to another group or already has log entries.
core::result<void> form_group(storage& store, const member_set& voters);

} // namespace cuminpitch::consensus
