#include "entry/server_reach_priv.hpp"

#include <algorithm>
#include <iterator>

namespace cuminpitch::entry {
namespace {

/// Time between two probes of the servers of a pool. The users allow three a second.
constexpr absl::Duration probe_interval = absl::Milliseconds(350);
/// Time between two searches while no entry is known to reach the servers, and else.
constexpr absl::Duration search_interval = absl::Milliseconds(100);
constexpr absl::Duration refresh_interval = absl::Milliseconds(400);
/// An entry that hasn't reported for this long no longer gets requests.
constexpr absl::Duration target_timeout = absl::Milliseconds(1200);
/// A connection that was made longer ago than this is confirmed by a probe.
constexpr absl::Duration contact_validity = absl::Seconds(2);
/// Longer than a probe takes.
constexpr absl::Duration query_timeout = absl::Milliseconds(500);
/// Number of entries to which an entry forwards its requests.
constexpr std::size_t max_targets = 4;
constexpr std::size_t entries_per_search = 3; ///< Of this failure domain, and of others.
constexpr std::size_t servers_per_query = 3;
/// A path counts as lost for pools without requests if no connection is made to so many
/// servers of all pools together.
constexpr std::size_t min_failed_servers = health::reach_monitor_options{}.min_servers;
/// Failed servers of a pool from which on its path is probed and other entries are asked.
constexpr std::size_t min_suspect_servers = 2;
/// Servers probed at a time while it isn't known whether a path is lost.
constexpr std::size_t probes_of_suspect_path = 5;
/// Load, in requests, that makes an entry of this failure domain equal to an idle one of
/// another domain, as bytes between domains are expensive.
constexpr double other_domain_load = 10;

} // namespace

bool server_reach::pool_reach::is_suspect() const
{
    return monitor.is_lost() ||
           monitor.failures() >= std::min(min_suspect_servers, servers.size());
}

server_reach::server_reach(
    control::entry_record self, core::random_source random, telemetry::metrics& metrics)
    : self_(std::move(self)), random_(random), metrics_(metrics)
{
}

void server_reach::set_entries(std::vector<control::entry_record> entries)
{
    entries_.clear();
    domain_entries_.clear();
    other_entries_.clear();
    for (auto& it : entries) {
        if (it.id != self_.id) {
            auto& list = it.failure_domain == self_.failure_domain ? domain_entries_
                                                                   : other_entries_;
            list.push_back(it.id);
            entries_[it.id] = std::move(it);
        }
    }
}

void server_reach::set_servers(
    const core::pool_id& pool, std::vector<core::server_id> servers)
{
    auto& it = pools_[pool];
    it.monitor.set_servers(servers);
    it.servers = std::move(servers);
}

void server_reach::remove_pool(const core::pool_id& pool)
{
    pools_.erase(pool);
}

void server_reach::set_load(std::size_t in_flight, bool accepts_requests)
{
    in_flight_ = in_flight;
    accepts_requests_ = accepts_requests;
}

server_reach::pool_reach* server_reach::find(const core::pool_id& pool)
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : &found->second;
}

void server_reach::observe(absl::Time now, const request::observation& it)
{
    auto* pool = find(it.pool);
    if (pool == nullptr) {
        return;
    }
    const absl::Time began = now - it.duration;
    if (it.is_new_connection) {
        pool->monitor.count_connected(now, began);
    }
    switch (it.path) {
    case request::path_result::answered:
        pool->monitor.count_answered(now);
        break;
    case request::path_result::not_connected:
        pool->monitor.count_not_connected(now, began, it.server);
        break;
    case request::path_result::broken: {
        const bool is_silent = it.what == request::observation::kind::overdue;
        pool->monitor.count_broken(now, is_silent ? began : now, it.server);
        break;
    }
    case request::path_result::unknown:
        break;
    }
    answer_queries(now, it.pool, *pool);
    detect_loss_of_all(now);
    report_changes(it.pool, *pool);
}

void server_reach::observe_probe(
    absl::Time now,
    absl::Time began,
    const core::pool_id& id,
    const core::server_id& server,
    bool has_answered)
{
    auto* pool = find(id);
    if (pool == nullptr) {
        return;
    }
    if (has_answered) {
        pool->monitor.count_connected(now, began);
        pool->monitor.count_answered(now);
    } else {
        pool->monitor.count_not_connected(now, began, server);
    }
    answer_queries(now, id, *pool);
    detect_loss_of_all(now);
    report_changes(id, *pool);
}

