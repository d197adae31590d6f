#include "cuminpitch/daemon/control_daemon.hpp"

#include "cuminpitch/consensus/file_storage.hpp"
#include "cuminpitch/control/bootstrap.hpp"
#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/control/node.hpp"
#include "cuminpitch/core/clock.hpp"
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

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <cerrno>
#include <system_error>

namespace cuminpitch::daemon {
namespace {

constexpr absl::Duration tick_interval = absl::Milliseconds(10);

/// A batch of events that takes longer delays the heartbeats of a leader and is logged.
constexpr absl::Duration slow_batch = absl::Milliseconds(100);

/// Maximum number of events queued behind storage writes. Frames above it, or above
/// `memory_limits::received_frames`, are dropped; peers tolerate that because the network
/// may lose frames too.
constexpr std::size_t inbox_limit = 100'000;

constexpr absl::Duration storage_retry_interval = absl::Milliseconds(200);

/// Whether the storage may work again later without an operator's help: the disk is full
/// or fails, as opposed to damaged contents or a folder that is in use.
bool is_shortage(std::error_code it)
{
    return it == core::errc::storage_failed || it == std::errc::no_space_on_device ||
           it == std::errc::io_error || it == std::errc::file_too_large ||
           it == std::errc::read_only_file_system ||
           it == std::error_code(EDQUOT, std::system_category());
}

void log_unusable_storage(const std::string& data_dir, std::error_code why)
{
    telemetry::log(
        telemetry::severity::error,
        "data folder cannot be used",
        {{"data_dir", data_dir}, {"reason", why.message()}});
}

/// Connects the state machine with storage, sockets and clock. One thread handles all
/// events in batches, and each batch shares one disk sync.
class control_daemon
{
public:
    control_daemon(
        const core::control_settings& settings,
        const control_extras& extras,
        core::random_source random)
        : settings_(settings), extras_(extras), random_(random)
    {
    }

    int run(signal_receiver& signals);

private:
    using inbox = std::vector<control::node_event>;

    /// Opens the data folder, which has the group of the seeds if this is the first start
    /// of a seed, and makes the node from it.
    core::result<void> load();
    core::result<void> load_node();
    bool is_bootstrap_seed() const;
    void wait_for_storage(signal_receiver& signals, std::error_code why);
    void refuse_calls();
    bool open();
    void receive(http::request message, const std::shared_ptr<http::exchange>& exchange);
    void enqueue(control::node_event it);
    inbox take_inbox();
    bool handle_batch(signal_receiver& signals);
    void log_if_slow(
        absl::Time begin,
        absl::Time decided,
        std::size_t events,
        std::size_t actions) const;

    // Each overload executes one action and returns false if the storage failed.
    bool run(consensus::write_hard_state& it) { return check(storage_->write(it)); }
    bool run(consensus::write_entries& it) { return check(storage_->write(it)); }
    bool run(consensus::write_snapshot& it)
    {
        return timed([&] { return check(storage_->write(it)); });
    }
    bool run(consensus::sync_writes&)
    {
        return timed([&] { return check(storage_->sync()); });
    }
    /// Adds the time that a use of the storage takes to `storage_time_`.
    template <class Use>
    bool timed(const Use& use)
    {
        const absl::Time begin = core::monotonic_now();
        const bool done = use();
        storage_time_ += core::monotonic_now() - begin;
        return done;
    }
    bool run(control::action::respond& it);
    bool run(control::action::answer_call& it);
    bool run(control::action::send_frame& it);
    bool run(control::action::form_group& it);
    bool run(control::action::write_log& it);
    bool run(control::action::exit&);
    bool check(const core::result<void>& it);
    struct open_exchange;
    std::optional<open_exchange> take_exchange(core::request_id id);

    const core::control_settings& settings_;
    const control_extras& extras_;
    seed_watcher seeds_{extras_.seeds};
    std::unique_ptr<consensus::file_storage> storage_;
    core::random_source random_;
    const control::memory_limits limits_{control::memory_limits_for(settings_.memory_mb)};
    telemetry::metrics metrics_;
    std::unique_ptr<control::node> node_;
    bool stopping_ = false;
    bool finished_ = false;
    int status_ = 0; ///< Exit status of the process.
    /// Why the last action on the storage failed.
    std::error_code storage_error_;
    absl::Duration storage_time_; ///< Time that the current batch waited for the disk.

