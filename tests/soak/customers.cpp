#include "soak/customers.hpp"

#include "cuminpitch/core/hash.hpp"

#include <absl/strings/str_cat.h>

namespace cuminpitch::testing {
namespace {

/// Callers send about 90 requests a second: 9 of the customer "limited" at first, and 45
/// later.
constexpr double limited_rate = 10;
constexpr double limited_burst = 10;
constexpr std::uint64_t usual_percent = 10;
constexpr std::uint64_t overload_percent = 50;
constexpr absl::Duration overload_begin = absl::Seconds(4);

const std::string limited_key = "soak-key-limited";
const std::string plain_key = "soak-key-plain";

} // namespace

bool declares_customers(std::uint64_t seed)
{
    return core::hash64(absl::StrCat("customers ", seed)) % 2 == 0;
}

const std::vector<soak_customer>& soak_customers()
{
    static const std::vector<soak_customer> all = {
        {"Limited", {limited_key}, limited_rate, limited_burst},
        {"Plain", {plain_key, "soak-key-plain-2"}},
        {"Changing", {"soak-key-changing", soak_added_key, soak_revoked_key}}};
    return all;
}

nlohmann::json tenants(std::uint64_t number)
{
    auto out = nlohmann::json::array();
    for (const auto& it : soak_customers()) {
        auto keys = nlohmann::json::array();
        for (const auto& key : it.keys) {
            const bool is_changed = number >= soak_key_change;
            if (key == soak_added_key ? is_changed
                                      : key != soak_revoked_key || !is_changed) {
                keys.push_back(key);
            }
        }
        out.push_back(
            {{"name", it.name},
             {"api-keys", keys},
             {"priority", 1},
             {"rate-per-s", it.rate_per_s},
             {"burst", it.burst}});
    }
    return out;
}

std::string pick_key(core::random_source& random, absl::Duration elapsed)
{
    const auto limited = elapsed < overload_begin ? usual_percent : overload_percent;
    if (random() % 100 < limited) {
        return limited_key;
    }
    const auto which = random() % 100;
    if (which < 10) {
        return soak_revoked_key;
    }
    if (which < 20) {
        return soak_added_key;
    }
    if (which < 25) {
        return absl::StrCat(soak_key_prefix, "unknown");
    }
    if (which < 30) {
        return "";
    }
    return which < 50 ? "soak-key-changing" : plain_key;
}

} // namespace cuminpitch::testing
