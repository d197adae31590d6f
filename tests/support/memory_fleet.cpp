#include "support/memory_fleet.hpp"

#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/core/verdict.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cuminpitch::testing {
namespace {

using json = nlohmann::json;

constexpr std::uint16_t http_port = 8080;
constexpr std::uint16_t internal_port = 9080;
constexpr absl::Duration entry_tick = absl::Milliseconds(20);
constexpr absl::Duration control_tick = absl::Milliseconds(10);
constexpr absl::Duration renewal = absl::Seconds(1);
constexpr absl::Duration operator_pause = absl::Milliseconds(500);

/// Aborts unless `holds`: the results of a test mean nothing after an error of the
/// simulation itself.
void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

std::string host(int kind, std::size_t i)
{
    return "10." + std::to_string(kind) + ".0." + std::to_string(i + 1);
}

std::string last_segment(const std::string& target)
{
    const auto path = target.substr(0, target.find('?'));
    return path.substr(path.rfind('/') + 1);
}

std::string to_text(const telemetry::field& it)
{
    struct writer
    {
        std::string operator()(const std::string& text) const { return text; }
        std::string operator()(std::int64_t number) const
        {
            return std::to_string(number);
        }
        std::string operator()(double number) const { return std::to_string(number); }
        std::string operator()(bool flag) const { return flag ? "true" : "false"; }
    };
    return it.name + "=" + std::visit(writer(), it.value);
}

std::shared_ptr<const http::request> received(const http_call& it)
{
    auto message = std::make_shared<http::request>();
    message->method = it.request.method;
    message->target = it.request.target;
    const auto mark = it.request.target.find('?');
    message->path = it.request.target.substr(0, mark);
    std::string rest =
        mark == std::string::npos ? std::string() : it.request.target.substr(mark + 1);
    while (!rest.empty()) {
        const auto field = rest.substr(0, rest.find('&'));
        const auto equals = field.find('=');
        message->query.emplace_back(field.substr(0, equals), field.substr(equals + 1));
        rest.erase(0, field.size() + 1);
    }
    message->headers = it.request.headers;
    message->body = it.request.content();
    message->peer_address = it.from;
    return message;
}

} // namespace

struct memory_fleet::entry_process
{
    std::size_t number = 0;
    entry::node_options options;
    absl::Duration clock_offset;
    telemetry::metrics metrics;
    std::unique_ptr<entry::node> node;
    /// Incremented at each start and crash, so that earlier events can be dropped.
    std::uint64_t generation = 0;
    bool frozen = false;
    std::deque<entry::node_event> queued_events; ///< Events that arrived while frozen.
    std::uint64_t last_request = 0;
    absl::btree_map<core::request_id, call_ptr> exchanges;
    absl::btree_map<entry::call_id, call_ptr> calls;
    std::string status_body;
};

struct memory_fleet::control_process
{
    std::size_t number = 0;
    control::node_options options;
    absl::Duration clock_offset;
    telemetry::metrics metrics;
    std::unique_ptr<consensus::memory_storage> storage;
    std::unique_ptr<control::node> node;
    /// Incremented at each start and crash, so that earlier events can be dropped.
    std::uint64_t generation = 0;
    std::uint64_t disks = 0;
    std::optional<std::size_t> actions_until_crash;
    std::uint64_t last_request = 0;
    absl::btree_map<core::request_id, call_ptr> exchanges;
};

memory_fleet::memory_fleet(fleet_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    const auto& domains = options_.failure_domains;
    std::vector<core::endpoint> control;
    for (std::size_t i = 0; i < options_.controls; ++i) {
        control.push_back({host(2, i), internal_port});
    }
    for (std::size_t i = 0; i < options_.controls; ++i) {
        auto& it = *controls_.emplace_back(std::make_unique<control_process>());
        it.number = i;
        it.clock_offset = absl::Hours(100 + i);
        it.options.id = core::instance_id("control-" + std::to_string(i + 1));
        it.options.http = {host(2, i), http_port};
        it.options.internal = control[i];
        it.options.failure_domain = core::failure_domain_id(domains[i % domains.size()]);
        for (const auto& peer : control) {
            if (peer != control[i]) {
                it.options.peers.push_back(peer);
            }
        }
        wipe_disk(i);
        start_control(i);
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
        auto& it = *entries_.emplace_back(std::make_unique<entry_process>());
        it.number = i;
        it.clock_offset = absl::Hours(200 + i);
        it.options.self = {
            core::instance_id("entry-" + std::to_string(i + 1)),
            {host(1, i), http_port},
            {host(1, i), internal_port},
            core::failure_domain_id(domains[i % domains.size()])};
        it.options.control = control;
        it.options.peers = {
            {host(1, (i + 1) % options_.entries), internal_port},
            {host(1, (i + 2) % options_.entries), internal_port}};
    }
}

