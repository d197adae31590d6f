#include "entry/rate_limits_priv.hpp"

#include "cuminpitch/core/overloaded.hpp"
#include "entry/news_recipients_priv.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::entry {
namespace {

using control::rate_phase;
using control::rate_state;

/// A smaller relative change is not logged, because a server may compute its limit anew
/// for each response.
constexpr double logged_change = 0.1;
/// Rate of requests to a server that accepts none. Their responses tell when that ends.
constexpr core::request_rate min_rate{0.1};
/// When a limit ends, the rate is doubled in each of these intervals up to
/// `max_ramp_rate`, so that the entries don't all send their requests to the idle server
/// at once.
constexpr absl::Duration ramp_doubling_time = absl::Milliseconds(500);
constexpr core::request_rate max_ramp_rate{100};
/// Number of entries that a starting entry asks for the limits in force.
constexpr std::size_t entries_asked_at_start = 2;
/// Permits that weren't used expire. The rate of requests exceeds the limit by at most
/// the permits of this time.
constexpr absl::Duration permit_validity = absl::Seconds(1);
/// Owners respond at once.
constexpr absl::Duration response_timeout = absl::Milliseconds(500);
/// Time until an entry without an owner tries to reach one again.
constexpr absl::Duration alone_retry_interval = absl::Seconds(2);
/// An ended limit is remembered, so that late messages don't bring it back.
constexpr absl::Duration ended_limit_time = absl::Minutes(1);

} // namespace

rate_limits::rate_limits(
    control::entry_record self, core::random_source random, telemetry::metrics& metrics)
    : self_(std::move(self)), random_(random), metrics_(metrics)
{
}

void rate_limits::set_entries(std::vector<control::entry_record> entries)
{
    entries_ = std::move(entries);
    for (auto& [server, it] : records_) {
        it.owner = 0;
    }
    if (std::exchange(has_asked_for_news_, entries_.size() > 1)) {
        return;
    }
    for (std::size_t i = 0; has_asked_for_news_ && i < entries_asked_at_start; ++i) {
        send(
            entries_[random_() % entries_.size()].internal, control::rate_news{{}, true});
    }
}

void rate_limits::set_assigned(
    const core::pool_id& pool, std::vector<control::entry_record> it)
{
    if (it.empty()) {
        assigned_.erase(pool);
    } else {
        assigned_[pool] = std::move(it);
    }
}

const std::vector<control::entry_record>&
rate_limits::members(const core::pool_id& pool) const
{
    const auto found = assigned_.find(pool);
    return found == assigned_.end() ? entries_ : found->second;
}

std::vector<control::entry_record> rate_limits::owners(const server_key& server) const
{
    return permit_owners(server.second.str(), members(server.first));
}

core::request_rate rate_limits::allowed_rate(absl::Time now, const record& it) const
{
    const auto rate = std::max(it.limit, min_rate);
    if (it.phase != rate_phase::ending) {
        return rate;
    }
    const auto raised =
        rate * std::exp2(absl::FDivDuration(now - it.stated, ramp_doubling_time));
    return std::min(raised, std::max(rate, max_ramp_rate));
}

core::request_rate
rate_limits::own_share(absl::Time now, const server_key& key, const record& it) const
{
    const auto sharers =
        it.is_alone ? members(key.first).size() : std::size_t{it.requesters};
    return allowed_rate(now, it) *
           (1 / static_cast<double>(std::max<std::size_t>(1, sharers)));
}

rate_state
rate_limits::state_of(absl::Time now, const server_key& server, const record& it) const
{
    return {
        server.first,
        server.second,
        it.incarnation,
        it.limit,
        it.phase,
        std::max(absl::ZeroDuration(), now - it.stated)};
}

