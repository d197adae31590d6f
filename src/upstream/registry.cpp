#include "cuminpitch/upstream/registry.hpp"

#include <algorithm>

namespace cuminpitch::upstream {
namespace {

// A departure is relayed to peers repeatedly for this long, because heartbeats may be
// lost.
constexpr absl::Duration departure_relay_time = absl::Seconds(10);

// Records are kept for this long after the arrival of their newest announcement. A
// delayed announcement of an old incarnation that arrives later is no longer fresh.
constexpr absl::Duration record_keep_time = absl::Minutes(5);

} // namespace

registry::registry(absl::Time created, absl::Duration departure)
    : created_(created), departure_(departure)
{
}

bool registry::announce(
    absl::Time now, const announcement& it, std::optional<absl::Time> echo)
{
    const bool usable = echo && *echo >= created_ && *echo <= now;
    return take(now, it, usable ? *echo : absl::InfinitePast(), now);
}

bool registry::relay(absl::Time now, const relayed_announcement& it)
{
    return take(now, it.it, now - it.age, now - it.active_age);
}

bool registry::take(
    absl::Time now, const announcement& it, absl::Time sent, absl::Time active_since)
{
    auto [at, added] = servers_.try_emplace(it.server);
    auto& known = at->second;
    if (added || it.incarnation > known.newest.incarnation) {
        known = {it, sent, active_since, now};
        return true;
    }
    if (it.incarnation < known.newest.incarnation) {
        return false;
    }
    known.active_since = std::min(known.active_since, active_since);
    if (it.sequence < known.newest.sequence) {
        return false;
    }
    known.sent = std::max(known.sent, sent);
    if (it.sequence > known.newest.sequence) {
        const auto state = std::max(known.newest.state, it.state);
        known.newest = it;
        known.newest.state = state;
        known.heard = now;
    }
    return true;
}

bool registry::is_fresh(absl::Time now, const record& it) const
{
    return it.newest.state == availability::active && now - it.sent < departure_;
}

double registry::ramp(absl::Time now, const record& it) const
{
    if (it.newest.cold_start <= absl::ZeroDuration()) {
        return 1;
    }
    const double part = absl::FDivDuration(now - it.active_since, it.newest.cold_start);
    return std::clamp(part, 0.0, 1.0);
}

std::vector<eligible_server> registry::eligible(absl::Time now) const
{
    std::vector<eligible_server> result;
    for (const auto& [id, it] : servers_) {
        if (is_fresh(now, it)) {
            result.push_back(
                {id,
                 it.newest.address,
                 it.newest.slots,
                 it.newest.connections,
                 it.newest.incarnation,
                 ramp(now, it)});
        }
    }
    return result;
}

std::vector<relayed_announcement> registry::to_relay(absl::Time now) const
{
    std::vector<relayed_announcement> result;
    for (const auto& [id, it] : servers_) {
        const bool departed = it.newest.state != availability::active &&
                              now - it.heard < departure_relay_time;
        if (departed || is_fresh(now, it)) {
            const auto age = std::min(now - it.sent, record_keep_time);
            result.push_back({it.newest, age, now - it.active_since});
        }
    }
    return result;
}

const announcement* registry::find(const core::server_id& id) const
{
    const auto at = servers_.find(id);
    return at == servers_.end() ? nullptr : &at->second.newest;
}

bool registry::is_warming_up(absl::Time now, const core::server_id& id) const
{
    const auto at = servers_.find(id);
    return at != servers_.end() && ramp(now, at->second) < 1;
}

void registry::prune(absl::Time now)
{
    absl::erase_if(servers_, [&](const auto& it) {
        return now - it.second.heard > record_keep_time;
    });
}

} // namespace cuminpitch::upstream