memory_fleet::~memory_fleet() = default;

void memory_fleet::after(absl::Duration delay, std::function<void()> what)
{
    events_.emplace(std::pair(now_ + delay, ++last_event_), std::move(what));
}

void memory_fleet::run_for(absl::Duration length)
{
    const absl::Time end = now_ + length;
    while (!events_.empty() && events_.begin()->first.first <= end) {
        const auto first = events_.begin();
        now_ = first->first.first;
        const auto what = std::move(first->second);
        events_.erase(first);
        what();
    }
    now_ = end;
}

void memory_fleet::log(
    const std::string& who,
    const std::string& what,
    const std::vector<telemetry::field>& fields)
{
    if (on_log) {
        std::string text = what;
        for (const auto& it : fields) {
            text += " " + to_text(it);
        }
        on_log(who, text);
    }
}

// Network.

absl::Duration memory_fleet::delay()
{
    const auto range =
        absl::ToInt64Microseconds(options_.most_delay - options_.least_delay);
    return options_.least_delay + absl::Microseconds(random(range + 1));
}

bool memory_fleet::is_cut(const std::string& from, const std::string& to) const
{
    return cuts_.contains({from, to});
}

void memory_fleet::send(const net::peer& from, const core::endpoint& to, net::frame it)
{
    after(delay(), [this, from, to, it = std::move(it)]() mutable {
        if (is_cut(from.internal.host, to.host)) {
            return;
        }
        for (auto& at : entries_) {
            if (at->options.self.internal == to) {
                deliver(*at, entry::event::frame_received{from, std::move(it)});
                return;
            }
        }
        for (auto& at : controls_) {
            if (at->options.internal == to) {
                deliver(*at, control::event::frame_received{from, std::move(it)});
                return;
            }
        }
    });
}

/// A reused connection sends at once even if the return path is cut, whereas a new
/// connection can't be opened then.
call_ptr memory_fleet::call(
    const std::string& from,
    http::client_request request,
    std::function<void(http::client_result)> done)
{
    auto it = std::make_shared<http_call>();
    it->from = from;
    it->request = std::move(request);
    it->started = now_;
    it->done = std::move(done);
    const auto& to = it->request.to.host;
    const bool connects = !is_cut(from, to) && !is_cut(to, from);
    const bool reuses = !it->request.fresh_connection && happens(0.5);
    if (!connects && !reuses) {
        after(it->request.connect_timeout, [this, it] {
            finish(it, core::verdict::not_run, http::failure::connect);
        });
        return it;
    }
    after(delay(), [this, it, from, to] {
        if (!is_cut(from, to) && it->done) {
            arrive(it);
        }
    });
    after(it->request.timeout, [this, it] {
        finish(it, core::verdict::may_have_run, http::failure::timeout);
    });
    return it;
}

void memory_fleet::finish(
    const call_ptr& it, core::verdict verdict, http::failure failure)
{
    if (!it->done) {
        return;
    }
    if (options_.report_resets_not_run && failure == http::failure::reset) {
        verdict = core::verdict::not_run;
    }
    http::client_result result;
    result.verdict = verdict;
    result.failure = failure;
    result.elapsed = now_ - it->started;
    std::exchange(it->done, {})(std::move(result));
    if (it->on_client_gone && !is_cut(it->from, it->request.to.host)) {
        after(delay(), std::exchange(it->on_client_gone, {}));
    }
}

void memory_fleet::answer(const call_ptr& it, http::response response)
{
    it->on_client_gone = {};
    after(delay(), [this, it, response = std::move(response)]() mutable {
        if (!it->done || is_cut(it->request.to.host, it->from)) {
            return;
        }
        http::client_result result;
        result.verdict = core::verdict::ran;
        result.response = std::move(response);
        result.elapsed = now_ - it->started;
        std::exchange(it->done, {})(std::move(result));
    });
}

