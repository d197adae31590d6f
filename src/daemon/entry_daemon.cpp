#include "cuminpitch/daemon/entry_daemon.hpp"

#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/core/clock.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"
#include "cuminpitch/net/tcp_transport.hpp"
#include "cuminpitch/telemetry/log.hpp"
#include "cuminpitch/telemetry/metrics.hpp"
#include "daemon/allocator_priv.hpp"
#include "daemon/body_limits_priv.hpp"
#include "daemon/clock_priv.hpp"
#include "daemon/fault_injection_priv.hpp"
#include "daemon/listeners_priv.hpp"
#include "daemon/seed_watcher_priv.hpp"
#include "daemon/signal_receiver_priv.hpp"
#include "entry/api_priv.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <atomic>

namespace cuminpitch::daemon {
namespace {

constexpr int not_found = 404;
constexpr int unavailable = 503;

constexpr absl::Duration tick_interval = absl::Milliseconds(20);
/// Most entries of a large fleet have no requests and wake up only for this tick.
constexpr absl::Duration idle_tick_interval = absl::Milliseconds(100);

/// Time limit for sending the remaining responses to callers after the last request.
constexpr absl::Duration flush_timeout = absl::Seconds(5);

/// An entry switches to another control instance once the state of its current one, cut
/// off from its peers, is this old. Together with the time to find another instance,
/// changes are still in force within two seconds.
constexpr absl::Duration stale_state_limit = absl::Milliseconds(700);
constexpr absl::Duration quick_sync_timeout = absl::Milliseconds(400);
constexpr absl::Duration start_sync_interval = absl::Milliseconds(250);
/// After a restart of the whole fleet, entries receive the declarations 1.5 to 1.9 s
/// after their start.
constexpr absl::Duration start_window = absl::Milliseconds(2500);
/// For request deadlines of 2 s and more, leaves about half of the deadline for the
/// request itself.
constexpr absl::Duration max_start_wait = absl::Milliseconds(1200);
constexpr absl::Duration presence_interval = absl::Seconds(1);
/// Contacts are only shown to operators, but make up most of the size of a report.
constexpr absl::Duration contacts_interval = absl::Seconds(10);

entry::node_options
make_options(const core::entry_settings& settings, const entry_extras& extras)
{
    entry::node_options it;
    it.self = {settings.id, settings.http, settings.internal, settings.failure_domain};
    it.incarnation = wall_clock_us();
    it.control = settings.control;
    it.peers = settings.peers;
    it.seed = entry::start_seed(settings.id, it.incarnation);
    it.isolation_timeout = settings.isolation_timeout;
    if (!settings.seeds.empty()) {
        it.control = settings.seeds;
        it.start_window = start_window;
        it.max_start_wait = max_start_wait;
        it.start_sync_interval = start_sync_interval;
        it.stale_state_limit = stale_state_limit;
        it.sync_timeout = quick_sync_timeout;
        it.presence_interval = presence_interval;
        it.contacts_interval = contacts_interval;
    }
    it.slots = settings.slots;
    if (settings.max_key_age) {
        it.max_key_age = *settings.max_key_age;
    }
    it.has_ranked_admission = settings.has_ranked_admission;
    if (settings.stop_grace) {
        it.stop_grace = *settings.stop_grace / 2;
        it.stop_timeout = settings.stop_grace;
        it.closes_when_stopping = true;
    }
    if (extras.api != nullptr) {
        it.dialect = extras.api->dialect;
        it.explains = true;
    }
    return it;
}

/// Readiness and directory requests have no body, so a small limit is enough.
constexpr std::uint64_t query_limit_bytes = 64U << 10U;

http::server_options query_server_options(const core::endpoint& at)
{
    http::server_options it;
    it.listen = at;
    it.max_body_bytes = query_limit_bytes;
    it.max_held_bytes = query_limit_bytes;
    return it;
}

/// Connects the state machine with sockets, clock and threads.
class entry_daemon
{
public:
    entry_daemon(const core::entry_settings& settings, const entry_extras& extras)
        : settings_(settings), extras_(extras),
          node_(
              make_options(settings, extras), control::make_compile_function(), metrics_)
    {
    }

