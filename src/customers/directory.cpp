#include "cuminpitch/customers/directory.hpp"

#include <utility>

namespace cuminpitch::customers {

directory::directory(std::shared_ptr<const config::declarations> declared)
    : declared_(std::move(declared))
{
    for (const auto& [team, limits] : declared_->limits) {
        if (limits.requires_key) {
            teams_with_keys_.insert(team);
        }
    }
    for (const auto& [id, customer] : declared_->customers) {
        auto& by_key = by_team_[id.team];
        for (const auto& key : customer.keys) {
            by_key.emplace(absl::string_view(key.data(), key.size()), &customer);
        }
    }
}

bool directory::requires_key(const core::team_id& team) const
{
    return teams_with_keys_.contains(team);
}

const config::customer_settings*
directory::find(const core::team_id& team, std::string_view key) const
{
    const auto by_key = by_team_.find(team);
    if (by_key == by_team_.end()) {
        return nullptr;
    }
    const auto it = by_key->second.find(absl::string_view(key.data(), key.size()));
    return it == by_key->second.end() ? nullptr : it->second;
}

} // namespace cuminpitch::customers
