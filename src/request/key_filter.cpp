#include "filters_priv.hpp"
#include "header_rules_priv.hpp"

namespace cuminpitch::request {
namespace {

/// Entries in contact with control have each change after this time. An entry whose state
/// is older can't tell an unknown key from a new one.
constexpr absl::Duration key_confirmation_time = absl::Seconds(2);

} // namespace

std::optional<refusal_reason>
key_filter::apply(const filter_context& at, live_request& it) const
{
    const auto& customers = it.routes->customers();
    const auto& team = it.route->id.team;
    it.hides_key = customers.requires_key(team);
    if (!it.hides_key) {
        return std::nullopt;
    }
    const auto unconfirmed_for = at.now - at.entry.confirmed;
    const auto key = read_key(it.message->headers, at.dialect);
    const auto* found = key ? customers.find(team, *key) : nullptr;
    const bool is_verified = unconfirmed_for <= at.entry.max_key_age;
    if (found != nullptr && is_verified) {
        it.customer = found;
        return std::nullopt;
    }
    if (it.route->is_public) {
        return std::nullopt;
    }
    if (found != nullptr) {
        return refusal_reason::key_unverified;
    }
    return key && unconfirmed_for > key_confirmation_time ? refusal_reason::key_unverified
                                                          : refusal_reason::unknown_key;
}

} // namespace cuminpitch::request