    int run(signal_receiver& signals);

private:
    bool open();
    void receive(http::request message, const std::shared_ptr<http::exchange>& exchange);
    void handle(entry::node_event it);
    absl::Duration next_tick();
    void execute(entry::node_action& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void wait_for_flush();
    void answer_readiness(const http::request& message, http::exchange& exchange);
    void answer_directory(const http::request& message, http::exchange& exchange);

    void run(entry::action::http_respond& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(entry::action::start_call& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(entry::action::cancel_call& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(entry::action::send_frame& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(entry::action::write_log& it);
    void run(entry::action::drain_connections& it);
    void run(entry::action::stop_listening& it);
    void run(entry::action::exit& it);

    struct open_exchange
    {
        std::shared_ptr<http::exchange> exchange;
        absl::Time received;
    };

    const core::entry_settings& settings_;
    const entry_extras& extras_;
    seed_watcher seeds_{extras_.seeds};
    telemetry::metrics metrics_;
    std::atomic<bool> finished_ = false;

    absl::Mutex mutex_;
    entry::node node_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t last_request_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<core::request_id, open_exchange>
        exchanges_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<entry::call_id, http::client::handle>
        calls_ ABSL_GUARDED_BY(mutex_);

    // The threads of these members call into this object, so they are declared last and
    // destroyed first. The server is destroyed before the client, whose destructor
    // cancels calls.
    std::unique_ptr<net::tcp_transport> transport_;
    fault_injection faults_ ABSL_GUARDED_BY(mutex_);
    std::unique_ptr<http::client> client_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::server> readiness_server_; ///< Null if no address is set.
    std::unique_ptr<http::server> directory_server_; ///< Null if no address is set.
};

int entry_daemon::run(signal_receiver& signals)
{
    if (!open()) {
        return 1;
    }
    telemetry::log(
        telemetry::severity::info,
        "started",
        {{"id", settings_.id.str()}, {"http", settings_.http.str()}});
    bool stopping = false;
    while (!finished_) {
        const auto signal = signals.wait(next_tick());
        if (signal == process_signal::stop && !stopping) {
            stopping = true;
            handle(entry::event::stop{});
        }
        if (signal == process_signal::reload) {
            telemetry::log(
                telemetry::severity::info, "reload", {{"id", settings_.id.str()}});
        }
        if (auto seeds =
                seeds_.check(core::monotonic_now(), signal == process_signal::reload)) {
            handle(entry::event::control_changed{std::move(*seeds)});
        }
        handle(entry::event::tick{});
    }
    wait_for_flush();
    telemetry::log(telemetry::severity::info, "stopped", {{"id", settings_.id.str()}});
    telemetry::flush_log();
    return 0;
}

bool entry_daemon::open()
{
    // The lock delays events that arrive early until all sockets are open.
    const absl::MutexLock lock(&mutex_);
    const auto limits = body_limits_for(settings_.memory_mb);
    http::client_options calls;
    calls.max_held_response_bytes = limits.responses;
    client_ = http::client::create(calls);
    transport_ = open_transport(
        {settings_.id, settings_.internal},
        settings_.internal_listen,
        [this](const net::peer& from, net::frame it) {
            handle(entry::event::frame_received{from, std::move(it)});
        });
    if (!transport_) {
        return false;
    }
    http::server_options requests;
    requests.listen = settings_.http;
    requests.max_held_bytes = limits.requests;
    requests.pipeline_depth = settings_.pipeline_depth;
    server_ = open_server(
        requests,
        [this](http::request it, const std::shared_ptr<http::exchange>& exchange) {
            receive(std::move(it), exchange);
        });
    bool is_open = server_ != nullptr;
    if (is_open && settings_.readiness) {
        readiness_server_ = open_server(
            query_server_options(*settings_.readiness),
            [this](const http::request& it, const std::shared_ptr<http::exchange>& to) {
                answer_readiness(it, *to);
            });
        is_open = readiness_server_ != nullptr;
    }
    if (is_open && settings_.directory) {
        directory_server_ = open_server(
            query_server_options(*settings_.directory),
            [this](const http::request& it, const std::shared_ptr<http::exchange>& to) {
                answer_directory(it, *to);
            });
        is_open = directory_server_ != nullptr;
    }
    return is_open;
}

/// Answers from the entry's own state, so that callers find entries even while no control
/// instance can be reached.
void entry_daemon::answer_directory(
    const http::request& message, http::exchange& exchange)
{
    http::response it;
    if (extras_.api == nullptr || message.path != extras_.api->directory_path) {
        it.status = not_found;
    } else {
        std::vector<core::endpoint> named;
        {
            const absl::MutexLock lock(&mutex_);
            named = node_.named_entries();
        }
        if (named.empty()) {
            it.status = unavailable;
        } else {
            it = extras_.api->encode_entries(named);
        }
    }
    exchange.respond(std::move(it));
}

void entry_daemon::answer_readiness(
    const http::request& message, http::exchange& exchange)
{
    http::response it;
    if (message.path == entry::metrics_path) {
        const absl::MutexLock lock(&mutex_);
        it = http::metrics_response(node_.metrics_text());
    } else if (extras_.api == nullptr || message.path != extras_.api->readiness_path) {
        it.status = not_found;
    } else {
        const absl::MutexLock lock(&mutex_);
        it.status = node_.is_ready() ? it.status : unavailable;
    }
    exchange.respond(std::move(it));
}

void entry_daemon::receive(
    http::request message, const std::shared_ptr<http::exchange>& exchange)
{
    if (settings_.fault_injection && message.path == entry_fault_path) {
        const absl::MutexLock lock(&mutex_);
        exchange->respond(faults_.apply(message.body, *transport_));
        return;
    }
    core::request_id id;
    {
        const absl::MutexLock lock(&mutex_);
        id = core::request_id(++last_request_);
        exchanges_[id] = {exchange, core::monotonic_now()};
    }
    handle(entry::event::http_request{
        id, std::make_shared<const http::request>(std::move(message))});
    exchange->on_caller_gone([this, id] {
        handle(entry::event::caller_gone{id});
        const absl::MutexLock lock(&mutex_);
        exchanges_.erase(id);
    });
}

absl::Duration entry_daemon::next_tick()
{
    const absl::MutexLock lock(&mutex_);
    return node_.is_idle() ? idle_tick_interval : tick_interval;
}

void entry_daemon::handle(entry::node_event it)
{
    const absl::MutexLock lock(&mutex_);
    for (auto& action : node_.handle(core::monotonic_now(), std::move(it))) {
        execute(action);
    }
}

void entry_daemon::execute(entry::node_action& it)
{
    std::visit([this](auto& what) ABSL_NO_THREAD_SAFETY_ANALYSIS { run(what); }, it);
}

void entry_daemon::run(entry::action::http_respond& it)
{
    const auto found = exchanges_.find(it.id);
    if (found == exchanges_.end()) {
        return;
    }
    metrics_.record(
        "cuminpitch_request_duration_seconds",
        core::monotonic_now() - found->second.received);
    const auto exchange = std::move(found->second.exchange);
    exchanges_.erase(found);
    exchange->respond(std::move(it.response));
}

void entry_daemon::run(entry::action::start_call& it)
{
    const auto call = it.call;
    calls_[call] =
        client_->start(std::move(it.request), [this, call](http::client_result result) {
            {
                const absl::MutexLock lock(&mutex_);
                calls_.erase(call);
            }
            handle(entry::event::call_finished{call, std::move(result)});
        });
}

void entry_daemon::run(entry::action::cancel_call& it)
{
    if (const auto found = calls_.find(it.call); found != calls_.end()) {
        client_->cancel(found->second);
    }
}

void entry_daemon::run(entry::action::send_frame& it)
{
    transport_->send(it.to, std::move(it.message));
}

void entry_daemon::run(entry::action::write_log& it)
{
    telemetry::log(it.severity, it.event, it.fields);
}

void entry_daemon::run(entry::action::drain_connections&)
{
    server_->drain();
}

void entry_daemon::run(entry::action::stop_listening&)
{
    server_->stop_listening();
}

void entry_daemon::run(entry::action::exit&)
{
    finished_ = true;
}

void entry_daemon::wait_for_flush()
{
    server_->stop_listening();
    const absl::Time end = core::monotonic_now() + flush_timeout;
    while (server_->in_flight() > 0 && core::monotonic_now() < end) {
        absl::SleepFor(tick_interval);
    }
}

} // namespace

int run_entry(const core::entry_settings& settings, const entry_extras& extras)
{
    // Blocks the signals before the log starts a thread, which inherits the signal mask.
    signal_receiver signals;
    return_large_blocks();
    telemetry::start_log(
        "cuminpitch-entry", settings.log_level, telemetry::log_output::standard_output);
    return entry_daemon(settings, extras).run(signals);
}

} // namespace cuminpitch::daemon