/// If the servers of all pools fail, pools with few requests need not find out by
/// themselves.
void server_reach::detect_loss_of_all(absl::Time now)
{
    std::size_t failed = 0;
    absl::Time first = absl::InfiniteFuture();
    absl::Time connected = absl::InfinitePast();
    for (const auto& [id, it] : pools_) {
        failed += it.monitor.failures_to_connect();
        first = std::min(first, it.monitor.first_failure());
        connected = std::max(connected, it.monitor.last_connected());
    }
    if (failed < min_failed_servers || connected >= first) {
        return;
    }
    for (auto& [id, it] : pools_) {
        it.monitor.mark_lost(now);
        report_changes(id, it);
    }
}

void server_reach::report_changes(const core::pool_id& id, pool_reach& pool)
{
    const bool is_lost = pool.monitor.is_lost();
    if (is_lost == pool.was_lost) {
        return;
    }
    pool.was_lost = is_lost;
    changed_.insert(id);
    metrics_.set("cuminpitch_path_is_lost", is_lost ? 1 : 0, {{"pool", id.str()}});
    if (is_lost) {
        metrics_.add("cuminpitch_paths_lost_total", {{"pool", id.str()}});
    } else {
        pool.targets.clear();
        pool.candidates.clear();
    }
    log_.push_back(
        {telemetry::severity::warning,
         is_lost ? "path to servers lost" : "path to servers restored",
         {{"pool", id.str()},
          {"failed_servers", static_cast<std::int64_t>(pool.monitor.failures())},
          {"servers", static_cast<std::int64_t>(pool.servers.size())}}});
}

void server_reach::tick(absl::Time now)
{
    for (auto& [id, pool] : pools_) {
        pool.monitor.tick(now);
        const auto n = pool.targets.size();
        absl::erase_if(pool.targets, [&](const auto& it) {
            return now - it.second.heard > target_timeout || !entries_.contains(it.first);
        });
        if (pool.targets.size() != n) {
            changed_.insert(id);
        }
        absl::erase_if(pool.probed, [&](const auto& it) {
            return now - it.second > probe_interval;
        });
        std::erase_if(
            pool.queries, [&](const pending_query& it) { return now > it.expires; });
        if (pool.is_suspect()) {
            probe_servers(now, id, pool);
            search(now, id, pool);
        }
    }
}

/// Probes one server of a lost path at a time, and several while it isn't known whether
/// the path is lost.
void server_reach::probe_servers(
    absl::Time now, const core::pool_id& id, pool_reach& pool)
{
    if (now < pool.next_probe || pool.servers.empty()) {
        return;
    }
    pool.next_probe = now + probe_interval;
    const std::size_t n = pool.monitor.is_lost() ? 1 : probes_of_suspect_path;
    for (std::size_t i = 0; i < n; ++i) {
        start_probe(now, id, pool, pool.servers[random_() % pool.servers.size()]);
    }
}

void server_reach::start_probe(
    absl::Time now,
    const core::pool_id& id,
    pool_reach& pool,
    const core::server_id& server)
{
    if (pool.probed.try_emplace(server, now).second) {
        metrics_.add("cuminpitch_path_probes_total", {{"pool", id.str()}});
        probes_.push_back({id, server});
    }
}

void server_reach::add_random_entries(
    absl::btree_set<core::instance_id>& to, std::size_t n, bool in_own_domain)
{
    const auto& from = in_own_domain ? domain_entries_ : other_entries_;
    for (std::size_t i = 0; i < n && !from.empty(); ++i) {
        to.insert(from[random_() % from.size()]);
    }
}

void server_reach::search(absl::Time now, const core::pool_id& id, pool_reach& pool)
{
    if (now < pool.next_search) {
        return;
    }
    pool.next_search = now + (pool.targets.empty() ? search_interval : refresh_interval);
    absl::btree_set<core::instance_id> asked;
    for (const auto& [entry, it] : pool.targets) {
        asked.insert(entry);
    }
    if (pool.targets.size() < max_targets) {
        asked.merge(pool.candidates);
        add_random_entries(asked, entries_per_search, true);
        add_random_entries(asked, entries_per_search, false);
    }
    pool.candidates.clear();
    control::reach_query query;
    query.pool = id;
    query.servers = pool.monitor.failed_servers();
    if (query.servers.empty()) {
        query.servers = pool.servers;
    }
    for (std::size_t n = 0; n < std::min(servers_per_query, query.servers.size()); ++n) {
        std::swap(
            query.servers[n], query.servers[n + random_() % (query.servers.size() - n)]);
    }
    query.servers.resize(std::min(servers_per_query, query.servers.size()));
    for (const auto& entry : asked) {
        if (const auto found = entries_.find(entry); found != entries_.end()) {
            out_.push_back({found->second.internal, query});
        }
    }
}

