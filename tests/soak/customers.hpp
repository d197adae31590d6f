#pragma once

#include "cuminpitch/core/random.hpp"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpitch::testing {

/// Part of each key that callers send, by which servers recognize keys.
inline constexpr const char* soak_key_prefix = "soak-key-";

struct soak_customer
{
    std::string name;
    std::vector<std::string> keys;
    double rate_per_s = 0; ///< 0: no limit.
    double burst = 0;
};

/// Configuration `number` with which one key is added and another is revoked.
inline constexpr std::uint64_t soak_key_change = 6;
inline constexpr const char* soak_added_key = "soak-key-added";
inline constexpr const char* soak_revoked_key = "soak-key-revoked";

/// Whether the seed declares customers. One half of the seeds do.
bool declares_customers(std::uint64_t seed);

/// All customers, with all keys that they have in any configuration.
const std::vector<soak_customer>& soak_customers();

/// The customers of configuration `number`, as the platform writes them.
nlohmann::json tenants(std::uint64_t number);

/// The key of a caller's next request; may be unknown, or empty. `elapsed` is the time
/// since the callers began: the customer with a rate is below it first, and later at five
/// times that load.
std::string pick_key(core::random_source& random, absl::Duration elapsed);

} // namespace cuminpitch::testing
