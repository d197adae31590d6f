#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/random.hpp"

#include <vector>

namespace cuminpitch::entry {

/// A caller's request for the entries of a pool that this entry is not assigned to. It is
/// forwarded to the assigned entries one after another, because they know which of them
/// are available.
struct entries_query
{
    core::request_id caller;
    core::pool_id pool;
    /// Entries that have not been asked yet; the last one is asked next.
    std::vector<control::entry_record> candidates;
};

/// Entries of the committed assignment of a pool.
std::vector<control::entry_record>
committed_entries(const control::fleet_view& view, const core::pool_id& pool);

entries_query make_entries_query(
    core::request_id caller,
    const core::pool_id& pool,
    const control::fleet_view& view,
    core::random_source& random);

} // namespace cuminpitch::entry