    absl::Mutex mutex_;
    inbox inbox_ ABSL_GUARDED_BY(mutex_);
    std::size_t inbox_bytes_ ABSL_GUARDED_BY(mutex_) = 0; ///< Size of its frames.
    std::uint64_t last_request_ ABSL_GUARDED_BY(mutex_) = 0;
    struct open_exchange
    {
        std::shared_ptr<http::exchange> exchange;
        std::shared_ptr<const http::request> message;
    };
    absl::flat_hash_map<core::request_id, open_exchange>
        exchanges_ ABSL_GUARDED_BY(mutex_);

    std::unique_ptr<net::tcp_transport> transport_;
    fault_injection faults_ ABSL_GUARDED_BY(mutex_);
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::server> directory_server_; ///< Null if no address is set.
};

int control_daemon::run(signal_receiver& signals)
{
    const auto loaded = load();
    if (!loaded && !is_shortage(loaded.error())) {
        log_unusable_storage(settings_.data_dir, loaded.error());
        return 1;
    }
    if (!open()) {
        return 1;
    }
    if (!loaded) {
        wait_for_storage(signals, loaded.error());
    }
    if (node_) {
        metrics_.set("cuminpitch_storage_available", 1);
        telemetry::log(
            telemetry::severity::info,
            "started",
            {{"id", settings_.id.str()},
             {"identity", storage_->identity().str()},
             {"http", settings_.http.str()}});
    }
    while (!finished_) {
        if (!handle_batch(signals)) {
            wait_for_storage(signals, storage_error_);
        }
    }
    server_->stop_listening();
    if (directory_server_) {
        directory_server_->stop_listening();
    }
    const absl::Time end = core::monotonic_now() + absl::Seconds(2);
    while (server_->in_flight() > 0 && core::monotonic_now() < end) {
        absl::SleepFor(tick_interval);
    }
    telemetry::log(telemetry::severity::info, "stopped", {{"id", settings_.id.str()}});
    telemetry::flush_log();
    return status_;
}

/// After a failed write it is unknown what is on the disk, so the node is discarded: this
/// instance neither votes nor acknowledges anything until its state can be read and
/// written again, and is then loaded as at a start.
void control_daemon::wait_for_storage(signal_receiver& signals, std::error_code why)
{
    node_.reset();
    metrics_.set("cuminpitch_storage_available", 0);
    telemetry::log(
        telemetry::severity::error,
        "storage not available",
        {{"data_dir", settings_.data_dir}, {"reason", why.message()}});
    while (!finished_) {
        refuse_calls();
        const auto signal = signals.wait(storage_retry_interval);
        if (stopping_ || signal == process_signal::stop) {
            finished_ = true;
            return;
        }
        auto loaded = load();
        if (loaded) {
            loaded = storage_->probe();
        }
        if (loaded) {
            metrics_.set("cuminpitch_storage_available", 1);
            telemetry::log(
                telemetry::severity::info,
                "storage available again",
                {{"data_dir", settings_.data_dir}});
            return;
        }
        node_.reset();
        if (!is_shortage(loaded.error())) {
            log_unusable_storage(settings_.data_dir, loaded.error());
            finished_ = true;
            status_ = 1;
        }
    }
}

/// Answers the waiting calls while there is no node. Callers repeat them at another
/// instance.
void control_daemon::refuse_calls()
{
    absl::flat_hash_map<core::request_id, open_exchange> waiting;
    {
        const absl::MutexLock lock(&mutex_);
        waiting.swap(exchanges_);
        inbox_.clear();
        inbox_bytes_ = 0;
    }
    for (auto& [id, it] : waiting) {
        it.exchange->respond(
            it.message->path == "/metrics"
                ? http::metrics_response(metrics_.exposition())
                : http::json_response(
                      503,
                      R"({"error":"the storage of this instance is not available"})"));
    }
}

bool control_daemon::is_bootstrap_seed() const
{
    const auto& seeds = settings_.seeds;
    return settings_.form_group &&
           std::find(seeds.begin(), seeds.end(), settings_.internal) != seeds.end();
}

core::result<void> control_daemon::load()
{
    storage_.reset(); // Unlocks the folder.
    const auto seed_identity =
        is_bootstrap_seed() ? std::optional(control::seed_identity(settings_.internal))
                            : std::nullopt;
    auto opened =
        consensus::file_storage::open(settings_.data_dir, random_, seed_identity);
    if (!opened) {
        return opened.error();
    }
    storage_ = std::move(opened).value();
    if (storage_->identity() == seed_identity) {
        const auto formed =
            consensus::form_group(*storage_, control::initial_voters(settings_.seeds));
        if (!formed && formed.error() != core::errc::conflict) {
            return formed.error();
        }
    }
    return load_node();
}

core::result<void> control_daemon::load_node()
{
    auto stored = storage_->load();
    if (!stored) {
        return stored.error();
    }
    control::node_options options;
    options.id = settings_.id;
    options.identity = storage_->identity();
    options.start = core::start_id(random_());
    options.http = settings_.http;
    options.internal = settings_.internal;
    options.failure_domain = settings_.failure_domain;
    options.peers = settings_.seeds.empty() ? settings_.peers : settings_.seeds;
    std::erase(options.peers, settings_.internal);
    if (!settings_.seeds.empty()) {
        control::admit_members(options);
    }
    options.declared_losses = settings_.declared_losses;
    options.entries_per_answer = settings_.entries_per_answer;
    options.slots_per_entry = settings_.slots_per_entry;
    options.memory = limits_;
    options.replica.kept_bytes = limits_.kept_log;
    options.replica.max_uncommitted_bytes = limits_.uncommitted_log;
    options.replica.max_unacknowledged_bytes = limits_.unacknowledged_log;
    const core::random_source seed(random_());
    node_ = control::node::make(
        std::move(options),
        std::move(stored).value(),
        control::make_compile_function(),
        seed,
        metrics_,
        core::monotonic_now());
    if (!node_) {
        return make_error_code(core::errc::damaged_record);
    }
    return boost::outcome_v2::success();
}

bool control_daemon::open()
{
    transport_ = open_transport(
        {settings_.id, settings_.internal},
        settings_.internal_listen,
        [this](const net::peer& from, net::frame it) {
            enqueue(control::event::frame_received{from, std::move(it)});
        },
        limits_.queued_frames);
    if (!transport_) {
        return false;
    }
    http::server_options options;
    options.listen = settings_.http;
    options.max_held_bytes = body_limits_for(settings_.memory_mb).requests;
    server_ = open_server(
        options,
        [this](http::request it, const std::shared_ptr<http::exchange>& exchange) {
            receive(std::move(it), exchange);
        });
    if (server_ != nullptr && settings_.directory) {
        options.listen = *settings_.directory;
        directory_server_ = open_server(
            options,
            [this](http::request it, const std::shared_ptr<http::exchange>& exchange) {
                receive(std::move(it), exchange);
            });
        return directory_server_ != nullptr;
    }
    return server_ != nullptr;
}

void control_daemon::receive(
    http::request message, const std::shared_ptr<http::exchange>& exchange)
{
    if (settings_.fault_injection && message.path == control_fault_path) {
        const absl::MutexLock lock(&mutex_);
        exchange->respond(faults_.apply(message.body, *transport_));
        return;
    }
    const auto shared = std::make_shared<const http::request>(std::move(message));
    core::request_id id;
    {
        const absl::MutexLock lock(&mutex_);
        id = core::request_id(++last_request_);
        exchanges_[id] = {exchange, shared};
    }
    if (extras_.api != nullptr) {
        auto decoded = extras_.api->decode(id, *shared);
        if (auto* call = std::get_if<control::api_call>(&decoded)) {
            enqueue(std::move(*call));
            return;
        }
        if (auto* refused = std::get_if<http::response>(&decoded)) {
            static_cast<void>(take_exchange(id));
            exchange->respond(std::move(*refused));
            return;
        }
    }
    enqueue(
        control::event::operator_request{id, shared, absl::ToUnixMillis(absl::Now())});
}

std::optional<control_daemon::open_exchange>
control_daemon::take_exchange(core::request_id id)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return std::nullopt;
    }
    auto out = std::move(found->second);
    exchanges_.erase(found);
    return out;
}

