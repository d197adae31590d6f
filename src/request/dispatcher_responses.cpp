#include "dispatcher_impl_priv.hpp"

#include "cuminpitch/http/refusal.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminpitch::request {
namespace {

constexpr absl::Duration min_retry_after = absl::Milliseconds(100);
constexpr absl::Duration max_retry_after = absl::Seconds(10);
constexpr absl::Duration default_retry_after = absl::Seconds(1);
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;

void append(std::vector<telemetry::field>& to, std::vector<telemetry::field> fields)
{
    std::move(fields.begin(), fields.end(), std::back_inserter(to));
}

/// Status of a complete response, else 0.
std::int64_t status_or_zero(const http::client_result& it)
{
    return it.failure == http::failure::none ? it.response.status : 0;
}

} // namespace

std::vector<telemetry::field> connection_fields(const http::client_result& it)
{
    std::vector<telemetry::field> out = {{"new_connection", !it.reused_connection}};
    if (it.reused_connection) {
        const auto earlier = static_cast<std::int64_t>(it.connection.earlier_requests);
        out.push_back({"earlier_requests", earlier});
        out.push_back({"rested_ms", absl::ToInt64Milliseconds(it.connection.rested)});
    }
    if (it.mismatch != http::mismatch::none) {
        out.push_back({"mismatch", std::string(to_string(it.mismatch))});
        out.push_back({"excerpt", it.excerpt});
    }
    return out;
}

void dispatcher::impl::explain_decision(
    const live_request& it, std::string what, std::vector<telemetry::field> inputs)
{
    if (options_.explains) {
        out_.emplace_back(
            explain{it.id, it.correlation, std::move(what), std::move(inputs)});
    }
}

void dispatcher::impl::explain_send(const live_request& it, const server_view& server)
{
    if (!options_.explains) {
        return;
    }
    const pool_state& pool = *pool_of(it);
    std::vector<telemetry::field> inputs = {
        {"route", it.route->id.str()},
        {"pool", it.pool->id.str()},
        {"server", server.id.str()},
        {"address", server.at.str()},
        {"attempt", static_cast<std::int64_t>(it.tried.size() + 1)},
        {"limit_ms", absl::ToInt64Milliseconds(it.attempt_timeout)},
        {"waited_ms", absl::ToInt64Milliseconds(now_ - it.received)},
        {"penalty", server.penalty},
        {"suspicion", server.suspicion},
        {"elsewhere", static_cast<std::int64_t>(server.remote_in_flight)},
        {"far", server.in_other_domain},
        {"preferred", server.is_preferred},
        {"pool_in_flight", static_cast<std::int64_t>(pool.in_flight())},
        {"servers", static_cast<std::int64_t>(pool.last_update().servers.size())},
        {"known_for_ms", absl::ToInt64Milliseconds(now_ - entry_.confirmed)},
        {"revision", static_cast<std::int64_t>(pool.last_update().revision.value())}};
    if (it.customer != nullptr) {
        inputs.push_back({"customer", it.customer->id.str()});
        inputs.push_back({"rank", static_cast<std::int64_t>(it.rank())});
    }
    if (server.limit) {
        inputs.push_back({"server_limit_per_s", server.limit->rate.per_second()});
        inputs.push_back(
            {"server_limit_age_ms", absl::ToInt64Milliseconds(server.limit->age)});
    }
    explain_decision(it, "sent", std::move(inputs));
}

void dispatcher::impl::explain_result(
    const live_request& it,
    const http::client_result& result,
    const attempt_outcome& outcome)
{
    if (!options_.explains || (!outcome.failure && !outcome.is_failure_status)) {
        return;
    }
    std::vector<telemetry::field> inputs = {
        {"server", it.server.str()},
        {"reason",
         std::string(outcome.failure ? to_string(*outcome.failure) : "failure-status")},
        {"status", status_or_zero(result)},
        {"verdict", std::string(core::to_string(outcome.verdict))},
        {"elapsed_ms", absl::ToInt64Milliseconds(result.elapsed)}};
    append(inputs, connection_fields(result));
    inputs.push_back({"connect_timed_out", result.connect_timed_out});
    explain_decision(it, "attempt failed", std::move(inputs));
}

/// Bytes that belong to no request show that the server answers some requests twice.
void dispatcher::impl::explain_unexpected_bytes(
    const live_request& it, const http::client_result& result)
{
    const auto& connection = result.connection;
    const auto explain_bytes = [&](const char* when) {
        auto at = pool_label(it);
        at.emplace_back("when", when);
        counters_.add("cuminpitch_unexpected_bytes_total", at);
        std::vector<telemetry::field> inputs = {
            {"server", it.server.str()},
            {"when", std::string(when)},
            {"waiting_bytes", static_cast<std::int64_t>(connection.waiting_bytes)}};
        append(inputs, connection_fields(result));
        explain_decision(it, "unexpected bytes", std::move(inputs));
    };
    if (connection.waiting_bytes > 0) {
        explain_bytes("before-request");
    }
    if (connection.has_surplus) {
        explain_bytes("after-response");
    }
    if (result.mismatch != http::mismatch::none) {
        auto at = pool_label(it);
        at.emplace_back("mismatch", to_string(result.mismatch));
        counters_.add("cuminpitch_mismatched_responses_total", at);
    }
}

