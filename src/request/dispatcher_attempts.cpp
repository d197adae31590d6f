#include "dispatcher_impl_priv.hpp"

#include "cuminpitch/http/refusal.hpp"
#include "messages_priv.hpp"

#include <algorithm>
#include <array>

namespace cuminpitch::request {
namespace {

/// The HTTP client reports a timeout at the deadline. A result that is still missing this
/// long afterwards counts as lost.
constexpr absl::Duration lost_result_grace = absl::Milliseconds(250);

core::verdict parse_verdict(const std::string& text)
{
    for (const auto it : {core::verdict::not_run, core::verdict::ran}) {
        if (text == core::to_string(it)) {
            return it;
        }
    }
    return core::verdict::may_have_run;
}

/// Whether another entry may serve a request that one refused as not run.
bool is_fault_of_entry(const std::string& reason)
{
    constexpr std::array same_everywhere = {
        refusal_reason::malformed_request,
        refusal_reason::unknown_key,
        refusal_reason::over_allowance,
        refusal_reason::request_too_large,
        refusal_reason::shed,
        refusal_reason::shed_by_priority,
        refusal_reason::queue_full,
        refusal_reason::caller_share,
        refusal_reason::expected_wait,
        refusal_reason::rate_limited,
        refusal_reason::deadline_passed,
        refusal_reason::deadline_in_queue};
    return std::none_of(
        same_everywhere.begin(), same_everywhere.end(), [&](refusal_reason it) {
            return reason == to_string(it);
        });
}

path_result path_of(const http::client_result& it)
{
    switch (it.failure) {
    case http::failure::connect:
        return path_result::not_connected;
    case http::failure::timeout:
    case http::failure::reset:
        return path_result::broken;
    case http::failure::cancelled:
        return path_result::unknown;
    case http::failure::none:
    case http::failure::short_response:
    case http::failure::response_too_large:
    case http::failure::endless_response:
    case http::failure::malformed_response:
        break;
    }
    return path_result::answered;
}

/// On a new connection nothing of an earlier response can stand before the response.
void note_rejected_response(live_request& it, const http::client_result& result)
{
    if (result.failure == http::failure::malformed_response && result.reused_connection) {
        it.needs_new_connection = true;
    }
}

} // namespace

bool dispatcher::impl::lacks_time(const live_request& it, const pool_state& pool) const
{
    const absl::Duration remaining = it.deadline - now_;
    return remaining <= absl::ZeroDuration() ||
           (options_.has_admission_control && remaining < pool.min_remaining_time(it));
}

void dispatcher::impl::begin_attempt(live_request& it)
{
    last_attempt_ = last_attempt_.next();
    it.attempt = last_attempt_;
    it.attempt_begin = now_;
    it.attempt_timeout = it.deadline - now_;
    it.switch_at = absl::InfiniteFuture();
    it.overdue_at = absl::InfiniteFuture();
    it.is_overdue = false;
    attempts_[it.attempt] = it.id;
    set_timer(it, it.deadline + lost_result_grace);
}

/// The time after which another server is tried: all of the remaining time, or at most
/// half. An idempotent request that another server could answer too keeps the rest for
/// that server, as one with a gray failure may never answer. Requests whose service time
/// is long compared with the rest get all of the remaining time: cancelling them would
/// only multiply the load.
absl::Duration dispatcher::impl::choose_attempt_time(
    const live_request& it, const server_view& server) const
{
    constexpr int min_service_times = 4;
    const absl::Duration remaining = it.deadline - now_;
    pool_state& pool = *pool_of(it);
    absl::Duration attempt_time = remaining / 2;
    if (it.pool->every_entry) {
        attempt_time = std::min(attempt_time, pool.overdue_after());
    }
    const bool leaves_rest =
        it.route->idempotent && pool.budget().allows() &&
        remaining - attempt_time >= min_service_times * pool.service_time() &&
        pool.has_alternative(now_, it, server.id);
    return leaves_rest ? attempt_time : remaining;
}

/// Cancels the attempt and sends the request to another server. If no other server may be
/// tried, the attempt continues, as its server may still answer.
bool dispatcher::impl::switch_server(live_request& it)
{
    pool_state& pool = *pool_of(it);
    it.switch_at = absl::InfiniteFuture();
    const bool may_switch = !entry_.is_draining && pool.last_update().is_assigned &&
                            has_attempts_left(it, 1) &&
                            (pool.has_alternative(now_, it, it.server) ||
                             (pool.forwards() && !it.is_from_entry)) &&
                            pool.budget().take();
    if (!may_switch) {
        set_attempt_timer(it);
        return false;
    }
    explain_decision(
        it,
        "attempt given up",
        {{"server", it.server.str()},
         {"reason", std::string("no-answer-yet")},
         {"elapsed_ms", absl::ToInt64Milliseconds(now_ - it.attempt_begin)}});
    if (!it.is_overdue) {
        auto seen = make_observation(it, observation::kind::failure);
        seen.path = path_result::broken;
        out_.emplace_back(observe{std::move(seen)});
    }
    out_.emplace_back(cancel_attempt{it.attempt});
    it.tried.push_back(it.server);
    ++it.sends;
    it.may_have_run = true;
    it.last_failure = refusal_reason::timeout;
    end_attempt(it);
    counters_.add("cuminpitch_attempts_given_up_total", pool_label(it));
    dispatch_again(it);
    return true;
}

observation
dispatcher::impl::make_observation(const live_request& it, observation::kind what) const
{
    observation seen;
    seen.pool = it.pool->id;
    seen.server = it.server;
    seen.incarnation = it.incarnation;
    seen.route = it.route->id;
    seen.what = what;
    seen.duration = now_ - it.attempt_begin;
    return seen;
}

void dispatcher::impl::set_attempt_timer(live_request& it)
{
    set_timer(
        it, std::min({it.switch_at, it.overdue_at, it.deadline + lost_result_grace}));
}

/// Reports a server that doesn't answer, without waiting for the time limit of the
/// request, which is many times the service time.
void dispatcher::impl::report_overdue(live_request& it)
{
    it.overdue_at = absl::InfiniteFuture();
    it.is_overdue = true;
    explain_decision(
        it,
        "attempt overdue",
        {{"server", it.server.str()},
         {"elapsed_ms", absl::ToInt64Milliseconds(now_ - it.attempt_begin)},
         {"usual_ms", absl::ToInt64Milliseconds(pool_of(it)->service_time())}});
    counters_.add("cuminpitch_attempts_overdue_total", pool_label(it));
    auto seen = make_observation(it, observation::kind::overdue);
    seen.path = path_result::broken;
    out_.emplace_back(observe{std::move(seen)});
    set_attempt_timer(it);
}

void dispatcher::impl::send(live_request& it, const server_view& server)
{
    begin_attempt(it);
    const absl::Duration attempt_time = choose_attempt_time(it, server);
    if (it.pool->every_entry) {
        it.overdue_at = now_ + pool_of(it)->overdue_after();
        if (attempt_time < it.attempt_timeout) {
            it.switch_at = now_ + attempt_time;
        }
        set_attempt_timer(it);
    } else {
        it.attempt_timeout = attempt_time;
    }
    const auto since = it.at == live_request::phase::queued ? it.queued_at : now_;
    counters_.record("cuminpitch_queue_wait_seconds", now_ - since, pool_label(it));
    it.at = live_request::phase::sent;
    it.server = server.id;
    it.incarnation = server.incarnation;
    explain_send(it, server);
    out_.emplace_back(start_attempt{
        it.pool->id,
        server.id,
        to_server(it, server, it.attempt_timeout, options_.dialect)});
    pool_of(it)->occupy(server, it.caller);
}

void dispatcher::impl::on(attempt_finished it)
{
    const auto found = attempts_.find(it.attempt);
    if (found == attempts_.end()) {
        counters_.add("cuminpitch_late_results_total");
        return;
    }
    live_request& request = *live_.at(found->second);
    if (request.at == live_request::phase::forwarded) {
        end_attempt(request);
        finish_at_entry(request, std::move(it.result));
        return;
    }
    const core::pool_id id = request.pool->id;
    finish_at_server(request, std::move(it.result));
    dispatch_queued(*pools_.at(id));
    erase_removed(id);
}

void dispatcher::impl::finish_at_server(live_request& it, http::client_result result)
{
    pool_state& pool = *pool_of(it);
    const auto outcome = classify(
        result,
        it.attempt_timeout,
        pool.service_time(),
        options_.dialect,
        it.correlation);
    explain_result(it, result, outcome);
    explain_unexpected_bytes(it, result);
    const bool is_reported = it.is_overdue && result.failure == http::failure::timeout;
    observation seen =
        make_observation(it, is_reported ? observation::kind::none : outcome.evidence);
    seen.duration = result.elapsed;
    seen.was_overdue = it.is_overdue;
    seen.may_be_path_failure = outcome.may_be_path_failure;
    seen.path = path_of(result);
    seen.is_new_connection =
        !result.reused_connection && result.verdict != core::verdict::not_run;
    seen.is_misdirected = outcome.is_misdirected;
    seen.max_rate = outcome.max_rate;
    seen.notice = outcome.notice;
    pool.close(now_, it.server, it.incarnation, outcome.notice);
    out_.emplace_back(observe{std::move(seen)});
    counters_.record("cuminpitch_attempt_seconds", result.elapsed, pool_label(it));
    if (outcome.evidence == observation::kind::success) {
        pool.count_service_time(result.elapsed);
    }
    if (options_.is_ranked && (outcome.evidence == observation::kind::success ||
                               outcome.evidence == observation::kind::shed)) {
        pool.shedder().count_attempt(
            now_, outcome.evidence == observation::kind::shed, result.elapsed);
    }
    it.tried.push_back(it.server);
    it.sends += outcome.failure == refusal_reason::connect_failed ? 0 : 1;
    end_attempt(it);
    if (!outcome.failure && !(outcome.is_failure_status && it.route->idempotent)) {
        auto connection = connection_fields(result);
        connection.push_back({"server", it.server.str()});
        respond_to(
            it,
            core::verdict::ran,
            from_server(it, std::move(result.response), options_.dialect),
            std::move(connection));
        return;
    }
    note_rejected_response(it, result);
    it.may_have_run = it.may_have_run || outcome.verdict != core::verdict::not_run;
    if (outcome.failure) {
        it.last_failure = outcome.failure;
    } else {
        it.fallback = from_server(it, std::move(result.response), options_.dialect);
    }
    if (!retry_at_server(it, outcome)) {
        conclude(it, it.last_failure.value_or(refusal_reason::reset));
    }
}

bool dispatcher::impl::has_attempts_left(
    const live_request& it, std::uint32_t in_flight) const
{
    // An attempt without a connection doesn't count against max_attempts, as the server
    // didn't get the request. This limit covers all attempts.
    constexpr std::size_t max_servers_tried = 6;
    return it.tried.size() < max_servers_tried &&
           (!it.max_sends || it.sends + in_flight < *it.max_sends) &&
           (!it.route->max_attempts || it.sends + in_flight < *it.route->max_attempts);
}

bool dispatcher::impl::retry_at_server(live_request& it, const attempt_outcome& outcome)
{
    pool_state& pool = *pool_of(it);
    const bool is_removed = is_pool_removed(it);
    const bool may_forward = pool.forwards() && !it.is_from_entry;
    const char* why = nullptr;
    // An attempt that never reached a server puts no load on the pool.
    const bool needs_no_budget = pool.last_update().settings.every_entry &&
                                 outcome.verdict == core::verdict::not_run &&
                                 outcome.failure == refusal_reason::connect_failed;
    if (!may_retry(it, outcome)) {
        why = "may-have-run";
    } else if (lacks_time(it, pool)) {
        why = "deadline";
    } else if (
        !is_removed && (!pool.last_update().is_assigned ||
                        (!may_forward && !pool.has_untried(now_, it)))) {
        why = "no-other-server";
    } else if (!has_attempts_left(it)) {
        why = "attempts-spent";
    } else if (
        options_.is_ranked && outcome.evidence == observation::kind::shed &&
        pool.shedder().is_cut(now_, it.rank(), it.caller)) {
        // Leaves the retry budget to requests that the servers should not have rejected.
        why = "shed-by-priority";
    } else if (!is_removed && !needs_no_budget && !pool.budget().take()) {
        counters_.add("cuminpitch_retries_over_budget_total", pool_label(it));
        why = "budget";
    }
    if (why != nullptr) {
        explain_decision(it, "not repeated", {{"reason", std::string(why)}});
        return false;
    }
    count_retry(it, outcome);
    if (is_removed) {
        reroute(it);
    } else {
        dispatch_again(it);
    }
    return true;
}

void dispatcher::impl::count_retry(const live_request& it, const attempt_outcome& outcome)
{
    auto at = pool_label(it);
    at.emplace_back("reason", retry_reason(outcome));
    counters_.add("cuminpitch_retries_total", at);
}

std::vector<entry_view> dispatcher::impl::untried_entries(const live_request& it) const
{
    std::vector<entry_view> out;
    for (const auto& entry : pool_of(it)->last_update().entries) {
        const bool tried =
            std::find(it.tried_entries.begin(), it.tried_entries.end(), entry.id) !=
            it.tried_entries.end();
        if (entry.usable && !tried) {
            out.push_back(entry);
        }
    }
    return out;
}

/// Chooses at random among the entries with the lowest load. The load of a pool's
/// assigned entries isn't known.
const entry_view&
dispatcher::impl::choose_entry(const std::vector<entry_view>& entries, bool is_path_lost)
{
    const auto load = [&](const entry_view& it) {
        const auto own = forwarded_.find(it.id);
        const bool has_own = is_path_lost && own != forwarded_.end();
        return it.load + (has_own ? static_cast<double>(own->second) : 0);
    };
    std::vector<const entry_view*> best;
    for (const auto& it : entries) {
        if (!best.empty() && load(it) > load(*best.front())) {
            continue;
        }
        if (!best.empty() && load(it) < load(*best.front())) {
            best.clear();
        }
        best.push_back(&it);
    }
    return *best[random_() % best.size()];
}

void dispatcher::impl::forward_to_entry(live_request& it)
{
    const auto entries = untried_entries(it);
    if (entries.empty()) {
        conclude(it, refusal_reason::no_entry);
        return;
    }
    const bool is_path_lost = pool_of(it)->last_update().is_path_lost;
    const entry_view& entry = choose_entry(entries, is_path_lost);
    begin_attempt(it);
    it.at = live_request::phase::forwarded;
    it.tried_entries.push_back(entry.id);
    ++forwarded_[entry.id];
    const std::string why = is_path_lost ? "path-lost" : "not-assigned";
    auto at = pool_label(it);
    at.emplace_back("reason", why);
    counters_.add("cuminpitch_forwarded_requests_total", at);
    explain_decision(
        it,
        "forwarded",
        {{"route", it.route->id.str()},
         {"pool", it.pool->id.str()},
         {"entry", entry.id.str()},
         {"reason", why},
         {"attempt",
          static_cast<std::int64_t>(it.tried.size() + it.tried_entries.size())},
         {"limit_ms", absl::ToInt64Milliseconds(it.attempt_timeout)},
         {"waited_ms", absl::ToInt64Milliseconds(now_ - it.received)},
         {"entry_load", entry.load},
         {"entries", static_cast<std::int64_t>(entries.size())}});
    out_.emplace_back(forward{
        entry.id,
        to_entry(it, entry, it.attempt_timeout, entry_.declared, options_.dialect)});
}

void dispatcher::impl::finish_at_entry(live_request& it, http::client_result result)
{
    const std::string verdict_text = result.response.headers.get(http::verdict_header);
    const bool is_response =
        result.failure == http::failure::none && !verdict_text.empty();
    const auto verdict = parse_verdict(verdict_text);
    if (is_response && verdict != core::verdict::not_run) {
        auto connection = connection_fields(result);
        connection.push_back({"entry", it.tried_entries.back().str()});
        respond_to(
            it,
            verdict,
            from_entry(it, std::move(result.response), options_.dialect),
            std::move(connection));
        return;
    }
    // A response without a verdict is not from an entry, or not from the part of an entry
    // that handles requests.
    attempt_outcome outcome;
    const bool is_sent = !is_response && result.verdict != core::verdict::not_run;
    outcome.verdict = is_sent ? core::verdict::may_have_run : core::verdict::not_run;
    outcome.failure =
        is_sent ? refusal_reason::hop_failed : refusal_reason::hop_unreachable;
    if (result.failure == http::failure::response_too_large) {
        outcome.failure = refusal_reason::response_too_large;
    }
    const auto reason = result.response.headers.get(http::reason_header);
    std::vector<telemetry::field> inputs = {
        {"entry", it.tried_entries.back().str()},
        {"reason", is_response ? reason : std::string(to_string(*outcome.failure))},
        {"verdict", std::string(core::to_string(outcome.verdict))},
        {"elapsed_ms", absl::ToInt64Milliseconds(result.elapsed)}};
    for (auto& field : connection_fields(result)) {
        inputs.push_back(std::move(field));
    }
    explain_decision(it, "hop failed", std::move(inputs));
    note_rejected_response(it, result);
    it.may_have_run = it.may_have_run || is_sent;
    it.last_failure = outcome.failure;
    // Another entry may have removed the pool before this one did.
    const bool is_moved =
        is_pool_removed(it) && (reason == to_string(refusal_reason::no_route) ||
                                reason == to_string(refusal_reason::not_assigned));
    const bool is_final = is_response && !it.may_have_run && !is_moved &&
                          (!it.pool->every_entry || !is_fault_of_entry(reason));
    if (!is_final && retry_at_entry(it, outcome)) {
        return;
    }
    // An entry with other declarations than this one may not know the route.
    const bool is_known_here =
        !it.pool->every_entry ||
        result.response.status != status_of(refusal_reason::no_route);
    if (is_response && !it.may_have_run && is_known_here) {
        respond_to(
            it, verdict, from_entry(it, std::move(result.response), options_.dialect));
    } else {
        conclude(it, *it.last_failure);
    }
}

bool dispatcher::impl::retry_at_entry(live_request& it, const attempt_outcome& outcome)
{
    if (!may_retry(it, outcome) || now_ >= it.deadline) {
        return false;
    }
    if (is_pool_removed(it)) {
        count_retry(it, outcome);
        reroute(it);
        return true;
    }
    if (untried_entries(it).empty()) {
        return false;
    }
    // An entry that didn't run the request has put no load on the pool.
    const bool needs_no_budget =
        it.pool->every_entry && outcome.verdict == core::verdict::not_run;
    if (!needs_no_budget && !pool_of(it)->budget().take()) {
        counters_.add("cuminpitch_retries_over_budget_total", pool_label(it));
        return false;
    }
    count_retry(it, outcome);
    forward_to_entry(it);
    return true;
}

void dispatcher::impl::end_attempt(live_request& it)
{
    attempts_.erase(it.attempt);
    if (it.at == live_request::phase::sent) {
        pool_of(it)->release(it.server, it.caller);
    } else if (it.at == live_request::phase::forwarded) {
        const auto found = forwarded_.find(it.tried_entries.back());
        if (--found->second == 0) {
            forwarded_.erase(found);
        }
    }
    it.at = live_request::phase::arriving;
}

} // namespace cuminpitch::request
