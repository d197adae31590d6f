#include "entry/rate_limits_priv.hpp"

#include <algorithm>

namespace cuminpitch::entry {
namespace {

/// Part of the rate that an owner grants while the one before it doesn't respond to it.
/// The other may still grant for entries that reach it: together the three grant at most
/// one and a half times the rate.
constexpr double substitute_share = 0.25;
constexpr absl::Duration owner_check_interval = absl::Milliseconds(250);
constexpr absl::Duration owner_alive_time = absl::Seconds(1);
constexpr absl::Duration unused_ledger_time = absl::Seconds(10);

} // namespace

void rate_limits::grant(
    absl::Time now, const core::endpoint& from, const control::permit_request& request)
{
    const server_key key(request.known.pool, request.known.server);
    learn(now, request.known);
    const auto known = records_.find(key);
    if (known == records_.end() ||
        known->second.incarnation != request.known.incarnation) {
        return;
    }
    control::permit_response response;
    response.echo = request.sent;
    if (!known->second.is_limited()) {
        response.known = state_of(now, key, known->second);
        respond(now, from, response);
        return;
    }
    const auto all = owners(key);
    const auto found = ledgers_.find(key);
    if (found == ledgers_.end() ||
        found->second.incarnation != request.known.incarnation) {
        ledgers_.insert_or_assign(
            key,
            ledger{
                permit_ledger(now, core::random_source(random_())),
                request.known.incarnation});
    }
    auto& it = ledgers_.at(key);
    it.used = now;
    it.position = static_cast<std::size_t>(
        std::find_if(
            all.begin(),
            all.end(),
            [&](const auto& owner) { return owner.id == self_.id; }) -
        all.begin());
    response.known = state_of(now, key, known->second);
    if (owner_before_responds(now, key, it)) {
        response.is_redirect = true;
        respond(now, from, response);
        return;
    }
    if (request.wanted > 0) {
        it.permits.add(now, {from, request.sent, request.wanted});
    }
    update_rate(now, known->second, it);
    if (send_grants(now, key, it).contains(from)) {
        return;
    }
    if (request.wanted > 0) {
        response.expected_wait = it.permits.expected_wait();
        response.repeat_after = it.permits.repeat_after();
    }
    response.requesters = static_cast<std::uint32_t>(it.permits.requesters());
    respond(now, from, response);
}

void rate_limits::update_rate(absl::Time now, const record& known, ledger& it)
{
    const double part = it.position == 0 ? 1 : substitute_share;
    it.permits.set_rate(now, allowed_rate(now, known) * part);
}

bool rate_limits::owner_before_responds(
    absl::Time now, const server_key& server, ledger& it)
{
    const auto all = owners(server);
    const auto before = std::min(it.position, all.size());
    bool responds = false;
    for (std::size_t i = 0; i < before; ++i) {
        const auto heard = heard_.find(all[i].internal);
        responds =
            responds || (heard != heard_.end() && now - heard->second < owner_alive_time);
    }
    if (now >= it.next_check) {
        it.next_check = now + owner_check_interval;
        for (std::size_t i = 0; i < before; ++i) {
            send(
                all[i].internal,
                control::permit_request{
                    state_of(now, server, records_.at(server)), 0, now});
        }
    }
    return responds;
}

absl::btree_set<core::endpoint>
rate_limits::send_grants(absl::Time now, const server_key& server, ledger& it)
{
    absl::btree_set<core::endpoint> out;
    const auto grants = it.permits.take_grants(now);
    for (const auto& each : grants) {
        out.insert(each.to);
        control::permit_response response;
        response.known = state_of(now, server, records_.at(server));
        response.echo = each.echo;
        response.held = each.held;
        response.granted = each.count;
        response.requesters =
            static_cast<std::uint32_t>(it.permits.requesters() + grants.size());
        metrics_.add(
            "cuminpitch_permits_granted_total",
            {{"pool", server.first.str()}},
            each.count);
        respond(now, each.to, response);
    }
    return out;
}

void rate_limits::respond(
    absl::Time now, const core::endpoint& to, const control::permit_response& it)
{
    if (to == self_.internal) {
        accept(now, it);
    } else {
        send(to, it);
    }
}

void rate_limits::tick_ledgers(absl::Time now)
{
    for (auto it = ledgers_.begin(); it != ledgers_.end();) {
        const auto known = records_.find(it->first);
        if (known == records_.end() || !known->second.is_limited() ||
            now - it->second.used >= unused_ledger_time) {
            it = ledgers_.erase(it);
            continue;
        }
        update_rate(now, known->second, it->second);
        send_grants(now, it->first, it->second);
        ++it;
    }
}

} // namespace cuminpitch::entry