void control_daemon::enqueue(control::node_event it)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto* frame = std::get_if<control::event::frame_received>(&it)) {
        const auto bytes = frame->message.payload.size();
        if (inbox_.size() >= inbox_limit ||
            inbox_bytes_ + bytes > limits_.received_frames) {
            metrics_.add("cuminpitch_dropped_frames_total");
            return;
        }
        inbox_bytes_ += bytes;
    }
    inbox_.push_back(std::move(it));
}

control_daemon::inbox control_daemon::take_inbox()
{
    const absl::MutexLock lock(&mutex_);
    const auto has_events = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return !inbox_.empty();
    };
    mutex_.AwaitWithTimeout(
        absl::Condition(&has_events),
        node_->has_backlog() ? absl::ZeroDuration() : tick_interval);
    inbox_bytes_ = 0;
    return std::exchange(inbox_, {});
}

bool control_daemon::handle_batch(signal_receiver& signals)
{
    inbox events = take_inbox();
    const auto signal = signals.wait(absl::ZeroDuration());
    if (!stopping_ && signal == process_signal::stop) {
        stopping_ = true;
        events.emplace_back(control::event::stop{});
    }
    if (signal == process_signal::reload) {
        telemetry::log(telemetry::severity::info, "reload", {{"id", settings_.id.str()}});
    }
    if (auto seeds =
            seeds_.check(core::monotonic_now(), signal == process_signal::reload)) {
        std::erase(*seeds, settings_.internal);
        events.emplace_back(control::event::peers_changed{std::move(*seeds)});
    }
    const absl::Time begin = core::monotonic_now();
    for (auto& it : events) {
        node_->handle(core::monotonic_now(), std::move(it));
    }
    node_->handle(core::monotonic_now(), control::event::tick{});
    auto actions = node_->take_actions();
    const absl::Time decided = core::monotonic_now();
    storage_time_ = absl::ZeroDuration();
    for (auto& it : actions) {
        if (!std::visit([this](auto& what) { return run(what); }, it)) {
            return false;
        }
    }
    log_if_slow(begin, decided, events.size(), actions.size());
    return true;
}

