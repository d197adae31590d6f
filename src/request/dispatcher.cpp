#include "dispatcher_impl_priv.hpp"

#include "header_rules_priv.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace cuminpitch::request {
namespace {

/// Bytes. Longer caller names are truncated, since each waiting request keeps a copy.
constexpr std::size_t caller_name_limit = 128;

core::caller_id caller_of(const http::request& it)
{
    const std::string name = it.headers.get(caller_header);
    return core::caller_id(
        name.empty() ? it.peer_address : name.substr(0, caller_name_limit));
}

} // namespace

void dispatcher::impl::set_routes(std::shared_ptr<const route_table> it)
{
    routes_ = std::move(it);
    for (auto& [id, pool] : pools_) {
        pool->set_has_idempotent_route(routes_ && routes_->has_idempotent_route(id));
    }
}

std::vector<action> dispatcher::impl::update_pool(absl::Time now, pool_update it)
{
    now_ = now;
    out_.clear();
    const core::pool_id id = it.pool;
    auto& pool = pools_[id];
    if (!pool) {
        pool = std::make_unique<pool_state>(options_.is_ranked);
        pool->set_has_idempotent_route(routes_ && routes_->has_idempotent_route(id));
        ++pools_of_team_[id.team];
    }
    removed_.erase(id);
    pool->update(std::move(it));
    if (pool->is_rate_limited(now_)) {
        rate_limited_pools_.insert(id);
    } else {
        rate_limited_pools_.erase(id);
    }
    const bool is_assigned = pool->last_update().is_assigned;
    if (is_assigned && !pool->forwards()) {
        dispatch_queued(*pool);
        return std::move(out_);
    }
    for (const request_id waiting : pool->queue().drain()) {
        live_request& each = *live_.at(waiting);
        if (each.is_from_entry || (each.is_retry() && !is_assigned)) {
            conclude(
                each,
                is_assigned ? refusal_reason::path_lost : refusal_reason::not_assigned);
        } else {
            forward_to_entry(each);
        }
    }
    return std::move(out_);
}

std::vector<action> dispatcher::impl::remove_pool(absl::Time now, const core::pool_id& id)
{
    now_ = now;
    out_.clear();
    const auto found = pools_.find(id);
    if (found == pools_.end()) {
        return {};
    }
    const auto waiting = found->second->queue().drain();
    pool_update nothing;
    nothing.pool = id;
    found->second->update(std::move(nothing));
    removed_.insert(id);
    rate_limited_pools_.erase(id);
    for (const request_id each : waiting) {
        reroute(*live_.at(each));
    }
    erase_removed(id);
    return std::move(out_);
}

void dispatcher::impl::erase_removed(const core::pool_id& id)
{
    if (!removed_.contains(id) || pools_.at(id)->in_flight() > 0) {
        return;
    }
    const auto of_team = pools_of_team_.find(id.team);
    if (--of_team->second == 0) {
        pools_of_team_.erase(of_team);
    }
    pools_.erase(id);
    removed_.erase(id);
}

std::vector<action> dispatcher::impl::handle(absl::Time now, event it)
{
    now_ = now;
    out_.clear();
    std::visit(
        [this](auto&& each) { on(std::forward<decltype(each)>(each)); }, std::move(it));
    return std::move(out_);
}

bool dispatcher::impl::has_servers(const core::pool_id& id) const
{
    const auto found = pools_.find(id);
    return found != pools_.end() && found->second->has_servers();
}

pool_load dispatcher::impl::load(const core::pool_id& id) const
{
    const auto found = pools_.find(id);
    if (found == pools_.end()) {
        return {};
    }
    return {found->second->queue().size(), found->second->in_flight()};
}

choice_counts dispatcher::impl::take_choice_counts(const core::pool_id& id)
{
    const auto found = pools_.find(id);
    return found == pools_.end() ? choice_counts() : found->second->take_choice_counts();
}

std::vector<std::pair<core::server_id, std::uint32_t>>
dispatcher::impl::in_flight_by_server(const core::pool_id& id) const
{
    const auto found = pools_.find(id);
    return found == pools_.end()
               ? std::vector<std::pair<core::server_id, std::uint32_t>>()
               : found->second->in_flight_by_server();
}

