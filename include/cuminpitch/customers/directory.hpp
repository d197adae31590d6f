#pragma once

#include "cuminpitch/config/declarations.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string_view>

namespace cuminpitch::customers {

/// Finds the customers of each team by their keys. Immutable. Refers to the keys in the
/// declarations and copies none of them.
class directory
{
public:
    explicit directory(std::shared_ptr<const config::declarations> declared);

    /// Whether requests of the team's routes need a key, unless the route is public.
    bool requires_key(const core::team_id& team) const;

    /// Returns the customer of the team that has the key, or null. Takes constant time.
    /// The result is valid as long as the directory.
    const config::customer_settings*
    find(const core::team_id& team, std::string_view key) const;

private:
    using customer_by_key =
        absl::flat_hash_map<absl::string_view, const config::customer_settings*>;

    std::shared_ptr<const config::declarations> declared_;
    absl::flat_hash_map<core::team_id, customer_by_key> by_team_;
    absl::flat_hash_set<core::team_id> teams_with_keys_;
};

} // namespace cuminpitch::customers