void server_reach::receive(
    absl::Time now, const net::peer& from, const control::reach_query& it)
{
    auto* pool = find(it.pool);
    if (pool == nullptr) {
        return;
    }
    if (pool->monitor.is_lost() || !accepts_requests_) {
        send_report(from.internal, it.pool, *pool, false);
        return;
    }
    const auto is_from_sender = [&](const pending_query& other) {
        return other.from == from.internal;
    };
    std::erase_if(pool->queries, is_from_sender);
    pool->queries.push_back({from.internal, now + query_timeout});
    answer_queries(now, it.pool, *pool);
    if (std::none_of(pool->queries.begin(), pool->queries.end(), is_from_sender)) {
        return;
    }
    std::vector<core::server_id> listed;
    std::copy_if(
        it.servers.begin(),
        it.servers.end(),
        std::back_inserter(listed),
        [&](const core::server_id& server) {
            return std::binary_search(pool->servers.begin(), pool->servers.end(), server);
        });
    if (!listed.empty() && now >= pool->next_probe) {
        pool->next_probe = now + probe_interval;
        start_probe(now, it.pool, *pool, listed[random_() % listed.size()]);
    }
}

/// Answers the queries if this entry has made a connection lately or has lost its own
/// path.
void server_reach::answer_queries(
    absl::Time now, const core::pool_id& id, pool_reach& pool)
{
    const bool is_lost = pool.monitor.is_lost();
    const bool is_reached =
        !pool.is_suspect() && now - pool.monitor.last_connected() <= contact_validity;
    if (is_lost || is_reached) {
        for (const auto& it : std::exchange(pool.queries, {})) {
            send_report(it.from, id, pool, is_reached);
        }
    }
}

void server_reach::send_report(
    const core::endpoint& to,
    const core::pool_id& id,
    const pool_reach& pool,
    bool reaches)
{
    control::reach_report it;
    it.pool = id;
    it.reaches = reaches && accepts_requests_;
    it.in_flight = static_cast<std::uint32_t>(in_flight_);
    for (const auto& [entry, known] : pool.targets) {
        it.others.push_back(entry);
    }
    out_.push_back({to, std::move(it)});
}

void server_reach::receive(
    absl::Time now, const net::peer& from, const control::reach_report& it)
{
    auto* pool = find(it.pool);
    if (pool == nullptr || !pool->is_suspect() || !entries_.contains(from.id)) {
        return;
    }
    const bool had_targets = !pool->targets.empty();
    if (!it.reaches) {
        if (pool->targets.erase(from.id) > 0) {
            changed_.insert(it.pool);
        }
    } else if (pool->targets.contains(from.id) || pool->targets.size() < max_targets) {
        pool->targets[from.id] = {now, it.in_flight};
        changed_.insert(it.pool);
    }
    for (const auto& entry : it.others) {
        if (entry != self_.id && pool->candidates.size() < max_targets) {
            pool->candidates.insert(entry);
        }
    }
    if (!had_targets && pool->targets.empty() && !pool->candidates.empty()) {
        pool->next_search = now;
    }
}

bool server_reach::is_lost(const core::pool_id& pool) const
{
    const auto found = pools_.find(pool);
    return found != pools_.end() && found->second.monitor.is_lost();
}

bool server_reach::any_lost() const
{
    return std::any_of(pools_.begin(), pools_.end(), [](const auto& it) {
        return it.second.monitor.is_lost();
    });
}

bool server_reach::is_idle() const
{
    return std::all_of(pools_.begin(), pools_.end(), [](const auto& it) {
        return !it.second.is_suspect() && it.second.queries.empty();
    });
}

void server_reach::apply(request::pool_update& it) const
{
    const auto found = pools_.find(it.pool);
    if (found == pools_.end() || !found->second.monitor.is_lost()) {
        return;
    }
    it.is_path_lost = true;
    for (const auto& [entry, known] : found->second.targets) {
        const auto record = entries_.find(entry);
        if (record == entries_.end()) {
            continue;
        }
        const bool is_far = record->second.failure_domain != self_.failure_domain;
        it.entries.push_back(
            {entry,
             record->second.http,
             true,
             known.in_flight + (is_far ? other_domain_load : 0)});
    }
}

} // namespace cuminpitch::entry