void memory_fleet::reset(const call_ptr& it)
{
    it->on_client_gone = {};
    after(delay(), [this, it] {
        if (!is_cut(it->request.to.host, it->from)) {
            finish(it, core::verdict::may_have_run, http::failure::reset);
        }
    });
}

void memory_fleet::arrive(const call_ptr& it)
{
    const auto& to = it->request.to;
    const bool misrouted =
        options_.misroute_hops && it->request.headers.has("Cuminpitch-Hop");
    for (auto& at : entries_) {
        if (at->options.self.http == to && at->node) {
            auto next = (at->number + 1) % entries_.size();
            if (entries_[next]->options.self.http.host == it->from) {
                next = (next + 1) % entries_.size();
            }
            const bool redirects_to_next = misrouted && entries_[next]->node;
            return arrive(redirects_to_next ? *entries_[next] : *at, it);
        }
    }
    for (auto& at : controls_) {
        if (at->options.http == to && at->node) {
            return arrive(*at, it);
        }
    }
    for (auto& at : backends_) {
        if (at.at == to && at.up) {
            return arrive(at, it);
        }
    }
    // No running process has this address, so the connection is refused.
    finish(it, core::verdict::not_run, http::failure::connect);
}

void memory_fleet::arrive(entry_process& at, const call_ptr& it)
{
    if (it->request.headers.has("Cuminpitch-Hop")) {
        hops_[last_segment(it->request.target)].emplace_back(
            it->from, at.options.self.http.host);
        if (options_.drop_hop_header) {
            it->request.headers.remove("Cuminpitch-Hop");
        }
    }
    const core::request_id id(++at.last_request);
    at.exchanges[id] = it;
    it->on_client_gone = [this, &at, id, generation = at.generation] {
        if (at.generation == generation) {
            at.exchanges.erase(id);
            deliver(at, entry::event::caller_gone{id});
        }
    };
    deliver(at, entry::event::http_request{id, received(*it)});
}

void memory_fleet::arrive(control_process& at, const call_ptr& it)
{
    const core::request_id id(++at.last_request);
    at.exchanges[id] = it;
    deliver(
        at,
        control::event::operator_request{id, received(*it), absl::ToUnixMillis(now_)});
}

void memory_fleet::arrive(backend& at, const call_ptr& it)
{
    http::response response;
    if (it->request.target == "/probe") {
        answer(it, response);
        return;
    }
    const auto id = last_segment(it->request.target);
    if (happens(at.faults.sheds)) {
        response.status = 503;
        response.headers.set("Cuminpitch-Run", "not-run");
        answer(it, response);
        return;
    }
    if (happens(at.faults.resets_before)) {
        reset(it);
        return;
    }
    executions_[id].push_back({at.name, it->started, at.leaving_since});
    if (happens(at.faults.hangs)) {
        return;
    }
    if (happens(at.faults.resets_after)) {
        reset(it);
        return;
    }
    response.status = happens(at.faults.fails) ? 500 : 200;
    response.body = "done " + id + " by " + at.name;
    after(at.faults.work, [this, &at, it, response] {
        if (at.up) {
            answer(it, response);
        } else {
            reset(it);
        }
    });
}

// Entries.

const control::entry_record& memory_fleet::entry(std::size_t i) const
{
    return entries_[i]->options.self;
}

bool memory_fleet::is_running(std::size_t i) const
{
    return entries_[i]->node && !entries_[i]->frozen;
}

bool memory_fleet::has_process(std::size_t i) const
{
    return entries_[i]->node != nullptr;
}

core::revision memory_fleet::revision(std::size_t i) const
{
    return entries_[i]->node ? entries_[i]->node->revision() : core::revision();
}

std::uint64_t memory_fleet::incarnation(std::size_t i) const
{
    return entries_[i]->options.incarnation;
}

void memory_fleet::start_entry(std::size_t i)
{
    auto& it = *entries_[i];
    require(!it.node);
    it.options.incarnation = static_cast<std::uint64_t>(absl::ToUnixMicros(now_));
    it.options.seed = random_();
    it.node = std::make_unique<entry::node>(
        it.options, control::make_compile_function(), it.metrics);
    ++it.generation;
    it.frozen = false;
    tick_entry(i, it.generation);
}

