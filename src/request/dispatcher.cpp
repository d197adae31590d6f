#include "dispatcher_impl_priv.hpp"

namespace cuminpitch::request {

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
        remove_request(found);
    }
}

dispatcher::impl::live_ptr dispatcher::impl::remove_request(live_map::iterator at)
{
    live_ptr out = std::move(at->second);
    live_.erase(at);
    timers_.erase({out->timer_at, out->id});
    teams_.remove(out->pool->id.team);
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