/// Ends a request that can't be sent (again): with the failure response of an earlier
/// attempt if there is one, else with the failure of an attempt that may have run, else
/// with `why`.
void dispatcher::impl::conclude(live_request& it, refusal_reason why)
{
    if (it.fallback) {
        respond_to(it, core::verdict::ran, std::move(*it.fallback));
        return;
    }
    const auto verdict =
        it.may_have_run ? core::verdict::may_have_run : core::verdict::not_run;
    refuse_request(it, it.may_have_run ? it.last_failure.value_or(why) : why, verdict);
}

void dispatcher::impl::respond_to(
    live_request& it,
    core::verdict verdict,
    http::response response,
    std::vector<telemetry::field> connection)
{
    auto at = pool_label(it);
    at.emplace_back("verdict", core::to_string(verdict));
    counters_.add("cuminpitch_responses_total", at);
    counters_.record("cuminpitch_request_seconds", now_ - it.received, pool_label(it));
    std::vector<telemetry::field> inputs = {
        {"status", std::int64_t{response.status}},
        {"verdict", std::string(core::to_string(verdict))},
        {"total_ms", absl::ToInt64Milliseconds(now_ - it.received)},
        {"attempts", static_cast<std::int64_t>(it.tried.size())}};
    append(inputs, std::move(connection));
    explain_decision(it, "answered", std::move(inputs));
    out_.emplace_back(respond{it.id, verdict, std::move(response)});
    erase_request(it);
}

void dispatcher::impl::refuse_request(
    live_request& it, refusal_reason why, core::verdict verdict)
{
    auto at = pool_label(it);
    at.emplace_back("reason", to_string(why));
    at.emplace_back("verdict", core::to_string(verdict));
    counters_.add("cuminpitch_refusals_total", at);
    http::refusal refusal;
    refusal.status = status_of(why);
    refusal.verdict = verdict;
    refusal.reason = to_string(why);
    refusal.retry_after = retry_after(it, why);
    refusal.entries = other_entries(it);
    refusal.is_terse = options_.dialect.terse_refusals;
    const bool is_retryable_later = retry_class_of(why) == retry_class::later &&
                                    why != refusal_reason::over_allowance &&
                                    verdict == core::verdict::not_run;
    if (options_.dialect.unavailable_means_not_run && is_retryable_later) {
        refusal.status = unavailable;
    } else if (
        options_.dialect.unavailable_means_not_run && it.may_have_run &&
        refusal.status == unavailable) {
        refusal.status = bad_gateway;
    }
    std::vector<telemetry::field> inputs = {
        {"status", std::int64_t{refusal.status}},
        {"reason", std::string(to_string(why))},
        {"verdict", std::string(core::to_string(verdict))},
        {"retry_after_ms", absl::ToInt64Milliseconds(refusal.retry_after)},
        {"total_ms", absl::ToInt64Milliseconds(now_ - it.received)},
        {"attempts", static_cast<std::int64_t>(it.tried.size())}};
    if (it.customer != nullptr) {
        inputs.push_back({"customer", it.customer->id.str()});
    }
    append(inputs, admission_fields(it));
    explain_decision(it, "refused", std::move(inputs));
    count_admission_refusal(it, why);
    auto response = http::refusal_response(refusal);
    if (it.is_from_entry) {
        response.headers.set(std::string(http::verdict_header), core::to_string(verdict));
    }
    out_.emplace_back(refuse{it.id, why, verdict, std::move(response)});
    erase_request(it);
}

/// Inputs of the decisions of a ranked pool.
std::vector<telemetry::field>
dispatcher::impl::admission_fields(const live_request& it) const
{
    pool_state* pool = it.pool == nullptr ? nullptr : pool_of(it);
    if (!options_.is_ranked || pool == nullptr) {
        return {};
    }
    const auto& shedder = pool->shedder();
    return {
        {"rank", static_cast<std::int64_t>(it.rank())},
        {"expected_wait_ms", absl::ToInt64Milliseconds(it.refused_wait)},
        {"queued", static_cast<std::int64_t>(pool->queue().size())},
        {"rejected_share", shedder.rejected_share()},
        {"refused_share", shedder.refused_share()},
        {"slowdown", shedder.slowdown()}};
}