void dispatcher::impl::on(request_received it)
{
    if (live_.contains(it.id)) {
        counters_.add("cuminpitch_duplicate_request_ids_total");
        return;
    }
    auto arrived = std::make_unique<live_request>();
    live_request& request = *arrived;
    request.id = it.id;
    request.message = std::move(it.message);
    request.received = now_ - it.waited;
    request.is_from_entry = request.message->headers.has(hop_header);
    std::uint32_t max_sends = 0;
    if (request.is_from_entry &&
        absl::SimpleAtoi(request.message->headers.get(attempts_header), &max_sends)) {
        request.max_sends = max_sends;
    }
    if (!options_.dialect.correlation.empty()) {
        request.correlation = request.message->headers.get(options_.dialect.correlation);
    }
    const auto why = check(request);
    if (request.is_from_entry && !why) {
        counters_.add("cuminpitch_requests_from_entries_total", pool_label(request));
    }
    place(std::move(arrived), why);
}

/// Looks up the route of a request and checks whether the request may be accepted.
std::optional<refusal_reason> dispatcher::impl::check(live_request& it)
{
    const bool is_identified =
        options_.has_admission_control && options_.dialect.identifies_callers;
    it.caller = is_identified ? caller_of(*it.message) : core::caller_id("any");
    it.customer = nullptr;
    it.needs_forwarding = false;
    const auto why = apply_filters(it);
    if (it.customer != nullptr && options_.has_admission_control) {
        it.caller = core::caller_id(it.customer->id.str());
    }
    if (why) {
        return why;
    }
    return is_shed(it) ? refusal_reason::shed_by_priority
                       : admit_to_entry(it.pool->id.team);
}

/// Sends, forwards or queues a request that isn't in `live_`, or refuses it.
void dispatcher::impl::place(live_ptr it, std::optional<refusal_reason> why)
{
    live_request& request = *it;
    if (why) {
        conclude(request, *why);
        return;
    }
    teams_.add(request.pool->id.team);
    request.declared = entry_.declared;
    live_[request.id] = std::move(it);
    set_timer(request, request.deadline);
    // The entry that sends the request to a server counts it.
    if (!request.needs_forwarding || !request.pool->every_entry) {
        pool_of(request)->budget().count_request(now_);
    }
    if (request.needs_forwarding) {
        forward_to_entry(request);
    } else if (
        request.customer != nullptr && request.customer->rate && !request.has_permit) {
        request.at = live_request::phase::awaiting_permit;
        out_.emplace_back(request_allowance{request.id, request.customer->id});
    } else {
        dispatch_or_enqueue(request);
    }
}

/// Treats a waiting request, whose pool was removed, like one that arrives now: the
/// declarations in force decide. It keeps its time of arrival, its attempts and the
/// permit of its customer.
void dispatcher::impl::reroute(live_request& it)
{
    const core::pool_id from = it.pool->id;
    const core::revision before = it.declared;
    live_ptr request = remove_request(it);
    it.at = live_request::phase::arriving;
    auto why = check(it);
    if (is_pool_removed(it)) {
        why = refusal_reason::no_route;
    }
    if (!why && it.sends > 0 && !may_repeat_on_new_route(it)) {
        why = refusal_reason::attempts_spent;
    }
    const char* outcome = why ? to_string(*why) : "moved";
    counters_.add(
        "cuminpitch_rerouted_requests_total",
        {{"pool", from.str()}, {"outcome", outcome}});
    explain_decision(
        it,
        "rerouted",
        {{"from", from.str()},
         {"pool", why ? std::string() : it.pool->id.str()},
         {"outcome", std::string(outcome)},
         {"declared_before", static_cast<std::int64_t>(before.value())},
         {"declared", static_cast<std::int64_t>(entry_.declared.value())},
         {"waited_ms", absl::ToInt64Milliseconds(now_ - it.received)}});
    place(std::move(request), why);
}

/// Attempts at servers of the old pool count against the limit of the new route. The
/// repetition is charged to the pool that gets it.
bool dispatcher::impl::may_repeat_on_new_route(const live_request& it)
{
    return (!it.may_have_run || it.route->idempotent) && has_attempts_left(it) &&
           pool_of(it)->budget().take();
}

