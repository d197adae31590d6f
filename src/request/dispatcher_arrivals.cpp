#include "dispatcher_impl_priv.hpp"

#include "header_rules_priv.hpp"

#include <absl/strings/numbers.h>

#include <array>

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
    live_ptr request = remove_request(live_.find(it.id));
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

} // namespace cuminpitch::request
