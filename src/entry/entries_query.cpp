#include "entry/entries_query_priv.hpp"

#include <algorithm>

namespace cuminpitch::entry {

std::vector<control::entry_record>
committed_entries(const control::fleet_view& view, const core::pool_id& pool)
{
    std::vector<control::entry_record> result;
    const auto list = view.assignments.find(pool);
    if (list == view.assignments.end()) {
        return result;
    }
    for (const auto& id : list->second.entries) {
        if (const auto it = view.entries.find(id); it != view.entries.end()) {
            result.push_back(it->second);
        }
    }
    return result;
}

entries_query make_entries_query(
    core::request_id caller,
    const core::pool_id& pool,
    const control::fleet_view& view,
    core::random_source& random)
{
    entries_query it{caller, pool, committed_entries(view, pool)};
    std::shuffle(it.candidates.begin(), it.candidates.end(), random);
    return it;
}

} // namespace cuminpitch::entry
