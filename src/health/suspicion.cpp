#include "cuminpitch/health/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::health {
namespace {

/// Levels below this are too low to change the choice of a server and count as 0.
constexpr double negligible = 0.02;

} // namespace

double suspicion::decayed_level(absl::Time now, const record& it) const
{
    return it.level *
           std::exp2(-absl::FDivDuration(now - it.updated, options_.half_life));
}

void suspicion::raise(absl::Time now, const core::server_id& server, double amount)
{
    auto& it = records_[server];
    it.level = std::min(options_.max_level, decayed_level(now, it) + amount);
    it.updated = now;
}

void suspicion::count_failure(absl::Time now, const core::server_id& server)
{
    constexpr double first_failure = 1;
    const bool has_failed = level(now, server) >= first_failure / 2;
    raise(now, server, has_failed ? options_.repeated_failure : first_failure);
}

void suspicion::count_success(const core::server_id& server)
{
    if (const auto it = records_.find(server); it != records_.end()) {
        it->second.level *= options_.success_factor;
    }
}

void suspicion::count_shed(absl::Time now, const core::server_id& server)
{
    if (level(now, server) < options_.shed) {
        raise(now, server, options_.shed);
    }
}

double suspicion::level(absl::Time now, const core::server_id& server) const
{
    const auto it = records_.find(server);
    const double result = it == records_.end() ? 0 : decayed_level(now, it->second);
    return result < negligible ? 0 : result;
}

absl::Time suspicion::last_raised(const core::server_id& server) const
{
    const auto it = records_.find(server);
    return it == records_.end() ? absl::InfinitePast() : it->second.updated;
}

bool suspicion::any_suspected(absl::Time now) const
{
    return std::any_of(records_.begin(), records_.end(), [&](const auto& it) {
        return decayed_level(now, it.second) >= negligible;
    });
}

void suspicion::remove_decayed(absl::Time now)
{
    absl::erase_if(records_, [&](const auto& it) {
        return decayed_level(now, it.second) < negligible;
    });
}

} // namespace cuminpitch::health