bool dispatcher::impl::is_pool_removed(const live_request& it) const
{
    return !pools_.contains(it.pool->id) || removed_.contains(it.pool->id);
}

std::optional<refusal_reason> dispatcher::impl::apply_filters(live_request& it) const
{
    const filter_context context{
        now_, entry_, routes_, pools_, options_.dialect, splits_};
    const std::array<const filter*, 4> chain = {
        &route_filter_, &key_filter_, &admission_filter_, &ownership_filter_};
    for (const filter* each : chain) {
        if (const auto why = each->apply(context, it)) {
            return why;
        }
    }
    return std::nullopt;
}

std::optional<refusal_reason> dispatcher::impl::admit_to_entry(const core::team_id& team)
{
    switch (teams_.check(team, pools_of_team_.size())) {
    case team_shares::admission::admit:
        return std::nullopt;
    case team_shares::admission::above_cap:
        return refusal_reason::team_share;
    case team_shares::admission::full:
        return refusal_reason::entry_full;
    case team_shares::admission::full_below_share:
        break;
    }
    const auto largest = teams_.largest();
    const bool has_evicted = largest && *largest != team && evict_from_team(*largest);
    return has_evicted ? std::nullopt : std::optional(refusal_reason::entry_full);
}

bool dispatcher::impl::evict_from_team(const core::team_id& team)
{
    pool_state* longest = nullptr;
    for (const auto& [id, pool] : pools_) {
        const std::size_t n = pool->queue().size();
        const bool is_longer =
            longest == nullptr || n > longest->queue().size() ||
            (n == longest->queue().size() && id < longest->last_update().pool);
        if (id.team == team && n > 0 && is_longer) {
            longest = pool.get();
        }
    }
    if (longest == nullptr) {
        return false;
    }
    conclude(*live_.at(*longest->queue().drop_from_lowest()), refusal_reason::team_share);
    return true;
}

/// Sends a request again: to another server, or to an entry that reaches the servers.
void dispatcher::impl::dispatch_again(live_request& it)
{
    if (!it.is_from_entry && pool_of(it)->forwards()) {
        forward_to_entry(it);
    } else {
        dispatch_or_enqueue(it);
    }
}

void dispatcher::impl::dispatch_or_enqueue(live_request& it)
{
    pool_state& pool = *pool_of(it);
    if (pool.queue().size() == 0) {
        if (const server_view* server = pick_server(it, 1)) {
            send(it, *server);
            return;
        }
    }
    if (const auto why = enqueue(it)) {
        conclude(it, *why);
        return;
    }
    dispatch_queued(pool);
}

std::optional<refusal_reason> dispatcher::impl::enqueue(live_request& it)
{
    pool_state& pool = *pool_of(it);
    if (pool.is_closed(now_)) {
        return refusal_reason::servers_closed;
    }
    if (it.is_retry()) {
        if (pool.is_rate_limited(now_)) {
            if (const auto why =
                    pool.check_wait(now_, it, pool.expected_wait(now_, it))) {
                return why;
            }
        }
        pool.push_front(now_, it);
    } else {
        if (!pool.has_servers()) {
            return refusal_reason::no_server;
        }
        std::optional<pool_state::eviction> evicted;
        if (options_.has_admission_control) {
            if (const auto why = pool.admit(it, now_, evicted)) {
                if (options_.is_ranked) {
                    it.refused_wait = pool.expected_wait(now_, it);
                }
                return why;
            }
        }
        if (evicted) {
            conclude(*live_.at(evicted->id), evicted->why);
        }
        pool.push_back(now_, it);
    }
    if (options_.is_ranked) {
        waiting_pools_.insert(it.pool->id);
    }
    it.at = live_request::phase::queued;
    it.queued_at = now_;
    set_timer(it, it.deadline);
    return std::nullopt;
}

