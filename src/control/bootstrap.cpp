#include "cuminpitch/control/bootstrap.hpp"

#include "cuminpitch/core/hash.hpp"

#include <absl/strings/str_cat.h>

namespace cuminpitch::control {

consensus::member_id seed_identity(const core::endpoint& internal)
{
    const std::string name = internal.str();
    return consensus::member_id(absl::StrCat(
        absl::Hex(core::hash64(name), absl::kZeroPad16),
        absl::Hex(core::hash64(name, 1), absl::kZeroPad16)));
}

consensus::member_set initial_voters(const std::vector<core::endpoint>& seeds)
{
    std::vector<consensus::member> voters;
    voters.reserve(seeds.size());
    for (const auto& seed : seeds) {
        voters.push_back({seed_identity(seed), core::instance_id(seed.str()), seed});
    }
    return consensus::member_set(std::move(voters));
}

} // namespace cuminpitch::control
