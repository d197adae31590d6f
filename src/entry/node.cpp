#include "entry/node_impl_priv.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/control_codec.hpp"
#include "cuminpitch/wire/pool_codec.hpp"
#include "entry/api_priv.hpp"

#include <iterator>

namespace cuminpitch::entry {
namespace {

/// Callers may still be connecting when their cached list of entries expires.
constexpr absl::Duration drain_margin = absl::Seconds(1);
/// Time left for a response to reach the caller before the process is killed.
constexpr absl::Duration answer_margin = absl::Milliseconds(200);

constexpr absl::Duration probe_timeout = absl::Seconds(1);

health::attempt_kind to_attempt_kind(request::observation::kind observed)
{
    switch (observed) {
    case request::observation::kind::success:
        return health::attempt_kind::success;
    case request::observation::kind::failure:
        return health::attempt_kind::failure;
    case request::observation::kind::shed:
        return health::attempt_kind::shed;
    // Only pools that every entry serves have overdue attempts.
    case request::observation::kind::overdue:
    case request::observation::kind::none:
        break;
    }
    return health::attempt_kind::none;
}

} // namespace

void node::impl::on(event::http_request& received)
{
    if (options_.dialect.has_api_paths &&
        received.message->path.starts_with(api_prefix)) {
        handle_api_request(received.id, *received.message);
    } else {
        ++recent_requests_;
        if (!routes_ && now_ - started_ < options_.start_window) {
            waiting_requests_.push_back({received.id, std::move(received.message), now_});
            return;
        }
        dispatch(request::request_received{received.id, std::move(received.message), {}});
    }
}

/// Dispatches the requests that waited for the declarations: all of them once the
/// declarations are in force or the start window is over, and each one whose maximum wait
/// is over. Without declarations, the dispatcher refuses them.
void node::impl::dispatch_waiting()
{
    const bool is_wait_over = routes_ || now_ - started_ >= options_.start_window;
    std::vector<waiting_request> still_waiting;
    for (auto& it : std::exchange(waiting_requests_, {})) {
        if (is_wait_over || now_ - it.arrived >= options_.max_start_wait) {
            dispatch(request::request_received{
                it.id, std::move(it.message), now_ - it.arrived});
        } else {
            still_waiting.push_back(std::move(it));
        }
    }
    waiting_requests_ = std::move(still_waiting);
}

void node::impl::on(event::caller_gone& gone)
{
    std::erase_if(waiting_requests_, [&](const auto& request_waiting) {
        return request_waiting.id == gone.id;
    });
    dispatch(request::caller_gone{gone.id});
}

void node::impl::on(event::call_finished& finished)
{
    const auto found = calls_.find(finished.call);
    if (found == calls_.end()) {
        return;
    }
    auto purpose = std::move(found->second);
    calls_.erase(found);
    std::visit([&](auto& what) { finish(what, finished.result); }, purpose);
}

void node::impl::finish(const request::attempt_id& attempt, http::client_result& result)
{
    call_of_attempt_.erase(attempt);
    dispatch(request::attempt_finished{attempt, std::move(result)});
}

void node::impl::finish(const probe_call& probe, http::client_result& result)
{
    observe_notice(probe.pool, probe.server, result);
    const bool success =
        result.failure == http::failure::none && result.response.status < 400;
    if (const auto it = pools_.find(probe.pool); it != pools_.end()) {
        it->second->health().probe_finished(now_, probe.server, success);
    }
}

void node::impl::finish(entries_query& query, http::client_result& result)
{
    if (result.failure == http::failure::none && result.response.status == 200) {
        respond(query.caller, std::move(result.response));
    } else {
        query_next_entry(std::move(query));
    }
}

void node::impl::on(event::frame_received& received)
{
    link_.record_contact(now_, received.from.id);
    const auto message = net::decompress_payload(std::move(received.message));
    if (!message) {
        metrics_.add("cuminpitch_malformed_messages_total");
        return;
    }
    switch (message->channel) {
    case net::channel::control:
        receive_control_message(received.from, *message);
        break;
    case net::channel::pool:
        receive_heartbeat(received.from, *message);
        break;
    default:
        break;
    }
}

void node::impl::receive_control_message(const net::peer& from, const net::frame& frame)
{
    const auto message = wire::decode_control_message(frame.payload);
    if (!message) {
        metrics_.add("cuminpitch_malformed_messages_total");
        return;
    }
    if (const auto* evidence = std::get_if<control::pool_evidence>(&message.value())) {
        receive_evidence(from, *evidence);
        return;
    }
    if (const auto* it = std::get_if<control::permit_request>(&message.value())) {
        it->customer ? allowances_.receive(now_, from, *it)
                     : limits_.receive(now_, from, *it);
    } else if (const auto* it = std::get_if<control::permit_response>(&message.value())) {
        it->customer ? allowances_.receive(now_, from, *it)
                     : limits_.receive(now_, from, *it);
    } else if (const auto* it = std::get_if<control::rate_news>(&message.value())) {
        limits_.receive(now_, from, *it);
        if (it->wants_reply) {
            notices_.reply_to(from.internal);
        }
    } else if (const auto* it = std::get_if<control::leaving_news>(&message.value())) {
        notices_.receive(now_, *it);
    } else if (const auto* it = std::get_if<control::reach_query>(&message.value())) {
        reach_.receive(now_, from, *it);
    } else if (const auto* it = std::get_if<control::reach_report>(&message.value())) {
        reach_.receive(now_, from, *it);
    } else {
        append_actions(link_.receive(now_, from, message.value()));
    }
}

void node::impl::receive_heartbeat(const net::peer& from, const net::frame& frame)
{
    const auto heartbeat = wire::decode_pool_heartbeat(frame.payload);
    if (!heartbeat) {
        metrics_.add("cuminpitch_malformed_messages_total");
        return;
    }
    append_actions(
        link_.on_peer_revision(from.internal, heartbeat.value().fleet_revision));
    if (const auto pool = pools_.find(heartbeat.value().pool); pool != pools_.end()) {
        pool->second->health().receive(now_, from.id, heartbeat.value());
        update_if_without_servers(pool->first);
    }
}

void node::impl::on(event::tick&)
{
    started_ = std::min(started_, now_);
    append_actions(link_.tick(now_));
    refresh();
    reach_.set_load(
        dispatcher_.in_flight(),
        is_ready() && !condition_.is_isolated && !condition_.is_refusing);
    reach_.tick(now_);
    if (reach_.any_lost()) {
        paths_.set_lost(now_);
    }
    flush_reach();
    tick_shared_pools();
    limits_.tick(now_);
    notices_.tick(now_);
    allowances_.set_confirmed(link_.last_response());
    allowances_.tick(now_);
    if (now_ >= next_presence_ || paths_.is_impaired(now_) != was_impaired_) {
        send_presence();
    }
    dispatch_waiting();
    dispatch(request::tick{});
    if (condition_.is_refusing && options_.stop_grace && !stopped_listening_) {
        stopped_listening_ = true;
        out_.emplace_back(action::stop_listening{});
    }
    if (condition_.is_refusing && dispatcher_.in_flight() == 0 && !exited_) {
        exited_ = true;
        out_.emplace_back(action::exit{});
    }
}

void node::impl::on(event::stop&)
{
    if (condition_.is_draining) {
        return;
    }
    condition_.is_draining = true;
    if (options_.closes_when_stopping) {
        out_.emplace_back(action::drain_connections{});
    }
    refuse_at_ = now_ + options_.stop_grace.value_or(options_.entries_ttl + drain_margin);
    if (options_.stop_timeout) {
        ends_at_ = now_ + *options_.stop_timeout - answer_margin;
    }
    update_condition();
    link_.set_draining(true);
    if (options_.presence_interval < absl::InfiniteDuration()) {
        send_presence();
    }
    for (auto& [id, pool] : pools_) {
        pool->health().set_draining(true);
    }
    log(telemetry::severity::info, "draining");
}

void node::impl::run(request::cancel_attempt& cancel)
{
    if (const auto found = call_of_attempt_.find(cancel.attempt);
        found != call_of_attempt_.end()) {
        out_.emplace_back(action::cancel_call{found->second});
    }
}

void node::impl::on(event::control_changed& changed)
{
    log(telemetry::severity::info,
        "control instances changed",
        {{"control", static_cast<std::int64_t>(changed.control.size())}});
    link_.set_control(std::move(changed.control));
}

void node::impl::run(request::explain& explanation)
{
    explanation.inputs.insert(
        explanation.inputs.begin(),
        {{"request",
          explanation.correlation.empty() ? std::to_string(explanation.request.value())
                                          : std::move(explanation.correlation)}});
    log(telemetry::severity::info,
        std::move(explanation.what),
        std::move(explanation.inputs));
}

void node::impl::run(request::observe& observed)
{
    limits_.observe(
        now_,
        observed.what.pool,
        observed.what.server,
        now_ - observed.what.duration,
        observed.what.max_rate);
    notices_.observe(
        now_,
        observed.what.pool,
        observed.what.server,
        observed.what.incarnation,
        observed.what.notice);
    if (const auto pool = shared_pools_.find(observed.what.pool);
        pool != shared_pools_.end()) {
        pool->second.observe(now_, observed.what);
        reach_.observe(now_, observed.what);
        if (observed.what.what != request::observation::kind::overdue) {
            paths_.count(now_, observed.what.server, observed.what.may_be_path_failure);
        }
        if (observed.what.what != request::observation::kind::success) {
            update_dispatcher(observed.what.pool);
        }
        return;
    }
    if (const auto pool = pools_.find(observed.what.pool); pool != pools_.end()) {
        pool->second->health().observe(
            now_,
            observed.what.server,
            observed.what.route,
            to_attempt_kind(observed.what.what),
            observed.what.duration);
    }
}

void node::impl::run(const core::pool_id&, health::send_heartbeat& heartbeat)
{
    if (const auto to = view_->entries.find(heartbeat.to); to != view_->entries.end()) {
        out_.emplace_back(action::send_frame{
            to->second.internal,
            net::frame{net::channel::pool, wire::encode(heartbeat.message)}});
    }
}

void node::impl::run(const core::pool_id& pool, health::action::start_probe& start)
{
    if (!notices_.is_open(now_, pool, start.server)) {
        pools_.at(pool)->health().probe_finished(now_, start.server, false);
        return;
    }
    http::client_request probe;
    probe.to = start.address;
    probe.method = "GET";
    probe.target = pools_.at(pool)->settings().probe_path.value_or("/");
    probe.timeout = probe_timeout;
    limits_.count_sent(now_, pool, start.server);
    call(probe_call{pool, start.server}, std::move(probe));
}

void node::impl::run(const core::pool_id& pool, health::log_event& logged)
{
    log(telemetry::severity::info,
        logged.what,
        {{"pool", pool.str()},
         {"server", logged.server.str()},
         {"severity", logged.severity}});
}

void node::impl::run_all(std::vector<request::action> actions)
{
    // All attempts are counted first, as running an action may update the dispatcher with
    // the permits that are left.
    for (const auto& it : actions) {
        if (const auto* start = std::get_if<request::start_attempt>(&it)) {
            limits_.count_sent(now_, start->pool, start->server);
        }
    }
    for (auto& it : actions) {
        std::visit([&](auto& what) { run(what); }, it);
    }
}

void node::impl::call(call_purpose purpose, http::client_request request)
{
    const call_id id(++last_call_id_);
    if (const auto* attempt = std::get_if<request::attempt_id>(&purpose)) {
        call_of_attempt_[*attempt] = id;
    }
    calls_.emplace(id, std::move(purpose));
    out_.emplace_back(action::start_call{id, std::move(request)});
}

void node::impl::respond(core::request_id id, http::response response)
{
    out_.emplace_back(action::http_respond{id, std::move(response)});
}

void node::impl::append_actions(std::vector<node_action> actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(out_));
}

void node::impl::log(
    telemetry::severity severity, std::string event, std::vector<telemetry::field> fields)
{
    out_.emplace_back(action::write_log{severity, std::move(event), std::move(fields)});
}

std::uint64_t start_seed(const core::instance_id& id, std::uint64_t incarnation)
{
    return core::hash64(id.str(), incarnation);
}

node::node(
    node_options options, control::compile_function compile, telemetry::metrics& metrics)
    : impl_(std::make_unique<impl>(std::move(options), std::move(compile), metrics))
{
}

node::~node() = default;

std::vector<node_action> node::handle(absl::Time now, node_event input)
{
    return impl_->handle(now, std::move(input));
}

bool node::is_ready() const
{
    return impl_->is_ready();
}

bool node::is_idle() const
{
    return impl_->is_idle();
}

std::string node::metrics_text()
{
    return impl_->metrics_text();
}

std::vector<core::endpoint> node::named_entries() const
{
    return impl_->named_entries();
}

core::revision node::revision() const
{
    return impl_->revision();
}

} // namespace cuminpitch::entry