bool rate_limits::learn(absl::Time now, const rate_state& state)
{
    const server_key key(state.pool, state.server);
    const auto listed = listed_.incarnation(key.first, key.second);
    if (listed && *listed != state.incarnation) {
        return false;
    }
    const auto stated = now - state.age;
    const auto known = records_.find(key);
    const bool is_known =
        known != records_.end() && known->second.incarnation == state.incarnation;
    if (is_known) {
        auto& it = known->second;
        const bool is_end =
            it.phase == rate_phase::ending && state.phase == rate_phase::ended;
        const bool is_same = it.phase == state.phase && it.phase != rate_phase::in_force;
        if (is_same || (stated < it.stated && !is_end)) {
            return false;
        }
    } else if (
        state.phase == rate_phase::ended ||
        (known != records_.end() && state.incarnation < known->second.incarnation)) {
        return false;
    }
    auto& it = records_[key];
    const bool was_limited = is_known && it.is_limited();
    if (!is_known || state.phase == rate_phase::ended) {
        it = record{};
        it.incarnation = state.incarnation;
    }
    it.limit = state.limit;
    it.phase = state.phase;
    it.stated = stated;
    changed_.insert(state.pool);
    return was_limited != it.is_limited();
}

void rate_limits::observe(
    absl::Time now,
    const core::pool_id& pool,
    const core::server_id& server,
    absl::Time sent,
    const request::rate_statement& said)
{
    const server_key key(pool, server);
    const auto known = records_.find(key);
    const bool is_limited = known != records_.end() && known->second.is_limited();
    // The response may be older than the limit that is known, and then only lowers it.
    const bool may_be_older = is_limited && sent < known->second.stated;
    const auto on_unlimited = [&](const request::rate_unlimited&) {
        if (is_limited && !may_be_older && known->second.phase == rate_phase::in_force) {
            log_limit(key, "server rate limit ended", {});
            known->second.phase = rate_phase::ending;
            known->second.stated = now;
            changed_.insert(pool);
            request_permits(now, key);
        }
    };
    const auto on_malformed = [&](const request::rate_malformed& it) {
        metrics_.add("cuminpitch_malformed_rate_limits_total", {{"pool", pool.str()}});
        log_limit(key, "server rate limit malformed", {{"value", it.text}});
    };
    const auto on_limit = [&](core::request_rate limit) {
        const auto incarnation = listed_.incarnation(key.first, key.second);
        if (!incarnation || (may_be_older && limit > known->second.limit)) {
            return;
        }
        const auto before = is_limited ? known->second.limit : core::request_rate();
        const double change = std::abs(limit.per_second() - before.per_second());
        const bool is_change =
            !is_limited || limit != before || known->second.phase == rate_phase::ending;
        if (!is_limited || change > logged_change * before.per_second()) {
            log_limit(key, "server rate limit named", {{"per_s", limit.per_second()}});
        }
        const rate_state state{
            pool, server, *incarnation, limit, rate_phase::in_force, {}};
        if (learn(now, state)) {
            spread(state);
        } else if (is_change) {
            request_permits(now, key);
        }
    };
    std::visit(
        core::overloaded{
            [](const request::rate_unstated&) {}, on_unlimited, on_malformed, on_limit},
        said);
}

void rate_limits::count_sent(
    absl::Time now, const core::pool_id& pool, const core::server_id& server)
{
    const auto found = records_.find({pool, server});
    if (found == records_.end() || !found->second.is_limited()) {
        return;
    }
    auto& it = found->second;
    refill_own(now, found->first, it);
    if (it.permits.take(now)) {
        return;
    }
    if (it.own_permits >= 1) {
        it.own_permits -= 1;
    } else {
        metrics_.add("cuminpitch_sent_without_permit_total", {{"pool", pool.str()}});
        ++it.debt;
    }
}

void rate_limits::refill_own(absl::Time now, const server_key& server, record& it)
{
    if (it.is_alone) {
        const double more = own_share(now, server, it).requests_in(now - it.own_updated);
        it.own_permits = std::min(1.0, it.own_permits + more);
        it.own_updated = now;
    }
}