void dispatcher::impl::dispatch_queued(pool_state& pool)
{
    if (pool.queue().size() > 0 && pool.is_closed(now_)) {
        for (const request_id waiting : pool.queue().drain()) {
            conclude(*live_.at(waiting), refusal_reason::servers_closed);
        }
        return;
    }
    while (pool.queue().size() > 0 && pool.has_free_slot()) {
        const server_view* server = nullptr;
        const auto fits = [&](const core::caller_id&, request_id id) {
            const auto waiting = pool.queue().size();
            server = pick_server(*live_.at(id), static_cast<std::uint32_t>(waiting));
            return server != nullptr;
        };
        const auto next = pool.take_next(now_, fits);
        if (!next) {
            if (options_.is_ranked) {
                refuse_unservable(pool);
            }
            return;
        }
        live_request& it = *live_.at(*next);
        if (lacks_time(it, pool)) {
            conclude(
                it,
                options_.is_ranked ? refusal_reason::expected_wait
                                   : refusal_reason::deadline_in_queue);
        } else {
            send(it, *server);
        }
    }
    if (options_.is_ranked) {
        refuse_unservable(pool);
        return;
    }
    const auto find = [this](request_id id) -> const live_request& {
        return *live_.at(id);
    };
    while (const auto dropped = pool.drop_unservable(now_, find)) {
        conclude(*live_.at(*dropped), refusal_reason::rate_limited);
    }
}

/// Refuses the queued requests that can no longer finish in time.
void dispatcher::impl::refuse_unservable(pool_state& pool)
{
    const auto find = [this](request_id id) -> const live_request& {
        return *live_.at(id);
    };
    for (const auto& each : pool.take_unservable(now_, find)) {
        live_request& it = *live_.at(each.id);
        it.refused_wait = each.wait;
        conclude(it, each.why);
    }
}

/// Whether the request is refused because the servers reject too many attempts.
bool dispatcher::impl::is_shed(const live_request& it)
{
    if (!options_.is_ranked || it.needs_forwarding) {
        return false;
    }
    pool_state& pool = *pool_of(it);
    return pool.shedder().refuses(now_, pool.rank_of(it), it.caller, retry_random_);
}

/// `count` is the number of requests that wait for a server, including this one.
const server_view* dispatcher::impl::pick_server(live_request& it, std::uint32_t count)
{
    const auto choice = pool_of(it)->pick(now_, it, random_);
    if (choice.closed != nullptr) {
        explain_closed(it, *choice.closed);
    }
    for (const server_view* each : choice.withheld) {
        out_.emplace_back(want_permits{it.pool->id, each->id, count});
        explain_withheld(it, *each);
    }
    return choice.server;
}

void dispatcher::impl::on(const caller_gone& it)
{
    const auto found = live_.find(it.id);
    if (found == live_.end()) {
        return;
    }
    live_request& request = *found->second;
    counters_.add("cuminpitch_callers_gone_total", pool_label(request));
    explain_decision(
        request,
        "caller gone",
        {{"after_ms", absl::ToInt64Milliseconds(now_ - request.received)}});
    const core::pool_id id = request.pool->id;
    if (request.at == live_request::phase::queued) {
        pool_of(request)->remove_queued(request);
    } else if (request.at != live_request::phase::awaiting_permit) {
        out_.emplace_back(cancel_attempt{request.attempt});
        end_attempt(request);
    }
    erase_request(request);
    if (pools_.contains(id)) {
        dispatch_queued(*pools_.at(id));
        erase_removed(id);
    }
}

void dispatcher::impl::on(const allowance_decided& it)
{
    const auto found = live_.find(it.id);
    if (found == live_.end() ||
        found->second->at != live_request::phase::awaiting_permit) {
        return;
    }
    live_request& request = *found->second;
    request.at = live_request::phase::arriving;
    if (it.what != allowance_decided::outcome::granted) {
        const bool is_over = it.what == allowance_decided::outcome::over_allowance;
        request.permit_wait = it.retry_after;
        conclude(
            request,
            is_over ? refusal_reason::over_allowance : refusal_reason::allowance_unknown);
        return;
    }
    request.has_permit = true;
    if (is_pool_removed(request)) {
        reroute(request);
    } else if (!pool_of(request)->last_update().is_assigned) {
        conclude(request, refusal_reason::not_assigned);
    } else {
        dispatch_again(request);
    }
}

