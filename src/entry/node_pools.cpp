#include "entry/node_impl_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

namespace cuminpitch::entry {
namespace {

/// Time between two updates of decaying penalties. The suspicion of a server has a
/// half-life of 5 s, so it changes little in between.
constexpr absl::Duration penalty_interval = absl::Milliseconds(100);
constexpr absl::Duration choice_log_interval = absl::Seconds(1);
/// An entry that received at least this many requests within `activity_interval` receives
/// the occupancy reports of others. With fewer requests it hardly adds to the load.
constexpr std::uint64_t min_active_requests = 15;
/// An entry that has not announced its activity for this long is no longer active.
constexpr absl::Duration activity_timeout = absl::Seconds(5);
/// Time after which unchanged occupancy is reported again, because receivers discard it
/// after `occupancy_timeout`, which is 1 s.
constexpr absl::Duration occupancy_repeat_interval = absl::Milliseconds(500);
/// Time between two announcements that this entry is active.
constexpr absl::Duration activity_interval = absl::Seconds(3);

node_action send_message(const core::endpoint& to, const control::message& message)
{
    return action::send_frame{
        to, net::frame{net::channel::control, wire::encode(message)}};
}

} // namespace

void node::impl::refresh()
{
    last_refresh_ = now_;
    tick_pools();
    update_condition();
}

void node::impl::tick_pools()
{
    for (auto& [id, pool] : pools_) {
        pool->health().set_list_confirmed(link_.is_confirmed());
        auto actions = pool->health().tick(now_);
        for (auto& it : actions) {
            std::visit([&, &pool_id = id](auto& what) { run(pool_id, what); }, it);
        }
        update_dispatcher(pool->update(now_, *view_));
    }
}

/// Requests to a pool without servers are refused, so its first server is added
/// immediately and not at the next tick.
void node::impl::update_if_without_servers(const core::pool_id& pool)
{
    if (!dispatcher_.has_servers(pool)) {
        update_dispatcher(pools_.at(pool)->update(now_, *view_));
    }
}

void node::impl::update_condition()
{
    const bool was_isolated = condition_.is_isolated;
    condition_.is_isolated = is_isolated();
    condition_.is_refusing = now_ >= refuse_at_;
    condition_.in_flight = dispatcher_.in_flight();
    dispatcher_.set_entry(
        {condition_.is_isolated,
         condition_.is_refusing,
         condition_.is_draining,
         ends_at_,
         link_.last_response(),
         link_.replica().revision(),
         declared_,
         options_.max_key_age});
    if (condition_.is_isolated != was_isolated) {
        log(telemetry::severity::warning,
            condition_.is_isolated ? "isolated" : "connected");
    }
}

/// An entry that is alone in the fleet is never isolated, because it can't tell a fault
/// of its own from a fault of control.
bool node::impl::is_isolated() const
{
    const bool has_peers = view_ && view_->entries.size() > 1;
    return has_peers &&
           now_ - std::max(link_.last_contact(), started_) >= options_.isolation_timeout;
}

bool node::impl::is_assigned_here(const core::pool_id& pool) const
{
    const auto list = view_->assignments.find(pool);
    if (list == view_->assignments.end()) {
        return false;
    }
    const auto& entries = list->second.entries;
    return std::find(entries.begin(), entries.end(), options_.self.id) != entries.end();
}

void node::impl::apply_view()
{
    if (link_.replica().revision() == core::revision() ||
        view_ == link_.replica().view()) {
        return;
    }
    const auto previous = std::exchange(view_, link_.replica().view());
    const bool same_declarations =
        previous && previous->declarations == view_->declarations;
    // Before its first declarations, a fleet already has a state.
    const bool is_declared =
        routes_ || view_->document_number > 0 || !view_->declarations->routes.empty();
    if (is_declared && (!same_declarations || !routes_)) {
        declared_ = view_->revision;
        routes_ = std::make_shared<const request::route_table>(
            view_->declarations, options_.dialect.paths);
        dispatcher_.set_routes(routes_);
        allowances_.set_declared(view_->declarations);
        update_condition(); // Includes the revision of the declarations.
    }
    const bool same_entries = previous && previous->entries == view_->entries;
    if (!same_entries) {
        std::vector<control::entry_record> entries;
        for (const auto& [id, record] : view_->entries) {
            entries.push_back(record);
        }
        reach_.set_entries(entries);
        notices_.set_entries(entries);
        allowances_.set_entries(now_, entries);
        limits_.set_entries(std::move(entries));
    }
    for (const auto& [id, declared] : view_->declarations->pools) {
        if (!same_entries || declared.every_entry || pools_.contains(id) ||
            is_affected(*previous, declared)) {
            update_pool(declared);
        }
    }
    if (previous && !same_declarations) {
        drop_undeclared_pools(*previous);
    }
}

/// Must follow the updates of the pools that are declared: waiting requests move there.
void node::impl::drop_undeclared_pools(const control::fleet_view& previous)
{
    for (const auto& [id, declared] : previous.declarations->pools) {
        if (!view_->declarations->pools.contains(id)) {
            pools_.erase(id);
            shared_pools_.erase(id);
            reach_.remove_pool(id);
            run_all(dispatcher_.remove_pool(now_, id));
        }
    }
}

bool node::impl::is_affected(
    const control::fleet_view& previous, const config::pool_settings& declared) const
{
    const auto known = previous.declarations->pools.find(declared.id);
    if (known == previous.declarations->pools.end() || known->second != declared) {
        return true;
    }
    const auto before = previous.assignments.find(declared.id);
    const auto after = view_->assignments.find(declared.id);
    const bool had_list = before != previous.assignments.end();
    const bool has_list = after != view_->assignments.end();
    return had_list != has_list || (has_list && before->second != after->second);
}

void node::impl::update_shared_pool(const config::pool_settings& declared)
{
    const auto [it, is_new] = shared_pools_.try_emplace(
        declared.id, declared.id, options_.self.failure_domain, options_.self.id);
    if (it->second.set_view(now_, *view_) || is_new) {
        reach_.set_servers(declared.id, it->second.server_ids());
        update_dispatcher(declared.id);
    }
}

void node::impl::update_dispatcher(const core::pool_id& pool)
{
    update_dispatcher(shared_pools_.at(pool).update(now_));
}

void node::impl::update_dispatcher(request::pool_update update)
{
    limits_.apply(now_, update);
    notices_.apply(update);
    reach_.apply(update);
    run_all(dispatcher_.update_pool(now_, std::move(update)));
}

void node::impl::flush_notices()
{
    for (auto& it : notices_.take_messages()) {
        out_.push_back(send_message(it.to, it.message));
    }
    for (auto& it : notices_.take_log()) {
        out_.emplace_back(std::move(it));
    }
    for (const auto& id : notices_.take_changed_pools()) {
        update_dispatcher_of(id);
    }
}

/// Records what the response to a probe says.
void node::impl::observe_notice(
    const core::pool_id& pool,
    const core::server_id& server,
    const http::client_result& result)
{
    const auto incarnation = notices_.listed_incarnation(pool, server);
    if (incarnation && result.failure == http::failure::none) {
        notices_.observe(
            now_,
            pool,
            server,
            *incarnation,
            request::read_server_notice(result.response, options_.dialect));
    }
}

/// Updates the dispatcher if this entry serves the pool.
void node::impl::update_dispatcher_of(const core::pool_id& id)
{
    if (shared_pools_.contains(id)) {
        update_dispatcher(id);
    } else if (const auto it = pools_.find(id); it != pools_.end()) {
        update_dispatcher(it->second->update(now_, *view_));
    }
}

void node::impl::flush_allowances()
{
    while (true) {
        for (auto& it : allowances_.take_messages()) {
            out_.push_back(send_message(it.to, it.message));
        }
        const auto decisions = allowances_.take_decisions();
        if (decisions.empty()) {
            return;
        }
        for (const auto& it : decisions) {
            dispatch(it);
        }
    }
}

void node::impl::flush_limits()
{
    // Updating a pool may send requests, which in turn may request permits.
    while (true) {
        for (auto& it : limits_.take_messages()) {
            out_.push_back(send_message(it.to, it.message));
        }
        for (auto& it : limits_.take_log()) {
            out_.emplace_back(std::move(it));
        }
        const auto changed = limits_.take_changed_pools();
        if (changed.empty()) {
            return;
        }
        for (const auto& id : changed) {
            update_dispatcher_of(id);
        }
    }
}

void node::impl::tick_shared_pools()
{
    if (shared_pools_.empty()) {
        return;
    }
    // The dispatcher is updated once per tick. With many peers, evidence arrives far more
    // often than it changes the choice of a server.
    for (const auto& id : std::exchange(pools_with_evidence_, {})) {
        if (shared_pools_.contains(id)) {
            update_dispatcher(id);
        }
    }
    send_evidence();
    relay_failures();
    send_occupancy();
    log_choices();
    if (now_ >= next_activity_) {
        next_activity_ = now_ + activity_interval;
        if (std::exchange(recent_requests_, 0) >= min_active_requests) {
            announce_activity();
        }
        divide_servers();
    }
    if (now_ < next_penalty_update_) {
        return;
    }
    next_penalty_update_ = now_ + penalty_interval;
    for (auto& [id, pool] : shared_pools_) {
        if (pool.has_decaying_penalties(now_)) {
            update_dispatcher(id);
        }
    }
}

/// Logs why servers were idle, at most once a second for each pool, and only if more than
/// the declared minimum of healthy capacity allows weren't available to the choices.
void node::impl::log_choices()
{
    if (now_ < next_choice_log_) {
        return;
    }
    next_choice_log_ = now_ + choice_log_interval;
    for (const auto& [id, pool] : shared_pools_) {
        const auto n = dispatcher_.take_choice_counts(id);
        count_choices(id, n);
        const auto unavailable = n.closed + n.full + n.no_permit + n.suspected;
        const auto allowed = 100 - pool.settings().min_healthy_percent;
        if (100 * unavailable <= allowed * (n.servers - n.not_compared)) {
            continue;
        }
        const auto per_choice = [&n](std::uint64_t count) {
            return static_cast<double>(count) / static_cast<double>(n.choices);
        };
        log(telemetry::severity::info,
            "servers not available",
            {{"pool", id.str()},
             {"choices", static_cast<std::int64_t>(n.choices)},
             {"without_server", static_cast<std::int64_t>(n.without_server)},
             {"servers", per_choice(n.servers)},
             {"closed", per_choice(n.closed)},
             {"full", per_choice(n.full)},
             {"not_compared", per_choice(n.not_compared)},
             {"no_permit", per_choice(n.no_permit)},
             {"suspected", per_choice(n.suspected)},
             {"penalized", per_choice(n.penalized)},
             {"busier", per_choice(n.busier)}});
    }
}

void node::impl::count_choices(
    const core::pool_id& pool, const request::choice_counts& it)
{
    const auto add = [&](const char* reason, std::uint64_t count) {
        metrics_.add(
            "cuminpitch_servers_not_chosen_total",
            {{"pool", pool.str()}, {"reason", reason}},
            count);
    };
    add("closed", it.closed);
    add("full", it.full);
    add("not-compared", it.not_compared);
    add("no-permit", it.no_permit);
    add("suspected", it.suspected);
    add("penalized", it.penalized);
    add("busier", it.busier);
}

void node::impl::relay_failures()
{
    const auto due = relay_.take_due(now_);
    if (due.empty()) {
        return;
    }
    const auto peers = domain_peers();
    for (const auto& it : due) {
        for (const auto& peer : peers) {
            out_.push_back(send_message(peer, it));
        }
    }
}

/// Divides the servers of this failure domain among its active entries, so that the load
/// of a server doesn't depend on which entries have callers.
void node::impl::divide_servers()
{
    absl::btree_set<core::instance_id> active;
    const auto peers = active_domain_peers();
    for (const auto& [id, record] : view_->entries) {
        if (std::find(peers.begin(), peers.end(), record.internal) != peers.end()) {
            active.insert(id);
        }
    }
    for (auto& [id, pool] : shared_pools_) {
        if (pool.set_active(active)) {
            update_dispatcher(id);
        }
    }
}

/// Sends an empty pool_evidence, which marks the sender as active. It goes only to the
/// entries of this failure domain, because only these exchange occupancy reports.
void node::impl::announce_activity()
{
    control::pool_evidence empty_evidence;
    empty_evidence.pool = shared_pools_.begin()->first;
    for (const auto& peer : domain_peers()) {
        out_.push_back(send_message(peer, empty_evidence));
    }
}

/// Sends new failures to the entries that are likely to choose the same servers.
/// Inactive entries receive them too, because each one would otherwise lose a request of
/// its own to the failing server.
void node::impl::send_evidence()
{
    for (auto& [id, pool] : shared_pools_) {
        const auto evidence = pool.take_evidence(now_);
        if (!evidence) {
            continue;
        }
        count_reports(*evidence, "sent");
        log(telemetry::severity::info,
            "failures reported",
            {{"pool", id.str()},
             {"servers", static_cast<std::int64_t>(evidence->failures.size())},
             {"recovering", static_cast<std::int64_t>(evidence->successes.size())}});
        const auto relay_targets = relay_.relay_targets(view_->entries);
        absl::btree_map<core::failure_domain_id, control::pool_evidence> by_domain;
        for (const auto& [entry, record] : view_->entries) {
            if (entry == options_.self.id) {
                continue;
            }
            if (relay_targets.contains(entry)) {
                out_.push_back(send_message(record.internal, *evidence));
                continue;
            }
            const auto [it, is_new] = by_domain.try_emplace(record.failure_domain);
            if (is_new) {
                // Entries of this domain use the same servers in other domains.
                it->second = it->first == options_.self.failure_domain
                                 ? *evidence
                                 : pool.evidence_in(it->first, *evidence);
            }
            if (!it->second.failures.empty() || !it->second.successes.empty()) {
                out_.push_back(send_message(record.internal, it->second));
            }
        }
    }
}

void node::impl::count_reports(
    const control::pool_evidence& evidence, const char* direction)
{
    std::uint64_t failures = 0;
    for (const auto& it : evidence.failures) {
        failures += it.count;
    }
    metrics_.add(
        "cuminpitch_failure_reports_total",
        {{"pool", evidence.pool.str()}, {"direction", direction}},
        failures);
}

/// Internal endpoints of the other entries in this failure domain.
std::vector<core::endpoint> node::impl::domain_peers() const
{
    std::vector<core::endpoint> out;
    for (const auto& [entry, record] : view_->entries) {
        if (entry != options_.self.id &&
            record.failure_domain == options_.self.failure_domain) {
            out.push_back(record.internal);
        }
    }
    return out;
}

/// Internal endpoints of the other entries in this failure domain that are active.
std::vector<core::endpoint> node::impl::active_domain_peers() const
{
    auto out = domain_peers();
    std::erase_if(out, [&](const core::endpoint& it) {
        const auto active = active_peers_.find(it);
        return active == active_peers_.end() || now_ - active->second >= activity_timeout;
    });
    return out;
}

/// Reports the occupancy of this entry to the other active entries in its failure domain,
/// which mostly use the same servers. Entries in other domains get no reports because
/// traffic between failure domains is expensive.
void node::impl::send_occupancy()
{
    if (now_ < next_occupancy_) {
        return;
    }
    const auto peers = active_domain_peers();
    const auto interval = occupancy_interval(peers.size());
    next_occupancy_ = now_ + interval;
    for (auto& [id, pool] : shared_pools_) {
        pool.set_occupancy_interval(interval);
        control::pool_evidence it;
        it.pool = id;
        it.in_flight.emplace();
        for (const auto& [server, count] : dispatcher_.in_flight_by_server(id)) {
            it.in_flight->push_back({server, count});
        }
        auto& last_sent = sent_occupancy_[id];
        if (last_sent == *it.in_flight &&
            (last_sent.empty() || now_ < next_occupancy_repeat_)) {
            continue;
        }
        last_sent = *it.in_flight;
        for (const auto& peer : peers) {
            out_.push_back(send_message(peer, it));
        }
    }
    if (now_ >= next_occupancy_repeat_) {
        next_occupancy_repeat_ = now_ + occupancy_repeat_interval;
    }
}

void node::impl::receive_evidence(
    const net::peer& from, const control::pool_evidence& evidence)
{
    active_peers_[from.internal] = now_;
    const auto pool = shared_pools_.find(evidence.pool);
    if (pool == shared_pools_.end() ||
        (evidence.failures.empty() && evidence.successes.empty() &&
         !evidence.in_flight)) {
        return;
    }
    count_reports(evidence, "received");
    pool->second.receive(now_, from.internal, evidence);
    pools_with_evidence_.insert(evidence.pool);
    if (const auto sender = view_->entries.find(from.id);
        sender != view_->entries.end()) {
        relay_.collect(
            sender->second.failure_domain,
            evidence,
            pool->second.evidence_in(options_.self.failure_domain, evidence));
    }
}

void node::impl::send_presence()
{
    next_presence_ = now_ + options_.presence_interval;
    if (options_.presence_interval == absl::InfiniteDuration()) {
        return;
    }
    const bool is_impaired = paths_.is_impaired(now_);
    if (is_impaired != std::exchange(was_impaired_, is_impaired)) {
        log(telemetry::severity::warning,
            is_impaired ? "paths to servers impaired" : "paths to servers recovered");
    }
    const control::presence it{
        options_.self, options_.incarnation, is_ready(), is_impaired, options_.slots};
    for (const auto& to : link_.control()) {
        out_.push_back(send_message(to, it));
    }
}

void node::impl::update_pool(const config::pool_settings& declared)
{
    if (declared.every_entry) {
        limits_.set_assigned(declared.id, {});
        update_shared_pool(declared);
        return;
    }
    shared_pools_.erase(declared.id);
    reach_.remove_pool(declared.id);
    if (is_assigned_here(declared.id)) {
        auto& pool = pools_[declared.id];
        if (!pool) {
            pool = std::make_unique<pool_runtime>(options_, now_, declared);
            pool->health().set_list_confirmed(link_.is_confirmed());
            pool->health().set_draining(condition_.is_draining);
        }
        pool->set_view(now_, *view_);
        limits_.set_assigned(declared.id, committed_entries(*view_, declared.id));
        update_dispatcher(pool->update(now_, *view_));
        return;
    }
    pools_.erase(declared.id);
    request::pool_update update;
    update.pool = declared.id;
    update.settings = declared;
    for (const auto& record : committed_entries(*view_, declared.id)) {
        update.entries.push_back({record.id, record.http, true});
    }
    update_dispatcher(std::move(update));
}

} // namespace cuminpitch::entry