void memory_fleet::crash_entry(std::size_t i)
{
    auto& it = *entries_[i];
    it.node.reset();
    ++it.generation;
    it.frozen = false;
    it.queued_events.clear();
    it.calls.clear();
    for (auto& [id, exchange] : std::exchange(it.exchanges, {})) {
        if (exchange) {
            reset(exchange);
        }
    }
}

void memory_fleet::stop_entry(std::size_t i)
{
    deliver(*entries_[i], entry::event::stop{});
}

void memory_fleet::freeze_entry(std::size_t i)
{
    entries_[i]->frozen = true;
}

void memory_fleet::thaw_entry(std::size_t i)
{
    auto& it = *entries_[i];
    it.frozen = false;
    for (auto& event : std::exchange(it.queued_events, {})) {
        deliver(it, std::move(event));
    }
}

void memory_fleet::tick_entry(std::size_t i, std::uint64_t generation)
{
    auto& it = *entries_[i];
    if (it.generation != generation) {
        return;
    }
    if (!it.frozen) {
        deliver(it, entry::event::tick{});
    }
    after(entry_tick, [this, i, generation] { tick_entry(i, generation); });
}

void memory_fleet::deliver(entry_process& at, entry::node_event it)
{
    if (!at.node) {
        return;
    }
    if (at.frozen) {
        at.queued_events.push_back(std::move(it));
        return;
    }
    const auto generation = at.generation;
    for (auto& action : at.node->handle(now_ + at.clock_offset, std::move(it))) {
        if (at.generation == generation) {
            std::visit([&](auto& what) { run(at, what); }, action);
        }
    }
}

std::string memory_fleet::status(std::size_t i)
{
    auto& at = *entries_[i];
    if (!is_running(i)) {
        return {};
    }
    http_call ask;
    ask.request.method = "GET";
    ask.request.target = "/.cuminpitch/v1/status";
    at.status_body.clear();
    deliver(at, entry::event::http_request{core::request_id(), received(ask)});
    return at.status_body;
}

void memory_fleet::run(entry_process& at, entry::action::http_respond& it)
{
    if (it.id == core::request_id()) {
        at.status_body = std::move(it.response.body);
        return;
    }
    const auto found = at.exchanges.find(it.id);
    if (found == at.exchanges.end()) {
        return;
    }
    if (!found->second) {
        ++duplicate_answers_;
        return;
    }
    answer(std::exchange(found->second, nullptr), std::move(it.response));
}

void memory_fleet::run(entry_process& at, entry::action::start_call& it)
{
    const auto id = it.call;
    at.calls[id] = call(
        at.options.self.http.host,
        std::move(it.request),
        [this, &at, id, generation = at.generation](http::client_result result) {
            if (at.generation == generation) {
                at.calls.erase(id);
                deliver(at, entry::event::call_finished{id, std::move(result)});
            }
        });
}

/// The result is delivered as a later event, as the real client delivers it from its own
/// thread.
void memory_fleet::run(entry_process& at, entry::action::cancel_call& it)
{
    if (const auto found = at.calls.find(it.call); found != at.calls.end()) {
        after(absl::ZeroDuration(), [this, call = found->second] {
            finish(call, core::verdict::may_have_run, http::failure::cancelled);
        });
    }
}

void memory_fleet::run(entry_process& at, entry::action::send_frame& it)
{
    const auto& self = at.options.self;
    send({self.id, self.internal}, it.to, std::move(it.message));
}

void memory_fleet::run(entry_process& at, entry::action::write_log& it)
{
    log(at.options.self.id.str(), it.event, it.fields);
}

/// Callers of this fleet have no connections.
void memory_fleet::run(entry_process&, entry::action::drain_connections&) {}

void memory_fleet::run(entry_process& at, entry::action::stop_listening&)
{
    log(at.options.self.id.str(), "stop listening", {});
}

void memory_fleet::run(entry_process& at, entry::action::exit&)
{
    log(at.options.self.id.str(), "exit", {});
    // The node is destroyed in a later event because the caller still uses it.
    after(absl::ZeroDuration(), [this, i = at.number, generation = at.generation] {
        if (entries_[i]->generation == generation) {
            crash_entry(i);
        }
    });
}