void control_daemon::log_if_slow(
    absl::Time begin, absl::Time decided, std::size_t events, std::size_t actions) const
{
    const absl::Time end = core::monotonic_now();
    if (end - begin < slow_batch) {
        return;
    }
    telemetry::log(
        telemetry::severity::warning,
        "slow batch",
        {{"total_ms", absl::ToInt64Milliseconds(end - begin)},
         {"deciding_ms", absl::ToInt64Milliseconds(decided - begin)},
         {"storage_ms", absl::ToInt64Milliseconds(storage_time_)},
         {"events", static_cast<std::int64_t>(events)},
         {"actions", static_cast<std::int64_t>(actions)}});
}

bool control_daemon::run(control::action::respond& it)
{
    if (const auto open = take_exchange(it.id)) {
        open->exchange->respond(std::move(it.response));
    }
    return true;
}

bool control_daemon::run(control::action::answer_call& it)
{
    if (const auto open = take_exchange(it.id)) {
        open->exchange->respond(extras_.api->encode(it.answer, *open->message));
    }
    return true;
}

bool control_daemon::run(control::action::send_frame& it)
{
    transport_->send(it.to, std::move(it.message));
    return true;
}

bool control_daemon::run(control::action::form_group& it)
{
    control::action::respond answer{it.request, {}};
    if (const auto formed = consensus::form_group(*storage_, it.voters)) {
        answer.response = http::json_response(200, R"({"outcome":"formed"})");
    } else {
        answer.response =
            http::json_response(409, R"({"error":"this instance is in another group"})");
    }
    run(answer);
    return check(load_node());
}

bool control_daemon::run(control::action::write_log& it)
{
    telemetry::log(it.severity, it.event, it.fields);
    return true;
}

bool control_daemon::run(control::action::exit&)
{
    finished_ = true;
    return true;
}

bool control_daemon::check(const core::result<void>& it)
{
    if (!it) {
        storage_error_ = it.error();
    }
    return static_cast<bool>(it);
}

} // namespace

int run_control(const core::control_settings& settings, const control_extras& extras)
{
    // Blocks the signals before the log starts a thread, which inherits the signal mask.
    signal_receiver signals;
    return_large_blocks();
    telemetry::start_log(
        "cuminpitch-control", settings.log_level, telemetry::log_output::standard_output);
    std::random_device device;
    core::random_source random((std::uint64_t{device()} << 32U) | device());
    return control_daemon(settings, extras, random).run(signals);
}

} // namespace cuminpitch::daemon