void dispatcher::impl::count_admission_refusal(const live_request& it, refusal_reason why)
{
    constexpr std::uint32_t last_class = 7;
    const bool is_by_priority = why == refusal_reason::shed_by_priority ||
                                why == refusal_reason::expected_wait ||
                                why == refusal_reason::queue_full;
    if (!options_.is_ranked || !is_by_priority) {
        return;
    }
    auto at = pool_label(it);
    at.emplace_back("priority", std::to_string(std::min(it.rank(), last_class)));
    at.emplace_back("reason", to_string(why));
    counters_.add("cuminpitch_admission_refusals_total", at);
}

/// Logged once for each request, as a queued request may be withheld many times.
void dispatcher::impl::explain_withheld(live_request& it, const server_view& server)
{
    if (std::exchange(it.is_withheld, true)) {
        return;
    }
    counters_.add("cuminpitch_requests_withheld_total", pool_label(it));
    explain_decision(
        it,
        "server left out",
        {{"server", server.id.str()},
         {"reason", std::string("rate-limited")},
         {"server_limit_per_s", server.limit->rate.per_second()},
         {"server_limit_age_ms", absl::ToInt64Milliseconds(server.limit->age)},
         {"own_share_per_s", server.limit->share.per_second()},
         {"granted_by", server.limit->granted_by}});
}

void dispatcher::impl::explain_closed(live_request& it, const server_view& server)
{
    if (std::exchange(it.is_closed_explained, true)) {
        return;
    }
    const bool is_leaving = server.closed_until == absl::InfiniteFuture();
    const auto left = is_leaving ? absl::ZeroDuration() : server.closed_until - now_;
    explain_decision(
        it,
        "server left out",
        {{"server", server.id.str()},
         {"reason", std::string(is_leaving ? "leaving" : "hold-off")},
         {"hold_off_left_ms", absl::ToInt64Milliseconds(left)}});
}

/// Retry-After for a pool without queued requests. It was the servers that refused, and
/// each of them may accept the next request: a slot becomes free after a fraction of the
/// service time. Randomized, so that callers don't retry at the same time.
absl::Duration dispatcher::impl::jittered_retry_after() const
{
    constexpr std::int64_t min_ms = 200;
    constexpr std::int64_t spread_ms = 200;
    const auto spread = static_cast<std::int64_t>(retry_random_() % spread_ms);
    return absl::Milliseconds(min_ms + spread);
}

absl::Duration dispatcher::impl::spread_retry_after(absl::Duration wait) const
{
    constexpr std::uint64_t steps = 1000;
    const auto spread = wait / 2 * (retry_random_() % steps) / steps;
    return std::clamp(wait + spread, min_retry_after, max_retry_after);
}

absl::Duration
dispatcher::impl::retry_after(const live_request& it, refusal_reason why) const
{
    switch (retry_class_of(why)) {
    case retry_class::never:
    case retry_class::other_entry:
        return absl::ZeroDuration();
    case retry_class::unknown_outcome:
        return default_retry_after;
    case retry_class::later:
        break;
    }
    if (why == refusal_reason::over_allowance) {
        return it.permit_wait;
    }
    const pool_state* pool = it.pool == nullptr ? nullptr : pool_of(it);
    const bool has_queue = pool != nullptr && pool->queue().size() > 0;
    if (pool != nullptr && pool->is_closed(now_) &&
        pool->first_open() != absl::InfiniteFuture()) {
        // The longer the callers were refused, the more of them return.
        constexpr std::uint64_t spread_divisor = 4;
        constexpr std::uint64_t steps = 1000;
        const auto wait = pool->first_open() - now_;
        const auto spread = wait / spread_divisor * (retry_random_() % steps) / steps;
        return wait + jittered_retry_after() + spread;
    }
    if (it.refused_wait > absl::ZeroDuration()) {
        return spread_retry_after(it.refused_wait);
    }
    if (why == refusal_reason::shed_by_priority) {
        return spread_retry_after(
            pool->shedder().time_to_capacity() + jittered_retry_after());
    }
    if (pool != nullptr && pool->is_rate_limited(now_)) {
        const auto wait = pool->expected_wait(now_, it) + jittered_retry_after();
        return std::clamp(wait, min_retry_after, max_retry_after);
    }
    if (!has_queue && pool != nullptr && pool->last_update().settings.every_entry) {
        return jittered_retry_after();
    }
    const auto wait = has_queue ? pool->expected_wait(now_, it) : default_retry_after;
    return options_.is_ranked ? spread_retry_after(wait)
                              : std::clamp(wait, min_retry_after, max_retry_after);
}

std::vector<std::string> dispatcher::impl::other_entries(const live_request& it) const
{
    std::vector<std::string> out;
    const pool_state* pool = it.pool == nullptr ? nullptr : pool_of(it);
    if (pool != nullptr) {
        for (const auto& entry : pool->last_update().entries) {
            if (entry.usable) {
                out.push_back(entry.http.str());
            }
        }
    }
    return out;
}

} // namespace cuminpitch::request