// Control instances.

core::endpoint memory_fleet::control_http(std::size_t i) const
{
    return controls_[i]->options.http;
}

bool memory_fleet::is_control_running(std::size_t i) const
{
    return controls_[i]->node != nullptr;
}

void memory_fleet::wipe_disk(std::size_t i)
{
    auto& it = *controls_[i];
    require(!it.node);
    it.storage = std::make_unique<consensus::memory_storage>();
    it.options.identity =
        consensus::member_id(it.options.id.str() + "-disk-" + std::to_string(++it.disks));
}

void memory_fleet::load(control_process& at)
{
    at.node = control::node::make(
        at.options,
        at.storage->load().value(),
        control::make_compile_function(),
        core::random_source(random_()),
        at.metrics,
        now_ + at.clock_offset);
    require(at.node != nullptr);
}

void memory_fleet::start_control(std::size_t i)
{
    auto& it = *controls_[i];
    require(!it.node);
    load(it);
    ++it.generation;
    tick_control(i, it.generation);
}

void memory_fleet::end(control_process& at)
{
    at.node.reset();
    ++at.generation;
    at.actions_until_crash.reset();
    at.storage->crash(random(at.storage->unsynced_writes() + 1));
    for (auto& [id, exchange] : std::exchange(at.exchanges, {})) {
        reset(exchange);
    }
}

void memory_fleet::crash_control(std::size_t i, std::size_t more_actions)
{
    if (more_actions == 0) {
        end(*controls_[i]);
    } else {
        controls_[i]->actions_until_crash = more_actions;
    }
}

void memory_fleet::stop_control(std::size_t i)
{
    deliver(*controls_[i], control::event::stop{});
}

void memory_fleet::tick_control(std::size_t i, std::uint64_t generation)
{
    if (controls_[i]->generation == generation) {
        deliver(*controls_[i], control::event::tick{});
        after(control_tick, [this, i, generation] { tick_control(i, generation); });
    }
}

void memory_fleet::deliver(control_process& at, control::node_event it)
{
    if (!at.node) {
        return;
    }
    at.node->handle(now_ + at.clock_offset, std::move(it));
    for (auto& action : at.node->take_actions()) {
        if (at.actions_until_crash && (*at.actions_until_crash)-- == 0) {
            end(at);
            return;
        }
        std::visit([&](auto& what) { run(at, what); }, action);
        if (!at.node) {
            return;
        }
    }
}

void memory_fleet::run(control_process& at, consensus::write_hard_state& it)
{
    require(static_cast<bool>(at.storage->write(it)));
}

void memory_fleet::run(control_process& at, consensus::write_entries& it)
{
    require(static_cast<bool>(at.storage->write(it)));
}

void memory_fleet::run(control_process& at, consensus::write_snapshot& it)
{
    require(static_cast<bool>(at.storage->write(it)));
}

void memory_fleet::run(control_process& at, consensus::sync_writes&)
{
    require(static_cast<bool>(at.storage->sync()));
}

void memory_fleet::run(control_process& at, control::action::respond& it)
{
    const auto found = at.exchanges.find(it.id);
    if (found != at.exchanges.end()) {
        answer(found->second, std::move(it.response));
        at.exchanges.erase(found);
    }
}

void memory_fleet::run(control_process& at, control::action::answer_call& it)
{
    // Nothing in this simulation makes such calls.
    log(at.options.id.str(), "answered a call", {});
    static_cast<void>(it);
}

void memory_fleet::run(control_process& at, control::action::send_frame& it)
{
    send({at.options.id, at.options.internal}, it.to, std::move(it.message));
}

void memory_fleet::run(control_process& at, control::action::form_group& it)
{
    const bool formed = static_cast<bool>(consensus::form_group(*at.storage, it.voters));
    control::action::respond response{
        it.request, http::json_response(formed ? 200 : 409, "{}")};
    run(at, response);
    load(at);
}

void memory_fleet::run(control_process& at, control::action::write_log& it)
{
    log(at.options.id.str(), it.event, it.fields);
}

void memory_fleet::run(control_process& at, control::action::exit&)
{
    log(at.options.id.str(), "exit", {});
    end(at);
}

