#pragma once

#include "cuminpitch/request/dispatcher.hpp"

#include "attempt_outcome_priv.hpp"
#include "filters_priv.hpp"
#include "split_balancer_priv.hpp"
#include "team_shares_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace cuminpitch::request {

/// The connection of an attempt for the log, and which part of its response did not fit.
std::vector<telemetry::field> connection_fields(const http::client_result& it);

/// Implementation of dispatcher. Arrivals, and requests that are routed again, are in
/// dispatcher_arrivals.cpp, queues and events in dispatcher.cpp, attempts and retries in
/// dispatcher_attempts.cpp, responses and refusals to callers in
/// dispatcher_responses.cpp.
class dispatcher::impl
{
public:
    impl(
        dispatcher_options options,
        core::random_source random,
        telemetry::metrics& counters)
        : options_(std::move(options)), random_(random), splits_(random),
          retry_random_(random), counters_(counters),
          teams_(options_.in_flight_limit, options_.team_share_percent)
    {
    }

    void set_routes(std::shared_ptr<const route_table> it);
    void set_entry(const entry_state& it) { entry_ = it; }
    std::vector<action> update_pool(absl::Time now, pool_update it);
    std::vector<action> remove_pool(absl::Time now, const core::pool_id& id);
    std::vector<action> handle(absl::Time now, event it);
    std::size_t in_flight() const { return live_.size(); }
    pool_load load(const core::pool_id& id) const;
    choice_counts take_choice_counts(const core::pool_id& id);
    bool has_servers(const core::pool_id& id) const;
    std::vector<std::pair<core::server_id, std::uint32_t>>
    in_flight_by_server(const core::pool_id& id) const;

private:
    using live_ptr = std::unique_ptr<live_request>;
    using live_map = absl::flat_hash_map<request_id, live_ptr>;

    void on(request_received it);
    void on(attempt_finished it);
    void on(const caller_gone& it);
    void on(const allowance_decided& it);
    void on(const tick& it);

    std::optional<refusal_reason> check(live_request& it);
    void place(live_ptr it, std::optional<refusal_reason> why);
    void reroute(live_request& it);
    bool may_repeat_on_new_route(const live_request& it);
    bool is_pool_removed(const live_request& it) const;
    std::optional<refusal_reason> apply_filters(live_request& it) const;
    std::optional<refusal_reason> admit_to_entry(const core::team_id& team);
    bool evict_from_team(const core::team_id& team);

    void dispatch_or_enqueue(live_request& it);
    void dispatch_again(live_request& it);
    std::optional<refusal_reason> enqueue(live_request& it);
    void send(live_request& it, const server_view& server);
    void dispatch_queued(pool_state& pool);
    void refuse_unservable(pool_state& pool);
    bool is_shed(const live_request& it);
    const server_view* pick_server(live_request& it, std::uint32_t count);
    bool lacks_time(const live_request& it, const pool_state& pool) const;

    void finish_at_server(live_request& it, http::client_result result);
    bool retry_at_server(live_request& it, const attempt_outcome& outcome);
    void forward_to_entry(live_request& it);
    void finish_at_entry(live_request& it, http::client_result result);
    bool retry_at_entry(live_request& it, const attempt_outcome& outcome);
    std::vector<entry_view> untried_entries(const live_request& it) const;
    void count_retry(const live_request& it, const attempt_outcome& outcome);
    const entry_view&
    choose_entry(const std::vector<entry_view>& entries, bool is_path_lost);

    void conclude(live_request& it, refusal_reason why);
    /// `connection` describes the connection of the response for the log.
    void respond_to(
        live_request& it,
        core::verdict verdict,
        http::response response,
        std::vector<telemetry::field> connection = {});
    void refuse_request(live_request& it, refusal_reason why, core::verdict verdict);
    absl::Duration retry_after(const live_request& it, refusal_reason why) const;
    absl::Duration jittered_retry_after() const;
    /// The wait, longer by up to half at random so that callers don't retry together.
    absl::Duration spread_retry_after(absl::Duration wait) const;
    void count_admission_refusal(const live_request& it, refusal_reason why);
    std::vector<telemetry::field> admission_fields(const live_request& it) const;
    std::vector<std::string> other_entries(const live_request& it) const;

    void explain_decision(
        const live_request& it, std::string what, std::vector<telemetry::field> inputs);
    void explain_send(const live_request& it, const server_view& server);
    void explain_withheld(live_request& it, const server_view& server);
    void explain_closed(live_request& it, const server_view& server);
    void explain_result(
        const live_request& it,
        const http::client_result& result,
        const attempt_outcome& outcome);
    void
    explain_unexpected_bytes(const live_request& it, const http::client_result& result);
    /// `in_flight` is the number of attempts without a result yet.
    bool has_attempts_left(const live_request& it, std::uint32_t in_flight = 0) const;
    void begin_attempt(live_request& it);
    absl::Duration
    choose_attempt_time(const live_request& it, const server_view& server) const;
    bool switch_server(live_request& it);
    void report_overdue(live_request& it);
    /// Sets the timer of a sent request to the earliest of its time limits.
    void set_attempt_timer(live_request& it);
    observation make_observation(const live_request& it, observation::kind what) const;
    void end_attempt(live_request& it);
    void set_timer(live_request& it, absl::Time timer_at);
    void erase_request(live_request& it);
    live_ptr remove_request(live_map::iterator at);
    pool_state* pool_of(const live_request& it) const;
    void erase_removed(const core::pool_id& id);
    telemetry::labels pool_label(const live_request& it) const;

    const dispatcher_options options_;
    core::random_source random_;
    mutable split_balancer splits_;
    mutable core::random_source retry_random_;
    telemetry::metrics& counters_;
    const route_filter route_filter_;
    const key_filter key_filter_;
    const admission_filter admission_filter_;
    const ownership_filter ownership_filter_;

    std::shared_ptr<const route_table> routes_;
    entry_state entry_;
    absl::flat_hash_map<core::pool_id, std::unique_ptr<pool_state>> pools_;
    absl::flat_hash_set<core::pool_id> removed_;
    /// Pools of which all servers have rate limits. Their queued requests are looked at
    /// in each tick, as permits expire and requests for permits are repeated.
    absl::flat_hash_set<core::pool_id> rate_limited_pools_;
    /// Ranked pools with queued requests, whose waits are predicted again in each tick.
    absl::btree_set<core::pool_id> waiting_pools_;
    absl::btree_map<core::team_id, std::size_t> pools_of_team_;
    team_shares teams_;

    live_map live_;
    absl::flat_hash_map<attempt_id, request_id> attempts_;
    /// Requests that are forwarded now, by entry.
    absl::flat_hash_map<core::instance_id, std::size_t> forwarded_;
    absl::btree_set<std::pair<absl::Time, request_id>> timers_;
    attempt_id last_attempt_;

    // Valid during one call of update_pool(), remove_pool() or handle().
    absl::Time now_;
    std::vector<action> out_;
};

} // namespace cuminpitch::request
