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
    absl::Time now, const announcement& received, std::optional<absl::Time> echo)
{
    const bool usable = echo && *echo >= created_ && *echo <= now;
    return apply(now, received, usable ? *echo : absl::InfinitePast(), now);
}

bool registry::relay(absl::Time now, const relayed_announcement& relayed)
{
    return apply(now, relayed.it, now - relayed.age, now - relayed.active_age);
}

bool registry::apply(
    absl::Time now,
    const announcement& received,
    absl::Time sent,
    absl::Time active_since)
{
    auto [at, added] = servers_.try_emplace(received.server);
    auto& known = at->second;
    if (added || received.incarnation > known.newest.incarnation) {
        known = {received, sent, active_since, now};
        return true;
    }
    if (received.incarnation < known.newest.incarnation) {
        return false;
    }
    known.active_since = std::min(known.active_since, active_since);
    if (received.sequence < known.newest.sequence) {
        return false;
    }
    known.sent = std::max(known.sent, sent);
    if (received.sequence > known.newest.sequence) {
        const auto state = std::max(known.newest.state, received.state);
        known.newest = received;
        known.newest.state = state;
        known.newest_arrival = now;
    }
    return true;
}

bool registry::is_fresh(absl::Time now, const record& server) const
{
    return server.newest.state == availability::active && now - server.sent < departure_;
}

double registry::ramp(absl::Time now, const record& server) const
{
    if (server.newest.cold_start <= absl::ZeroDuration()) {
        return 1;
    }
    const double fraction =
        absl::FDivDuration(now - server.active_since, server.newest.cold_start);
    return std::clamp(fraction, 0.0, 1.0);
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
                              now - it.newest_arrival < departure_relay_time;
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
        return now - it.second.newest_arrival > record_keep_time;
    });
}

} // namespace cuminpitch::upstream
