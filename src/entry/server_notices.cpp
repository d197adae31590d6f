#include "entry/server_notices_priv.hpp"

#include "entry/news_recipients_priv.hpp"

#include <algorithm>

namespace cuminpitch::entry {
namespace {

/// Records of servers that are not listed are kept, as control may list them again.
constexpr absl::Duration unlisted_record_time = absl::Minutes(5);

} // namespace

server_notices::server_notices(
    control::entry_record self, core::random_source random, telemetry::metrics& metrics)
    : self_(std::move(self)), random_(random), metrics_(metrics)
{
}

void server_notices::set_entries(std::vector<control::entry_record> entries)
{
    entries_ = std::move(entries);
    std::erase_if(entries_, [&](const auto& it) { return it.id == self_.id; });
}

server_notices::record& server_notices::record_of(
    absl::Time now, const server_key& key, std::uint64_t incarnation)
{
    auto& it = records_[key];
    if (it.incarnation < incarnation) {
        it = {incarnation, false, absl::InfinitePast(), now};
    }
    return it;
}

void server_notices::observe(
    absl::Time now,
    const core::pool_id& pool,
    const core::server_id& server,
    std::uint64_t incarnation,
    const request::server_notice& said)
{
    if (said.is_leaving_malformed) {
        count_malformed(pool, "leaving");
    }
    if (said.is_hold_off_malformed) {
        count_malformed(pool, "hold-off");
    }
    const server_key key(pool, server);
    if (said == request::server_notice{} ||
        incarnation != listed_incarnation(pool, server)) {
        return;
    }
    if (said.hold_off > absl::ZeroDuration()) {
        auto& it = record_of(now, key, incarnation);
        it.open_from = std::max(it.open_from, now + said.hold_off);
        metrics_.add("cuminpitch_hold_offs_total", {{"pool", pool.str()}});
        log_.push_back(
            {telemetry::severity::info,
             "server asks to be left alone",
             {{"pool", pool.str()},
              {"server", server.str()},
              {"hold_off_ms", absl::ToInt64Milliseconds(said.hold_off)}}});
        changed_.insert(pool);
    }
    const control::leaving_server leaving{pool, server, incarnation};
    if (said.is_leaving && learn_leaving(now, leaving)) {
        spread(leaving);
    }
}

bool server_notices::learn_leaving(absl::Time now, const control::leaving_server& news)
{
    const server_key key(news.pool, news.server);
    auto& it = record_of(now, key, news.incarnation);
    if (it.is_leaving || it.incarnation != news.incarnation) {
        return false;
    }
    it.is_leaving = true;
    changed_.insert(news.pool);
    metrics_.add("cuminpitch_leaving_servers_total", {{"pool", news.pool.str()}});
    log_.push_back(
        {telemetry::severity::info,
         "server is leaving",
         {{"pool", news.pool.str()}, {"server", news.server.str()}}});
    return true;
}

void server_notices::spread(const control::leaving_server& it)
{
    for (const auto index : choose_news_recipients(random_, entries_.size())) {
        send(entries_[index].internal, control::leaving_news{{it}});
    }
}

void server_notices::receive(absl::Time now, const control::leaving_news& it)
{
    for (const auto& each : it.servers) {
        if (learn_leaving(now, each)) {
            spread(each);
        }
    }
}

void server_notices::reply_to(const core::endpoint& starting)
{
    control::leaving_news reply;
    for (const auto& [key, known] : records_) {
        if (known.is_leaving) {
            reply.servers.push_back({key.first, key.second, known.incarnation});
        }
    }
    if (!reply.servers.empty()) {
        send(starting, std::move(reply));
    }
}

void server_notices::tick(absl::Time now)
{
    for (auto& [key, it] : records_) {
        if (listed_incarnation(key.first, key.second)) {
            it.last_listed = now;
        }
        if (it.open_from != absl::InfinitePast() && now >= it.open_from) {
            it.open_from = absl::InfinitePast();
            changed_.insert(key.first);
        }
    }
    absl::erase_if(records_, [&](const auto& it) {
        const bool says_nothing =
            !it.second.is_leaving && it.second.open_from == absl::InfinitePast();
        return says_nothing || now - it.second.last_listed > unlisted_record_time;
    });
}

void server_notices::apply(request::pool_update& update)
{
    listed_.update(update);
    for (auto it = records_.lower_bound({update.pool, core::server_id()});
         it != records_.end() && it->first.first == update.pool;
         ++it) {
        const auto& known = it->second;
        const auto server = std::find_if(
            update.servers.begin(), update.servers.end(), [&](const auto& each) {
                return each.id == it->first.second &&
                       each.incarnation == known.incarnation;
            });
        if (server != update.servers.end()) {
            server->closed_until =
                known.is_leaving ? absl::InfiniteFuture() : known.open_from;
        }
    }
}

bool server_notices::is_open(
    absl::Time now, const core::pool_id& pool, const core::server_id& server) const
{
    const server_key key(pool, server);
    const auto found = records_.find(key);
    if (found == records_.end() ||
        found->second.incarnation != listed_incarnation(pool, server)) {
        return true;
    }
    return !found->second.is_leaving && now >= found->second.open_from;
}

void server_notices::count_malformed(const core::pool_id& pool, const char* what)
{
    metrics_.add(
        "cuminpitch_malformed_notices_total", {{"pool", pool.str()}, {"notice", what}});
}

void server_notices::send(const core::endpoint& to, control::message it)
{
    out_.push_back({to, std::move(it)});
}

} // namespace cuminpitch::entry