void memory_fleet::form_group()
{
    json instances = json::array();
    for (const auto& it : controls_) {
        instances.push_back(it->options.internal.str());
    }
    bool formed = false;
    run_for(absl::Seconds(1));
    http::client_request init;
    init.to = control_http(0);
    init.method = "POST";
    init.target = "/v1/init";
    init.body = json{{"instances", instances}}.dump();
    call(host(5, 0), init, [&](const http::client_result& it) {
        formed = it.failure == http::failure::none && it.response.status == 200;
    });
    run_for(absl::Seconds(3));
    require(formed);
}

void memory_fleet::ask_control(
    const std::string& method,
    const std::string& target,
    const std::string& body,
    const std::function<void(http::response)>& done)
{
    http::client_request ask;
    ask.to = control_http(random(controls_.size()));
    ask.method = method;
    ask.target = target;
    ask.body = body;
    const auto again = [=, this] { ask_control(method, target, body, done); };
    const auto handle_response = [=, this](const http::client_result& it) {
        if (it.failure != http::failure::none || it.response.status == 421 ||
            it.response.status == 503) {
            after(operator_pause, again);
        } else {
            done(it.response);
        }
    };
    call(host(5, 0), ask, [=, this](const http::client_result& it) {
        if (it.failure != http::failure::none || it.response.status != 421) {
            handle_response(it);
            return;
        }
        auto next = ask;
        next.to = *core::parse_endpoint(json::parse(it.response.body)["leader"]);
        call(host(5, 0), next, handle_response);
    });
}

// Backend servers.

backend& memory_fleet::add_backend(const backend& it)
{
    auto& added = backends_.emplace_back(it);
    added.at = {host(3, backends_.size() - 1), http_port};
    return added;
}

void memory_fleet::start(backend& it)
{
    it.up = true;
    it.state = "active";
    it.leaving_since = absl::InfiniteFuture();
    it.incarnation = static_cast<std::uint64_t>(absl::ToUnixMicros(now_));
    it.sequence = 0;
    it.echoes.clear();
    it.targets.clear();
    announce(it, it.incarnation);
}

void memory_fleet::leave(backend& it)
{
    it.state = "leaving";
    it.leaving_since = now_;
    ++it.sequence;
    for (const auto& to : it.targets) {
        announce_to(it, to);
    }
}

void memory_fleet::announce(backend& it, std::uint64_t incarnation)
{
    if (!it.up || it.incarnation != incarnation) {
        return;
    }
    ++it.sequence;
    if (it.targets.empty() || happens(0.1)) {
        it.targets.push_back(entry(random(entries_.size())).http);
    }
    for (const auto& to : it.targets) {
        announce_to(it, to);
    }
    after(renewal, [this, &it, incarnation] { announce(it, incarnation); });
}

void memory_fleet::announce_to(backend& it, const core::endpoint& entry)
{
    json body = {
        {"team", it.team},
        {"pool", it.pool},
        {"server", it.name},
        {"incarnation", it.incarnation},
        {"sequence", it.sequence},
        {"state", it.state},
        {"address", it.at.str()},
        {"slots", it.slots}};
    if (const auto echo = it.echoes.find(entry); echo != it.echoes.end()) {
        body["echo"] = echo->second;
    }
    http::client_request announcement;
    announcement.to = entry;
    announcement.method = "POST";
    announcement.target = "/.cuminpitch/v1/announce";
    announcement.body = body.dump();
    announcement.timeout = renewal;
    const auto take = [this, &it, entry, incarnation = it.incarnation](
                          const http::client_result& result) {
        if (result.failure != http::failure::none || result.response.status != 200 ||
            it.incarnation != incarnation) {
            return;
        }
        const json answer = json::parse(result.response.body);
        it.echoes[entry] = answer["echo"];
        std::vector<core::endpoint> named;
        for (const auto& text : answer["entries"]) {
            named.push_back(*core::parse_endpoint(text));
        }
        if (named.empty()) {
            return;
        }
        const auto known = std::exchange(it.targets, named);
        for (const auto& to : named) {
            if (std::find(known.begin(), known.end(), to) == known.end()) {
                announce_to(it, to);
            }
        }
    };
    call(it.at.host, announcement, take);
}

} // namespace cuminpitch::testing