void rate_limits::want(
    absl::Time now,
    const core::pool_id& pool,
    const core::server_id& server,
    std::uint32_t count)
{
    const auto found = records_.find({pool, server});
    if (found == records_.end() || !found->second.is_limited()) {
        return;
    }
    auto& it = found->second;
    it.wanted = count;
    it.last_want = now;
    if (!it.awaits_response && now >= it.next_request) {
        request_permits(now, {pool, server});
    }
}

void rate_limits::request_permits(absl::Time now, const server_key& server)
{
    auto& it = records_.at(server);
    const auto all = owners(server);
    if (all.empty()) {
        return;
    }
    it.requested = now;
    it.awaits_response = true;
    const auto& owner = all[std::min(it.owner, all.size() - 1)];
    const control::permit_request request{state_of(now, server, it), it.wanted, now};
    if (owner.id == self_.id) {
        grant(now, self_.internal, request);
    } else {
        send(owner.internal, request);
    }
}

void rate_limits::try_next_owner(absl::Time now, const server_key& server, record& it)
{
    const auto all = owners(server);
    log_limit(
        server,
        "permit owner not responding",
        {{"owner", it.owner < all.size() ? all[it.owner].id.str() : std::string()}});
    metrics_.add("cuminpitch_permit_owners_lost_total", {{"pool", server.first.str()}});
    it.awaits_response = false;
    if (++it.owner < all.size()) {
        request_permits(now, server);
        return;
    }
    it.owner = 0;
    it.next_request = now + alone_retry_interval;
    if (!it.is_alone) {
        it.is_alone = true;
        it.own_permits = 0;
        it.own_updated = now;
        changed_.insert(server.first);
    }
}

void rate_limits::receive(
    absl::Time now, const net::peer& from, const control::permit_request& it)
{
    heard_[from.internal] = now;
    grant(now, from.internal, it);
}

void rate_limits::receive(
    absl::Time now, const net::peer& from, const control::permit_response& it)
{
    heard_[from.internal] = now;
    accept(now, it);
}

void rate_limits::receive(
    absl::Time now, const net::peer& from, const control::rate_news& it)
{
    for (const auto& state : it.states) {
        if (learn(now, state)) {
            spread(state);
        }
    }
    if (!it.wants_reply) {
        return;
    }
    control::rate_news reply;
    for (const auto& [server, known] : records_) {
        if (known.is_limited()) {
            reply.states.push_back(state_of(now, server, known));
        }
    }
    if (!reply.states.empty()) {
        send(from.internal, std::move(reply));
    }
}

void rate_limits::accept(absl::Time now, const control::permit_response& response)
{
    learn(now, response.known);
    const server_key key(response.known.pool, response.known.server);
    const auto found = records_.find(key);
    if (found == records_.end() || !found->second.is_limited() ||
        found->second.incarnation != response.known.incarnation) {
        return;
    }
    auto& it = found->second;
    it.awaits_response = false;
    it.is_alone = false;
    it.own_permits = 0;
    changed_.insert(key.first);
    if (response.is_redirect) {
        it.owner = 0;
        it.next_request = now;
        return;
    }
    it.requesters = std::max(1U, response.requesters);
    if (response.granted == 0) {
        it.next_request = now + response.repeat_after;
        it.next_permit = now + response.expected_wait;
        return;
    }
    const auto expire = response.echo + response.held + permit_validity;
    const auto paid = std::min(it.debt, response.granted);
    it.debt -= paid;
    it.permits.add(now, response.granted - paid, expire);
    it.wanted = 0;
    it.next_request = now;
    it.next_permit = now;
}

void rate_limits::tick(absl::Time now)
{
    std::vector<server_key> all;
    for (const auto& [key, it] : records_) {
        all.push_back(key);
    }
    for (const auto& key : all) {
        tick_record(now, key);
    }
    tick_ledgers(now);
}

