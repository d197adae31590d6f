#include "filters_priv.hpp"

namespace cuminpitch::request {

std::optional<refusal_reason>
ownership_filter::apply(const filter_context& at, live_request& it) const
{
    const auto found = at.pools.find(it.pool->id);
    if (found != at.pools.end() && found->second->last_update().is_assigned) {
        const bool is_path_lost = found->second->last_update().is_path_lost;
        it.needs_forwarding = !it.is_from_entry && found->second->forwards();
        return it.is_from_entry && is_path_lost ? std::optional(refusal_reason::path_lost)
                                                : std::nullopt;
    }
    if (it.is_from_entry) {
        return refusal_reason::not_assigned;
    }
    if (found == at.pools.end()) {
        return refusal_reason::no_entry;
    }
    it.needs_forwarding = true;
    return std::nullopt;
}

} // namespace cuminpitch::request
