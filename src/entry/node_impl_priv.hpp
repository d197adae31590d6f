#pragma once

#include "cuminpitch/entry/node.hpp"

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/health/path_monitor.hpp"
#include "cuminpitch/request/dispatcher.hpp"
#include "cuminpitch/request/route_table.hpp"
#include "entry/allowances_priv.hpp"
#include "entry/control_link_priv.hpp"
#include "entry/entries_query_priv.hpp"
#include "entry/failure_relay_priv.hpp"
#include "entry/pool_runtime_priv.hpp"
#include "entry/rate_limits_priv.hpp"
#include "entry/server_notices_priv.hpp"
#include "entry/server_reach_priv.hpp"
#include "entry/shared_pool_priv.hpp"
#include "entry/status_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace cuminpitch::entry {

struct probe_call
{
    core::pool_id pool;
    core::server_id server;
};

/// Shows whether the network path to a server works.
struct path_probe
{
    core::pool_id pool;
    core::server_id server;
    absl::Time began;
};

/// The purpose of an HTTP call that this entry started.
using call_purpose =
    std::variant<request::attempt_id, probe_call, path_probe, entries_query>;

/// Implementation of node. node.cpp handles events and actions, node_api.cpp serves
/// the HTTP API of the entry, node_pools.cpp applies fleet views and updates pools, and
/// node_reach.cpp acts on lost network paths to servers.
class node::impl
{
public:
    impl(
        node_options options,
        control::compile_function compile,
        telemetry::metrics& metrics)
        : options_(std::move(options)), metrics_(metrics),
          link_(options_, std::move(compile)), random_(options_.seed),
          dispatcher_(
              dispatcher_options(options_),
              core::random_source(options_.seed + 1),
              metrics),
          relay_(options_.self),
          limits_(options_.self, core::random_source(options_.seed + 2), metrics),
          reach_(options_.self, core::random_source(options_.seed + 3), metrics),
          notices_(options_.self, core::random_source(options_.seed + 4), metrics),
          allowances_(options_.self, core::random_source(options_.seed + 5), metrics)
    {
    }

    std::vector<node_action> handle(absl::Time now, node_event input)
    {
        now_ = now;
        if (now_ - last_refresh_ > max_refresh_age) {
            refresh();
        }
        std::visit([&](auto& event) { on(event); }, input);
        apply_view();
        flush_reach();
        flush_notices();
        flush_limits();
        flush_allowances();
        return std::exchange(out_, {});
    }

    core::revision revision() const { return link_.replica().revision(); }
    bool is_ready() const { return view_ && routes_ && !condition_.is_draining; }
    bool is_idle() const
    {
        return is_ready() && pools_.empty() && dispatcher_.in_flight() == 0 &&
               limits_.is_idle() && reach_.is_idle() && allowances_.is_idle();
    }
    std::vector<core::endpoint> named_entries() const;
    std::string metrics_text();

private:
    /// Ticks arrive every 20 ms. After a longer gap, for example when the process was
    /// suspended, server records and leases may have expired, so they are refreshed
    /// before the event is handled.
    static constexpr absl::Duration max_refresh_age = absl::Milliseconds(40);

    static request::dispatcher_options dispatcher_options(const node_options& from)
    {
        request::dispatcher_options it;
        it.dialect = from.dialect;
        it.explains = from.explains;
        it.is_ranked = from.has_ranked_admission;
        return it;
    }

    // Event handlers.
    void on(event::http_request& received);
    void on(event::caller_gone& gone);
    void on(event::call_finished& finished);
    void on(event::frame_received& received);
    void on(event::tick&);
    void on(event::stop&);
    void on(event::control_changed& changed);

    // Handlers of finished HTTP calls, one for each purpose.
    void finish(const request::attempt_id& attempt, http::client_result& result);
    void finish(const probe_call& probe, http::client_result& result);
    void finish(const path_probe& probe, http::client_result& result);
    void finish(entries_query& query, http::client_result& result);

    // Actions requested by the dispatcher and by the health of a pool.
    void run(request::start_attempt& start)
    {
        call(start.send.attempt, make_client_request(start.send));
    }
    void run(request::forward& forwarded)
    {
        call(forwarded.send.attempt, make_client_request(forwarded.send));
    }
    void run(request::respond& response)
    {
        respond(response.request, std::move(response.response));
    }
    void run(request::refuse& refusal)
    {
        respond(refusal.request, std::move(refusal.response));
    }
    void run(request::cancel_attempt& cancel);
    void run(request::want_permits& wanted)
    {
        limits_.want(now_, wanted.pool, wanted.server, wanted.count);
    }
    void run(request::request_allowance& wanted)
    {
        allowances_.request(now_, wanted.request, wanted.customer);
    }
    void run(request::observe& observed);
    void run(request::explain& explanation);
    void run(const core::pool_id& pool, health::send_heartbeat& heartbeat);
    void run(const core::pool_id& pool, health::action::start_probe& start);
    void run(const core::pool_id& pool, health::log_event& logged);

    void handle_api_request(core::request_id id, const http::request& message);
    void handle_entries_request(core::request_id id, const http::request& message);
    void handle_announce_request(core::request_id id, const http::request& message);
    std::optional<core::pool_id> requested_pool(const http::request& message) const;
    void query_next_entry(entries_query query);