void rate_limits::tick_record(absl::Time now, const server_key& server)
{
    auto& it = records_.at(server);
    if (!it.is_limited() || !listed_.incarnation(server.first, server.second)) {
        if (now - it.stated >= ended_limit_time) {
            records_.erase(server);
        }
        return;
    }
    // The owner of the limit may know that the server has named it again.
    const bool decides_end = it.is_alone || ledgers_.contains(server);
    if (it.phase == rate_phase::ending && decides_end &&
        allowed_rate(now, it) >= max_ramp_rate) {
        end(now, server, it);
        return;
    }
    if (now - it.last_want >= permit_validity) {
        it.wanted = 0;
    }
    if (const auto expired = it.permits.remove_expired(now); expired > 0) {
        metrics_.add(
            "cuminpitch_permits_expired_total", {{"pool", server.first.str()}}, expired);
        changed_.insert(server.first);
    }
    const bool had_own = it.own_permits >= 1;
    refill_own(now, server, it);
    if (it.own_permits >= 1 && !had_own) {
        changed_.insert(server.first);
    }
    if (it.awaits_response && now - it.requested >= response_timeout) {
        try_next_owner(now, server, it);
    }
}

void rate_limits::end(absl::Time now, const server_key& server, record& it)
{
    const auto stated = it.stated;
    const auto limit = it.limit;
    const auto incarnation = it.incarnation;
    it = record{};
    it.incarnation = incarnation;
    it.limit = limit;
    it.phase = rate_phase::ended;
    it.stated = stated;
    changed_.insert(server.first);
    if (ledgers_.erase(server) > 0) {
        spread(state_of(now, server, it));
    }
}

void rate_limits::spread(const rate_state& state)
{
    const auto& all = members(state.pool);
    for (const auto index : choose_news_recipients(random_, all.size())) {
        send(all[index].internal, control::rate_news{{state}, false});
    }
}

void rate_limits::send(const core::endpoint& to, control::message it)
{
    if (to != self_.internal) {
        out_.push_back({to, std::move(it)});
    }
}

void rate_limits::update_listed(const request::pool_update& update)
{
    if (!listed_.update(update)) {
        return;
    }
    for (const auto& it : update.servers) {
        const auto known = records_.find({update.pool, it.id});
        if (known != records_.end() && known->second.incarnation != it.incarnation) {
            ledgers_.erase(known->first);
            records_.erase(known);
        }
    }
}

void rate_limits::apply(absl::Time now, request::pool_update& update)
{
    update_listed(update);
    std::size_t limited = 0;
    for (auto it = records_.lower_bound({update.pool, core::server_id()});
         it != records_.end() && it->first.first == update.pool;
         ++it) {
        const auto server = std::find_if(
            update.servers.begin(), update.servers.end(), [&](const auto& each) {
                return each.id == it->first.second;
            });
        if (server == update.servers.end() || !it->second.is_limited()) {
            continue;
        }
        auto& known = it->second;
        ++limited;
        refill_own(now, it->first, known);
        auto& limit = server->limit.emplace();
        limit.rate = known.limit;
        limit.age = now - known.stated;
        limit.share = own_share(now, it->first, known);
        limit.next_permit = known.next_permit;
        if (known.is_alone) {
            limit.permits = known.own_permits >= 1 ? 1 : 0;
            limit.permits_expire = absl::InfiniteFuture();
            limit.granted_by = "own-share";
        } else {
            limit.permits = known.permits.count(now);
            limit.permits_expire = known.permits.expire();
            const auto all = owners(it->first);
            limit.granted_by = known.owner < all.size() ? all[known.owner].id.str() : "";
        }
    }
    if (std::exchange(limited_[update.pool], limited) != limited) {
        metrics_.set(
            "cuminpitch_rate_limited_servers",
            static_cast<double>(limited),
            {{"pool", update.pool.str()}});
    }
}

void rate_limits::log_limit(
    const server_key& server, std::string what, std::vector<telemetry::field> more)
{
    std::vector<telemetry::field> fields = {
        {"pool", server.first.str()}, {"server", server.second.str()}};
    fields.insert(fields.end(), more.begin(), more.end());
    log_.push_back({telemetry::severity::info, std::move(what), std::move(fields)});
}

} // namespace cuminpitch::entry
