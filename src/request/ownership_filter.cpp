#include "filters_priv.hpp"
#include "header_rules_priv.hpp"

namespace cuminpitch::request {

std::optional<refusal_reason>
ownership_filter::apply(const filter_context& at, live_request& it) const
{
    it.is_from_entry = it.message->headers.has(hop_header);
    const auto found = at.pools.find(it.pool->id);
    if (found != at.pools.end() && found->second->last_update().is_assigned) {
        return std::nullopt;
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