void dispatcher::impl::on(const tick& /*it*/)
{
    for (const auto& id : rate_limited_pools_) {
        dispatch_queued(*pools_.at(id));
    }
    absl::erase_if(waiting_pools_, [this](const core::pool_id& id) {
        const auto found = pools_.find(id);
        return found == pools_.end() || found->second->queue().size() == 0;
    });
    for (const auto& id : waiting_pools_) {
        dispatch_queued(*pools_.at(id));
    }
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        live_request& it = *live_.at(timers_.begin()->second);
        if (it.at == live_request::phase::awaiting_permit) {
            conclude(it, refusal_reason::deadline_in_queue);
            continue;
        }
        if (it.at == live_request::phase::queued) {
            pool_of(it)->remove_queued(it);
            conclude(it, refusal_reason::deadline_in_queue);
            continue;
        }
        if (now_ >= it.overdue_at) {
            report_overdue(it);
            continue;
        }
        if (now_ >= it.switch_at) {
            const core::pool_id at = it.pool->id;
            if (switch_server(it)) {
                dispatch_queued(*pools_.at(at));
                erase_removed(at);
            }
            continue;
        }
        counters_.add("cuminpitch_lost_results_total", pool_label(it));
        const core::pool_id id = it.pool->id;
        out_.emplace_back(cancel_attempt{it.attempt});
        end_attempt(it);
        it.may_have_run = true;
        it.last_failure = refusal_reason::timeout;
        conclude(it, refusal_reason::timeout);
        if (pools_.contains(id)) {
            dispatch_queued(*pools_.at(id));
            erase_removed(id);
        }
    }
}

void dispatcher::impl::set_timer(live_request& it, absl::Time timer_at)
{
    timers_.erase({it.timer_at, it.id});
    it.timer_at = timer_at;
    timers_.insert({timer_at, it.id});
}

/// Destroys the request if it was admitted. A request that is refused on arrival isn't in
/// `live_`; its creator destroys it.
void dispatcher::impl::erase_request(live_request& it)
{
    const auto found = live_.find(it.id);
    if (found != live_.end() && found->second.get() == &it) {
        remove_request(it);
    }
}

dispatcher::impl::live_ptr dispatcher::impl::remove_request(const live_request& it)
{
    timers_.erase({it.timer_at, it.id});
    teams_.remove(it.pool->id.team);
    const auto found = live_.find(it.id);
    live_ptr out = std::move(found->second);
    live_.erase(found);
    return out;
}

pool_state* dispatcher::impl::pool_of(const live_request& it) const
{
    const auto found = pools_.find(it.pool->id);
    return found == pools_.end() ? nullptr : found->second.get();
}

telemetry::labels dispatcher::impl::pool_label(const live_request& it) const
{
    return {{"pool", it.pool == nullptr ? "" : it.pool->id.str()}};
}

dispatcher::dispatcher(
    dispatcher_options options, core::random_source random, telemetry::metrics& counters)
    : impl_(std::make_unique<impl>(std::move(options), random, counters))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::set_routes(std::shared_ptr<const route_table> it)
{
    impl_->set_routes(std::move(it));
}

void dispatcher::set_entry(const entry_state& it)
{
    impl_->set_entry(it);
}

std::vector<action> dispatcher::update_pool(absl::Time now, pool_update it)
{
    return impl_->update_pool(now, std::move(it));
}

std::vector<action> dispatcher::remove_pool(absl::Time now, const core::pool_id& pool)
{
    return impl_->remove_pool(now, pool);
}

std::vector<action> dispatcher::handle(absl::Time now, event it)
{
    return impl_->handle(now, std::move(it));
}

std::size_t dispatcher::in_flight() const
{
    return impl_->in_flight();
}

std::vector<std::pair<core::server_id, std::uint32_t>>
dispatcher::in_flight_by_server(const core::pool_id& pool) const
{
    return impl_->in_flight_by_server(pool);
}

bool dispatcher::has_servers(const core::pool_id& pool) const
{
    return impl_->has_servers(pool);
}

pool_load dispatcher::load(const core::pool_id& pool) const
{
    return impl_->load(pool);
}

choice_counts dispatcher::take_choice_counts(const core::pool_id& pool)
{
    return impl_->take_choice_counts(pool);
}

} // namespace cuminpitch::request