    void receive_control_message(const net::peer& from, const net::frame& frame);
    void receive_heartbeat(const net::peer& from, const net::frame& frame);

    void dispatch(request::event received)
    {
        run_all(dispatcher_.handle(now_, std::move(received)));
    }
    void run_all(std::vector<request::action> actions);
    void call(call_purpose purpose, http::client_request request);
    void respond(core::request_id id, http::response response);
    void append_actions(std::vector<node_action> actions);
    void
    log(telemetry::severity severity,
        std::string event,
        std::vector<telemetry::field> fields = {});

    void apply_view();
    void drop_undeclared_pools(const control::fleet_view& previous);
    /// True if the settings or the assignment of a pool that this entry does not serve
    /// differ between `previous` and the current view. Unaffected pools are skipped
    /// because updating all pools of a fleet of the target size takes longer than the
    /// rest of an assignment change.
    bool is_affected(
        const control::fleet_view& previous, const config::pool_settings& declared) const;
    void update_pool(const config::pool_settings& declared);
    bool is_assigned_here(const core::pool_id& pool) const;
    void refresh();
    void tick_pools();
    void update_if_without_servers(const core::pool_id& pool);
    void tick_shared_pools();
    void update_shared_pool(const config::pool_settings& declared);
    void update_dispatcher(const core::pool_id& pool);
    /// Updates the dispatcher with the pool and the rate limits of its servers.
    void update_dispatcher(request::pool_update update);
    void update_dispatcher_of(const core::pool_id& id);
    void dispatch_waiting();
    void send_presence();
    /// Sends the messages of the rate limits, and updates the pools whose servers are
    /// affected.
    void flush_limits();
    /// Passes on the decisions about requests that need permits of customers' rates, and
    /// sends the messages.
    void flush_allowances();
    void flush_notices();
    void observe_notice(
        const core::pool_id& pool,
        const core::server_id& server,
        const http::client_result& result);
    /// Sends messages and probes that find out about network paths to servers, and
    /// updates the pools of which one was lost or has recovered.
    void flush_reach();
    void start_path_probe(const server_reach::probe& it);
    void send_evidence();
    /// Counts failures of servers that were sent to other entries or received from them.
    void count_reports(const control::pool_evidence& evidence, const char* direction);
    void relay_failures();
    void log_choices();
    void count_choices(const core::pool_id& pool, const request::choice_counts& it);
    void send_occupancy();
    std::vector<core::endpoint> domain_peers() const;
    std::vector<core::endpoint> active_domain_peers() const;
    void announce_activity();
    void divide_servers();
    void receive_evidence(const net::peer& from, const control::pool_evidence& evidence);
    void update_condition();
    bool is_isolated() const;

    node_options options_;
    telemetry::metrics& metrics_;
    control_link link_;
    core::random_source random_;
    request::dispatcher dispatcher_;

    absl::Time now_;
    std::vector<node_action> out_;
    control::fleet_view_ptr view_;
    pool_map pools_;
    absl::btree_map<core::pool_id, shared_pool> shared_pools_;
    /// Other entries that serve requests, with the time of their last pool_evidence.
    absl::btree_map<core::endpoint, absl::Time> active_peers_;
    failure_relay relay_;
    rate_limits limits_;
    server_reach reach_;
    server_notices notices_;
    allowances allowances_;
    /// Revision in which the declarations last changed, or a later one.
    core::revision declared_;
    /// Pools for which other entries have sent evidence since the last tick.
    absl::btree_set<core::pool_id> pools_with_evidence_;
    struct waiting_request
    {
        core::request_id id;
        std::shared_ptr<const http::request> message;
        absl::Time arrived;
    };
    std::vector<waiting_request> waiting_requests_;
    health::path_monitor paths_;
    bool was_impaired_ = false;
    std::uint64_t recent_requests_ = 0;
    absl::Time next_activity_ = absl::InfinitePast();
    absl::Time next_occupancy_ = absl::InfinitePast();
    absl::Time next_occupancy_repeat_ = absl::InfinitePast();
    absl::btree_map<core::pool_id, std::vector<control::pool_evidence::server_count>>
        sent_occupancy_;
    absl::Time next_penalty_update_ = absl::InfinitePast();
    absl::Time next_presence_ = absl::InfinitePast();
    absl::Time next_choice_log_ = absl::InfinitePast();
    std::shared_ptr<const request::route_table> routes_;

    std::uint64_t last_call_id_ = 0;
    absl::flat_hash_map<call_id, call_purpose> calls_;
    absl::flat_hash_map<request::attempt_id, call_id> call_of_attempt_;

    absl::Time started_ = absl::InfiniteFuture();
    absl::Time last_refresh_ = absl::InfinitePast();
    absl::Time refuse_at_ = absl::InfiniteFuture();
    absl::Time ends_at_ = absl::InfiniteFuture(); ///< End of the grace period of a stop.
    node_condition condition_;
    bool stopped_listening_ = false;
    bool exited_ = false;
};

} // namespace cuminpitch::entry
