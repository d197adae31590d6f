// Fake backend server: announces itself to entries and serves requests with faults that
// can be changed at run time.
#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"

#include <CLI/CLI.hpp>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

namespace cuminpitch {
namespace {

using nlohmann::json;

constexpr std::size_t execution_limit = 1000000;
constexpr absl::Duration loop_interval = absl::Milliseconds(5);

std::atomic<bool> stop_requested{false};

std::int64_t now_ms()
{
    return absl::ToUnixMillis(absl::Now());
}

struct settings
{
    std::vector<std::string> entries;
    std::string team = "team";
    std::string pool = "pool";
    std::string id = "server-1";
    std::string failure_domain = "a";
    std::string address = "127.0.0.1";
    unsigned slots = 4;
    unsigned port = 0;
    unsigned cold_start_ms = 0;
    unsigned connections = 400;
    double service_ms = 5;
    unsigned run_for_s = 3600;
};

/// Injected faults. POST /_fake/faults changes them; members that are left out keep their
/// values.
struct faults
{
    double service_ms = 5;
    double latency_factor = 1;
    double error_rate = 0;            ///< 500 after execution.
    double unavailable_rate = 0;      ///< 503 without Cuminpitch-Run, after execution.
    double shed_rate = 0;             ///< 503 with Cuminpitch-Run: not-run, not executed.
    double cut_rate = 0;              ///< Closes the connection after half of the body.
    double close_after_read_rate = 0; ///< Executes, then closes without a response.
    double hang_rate = 0;             ///< Executes, but never responds.
    std::string route_prefix;         ///< Faults apply only to paths with this prefix.
    bool health_lies = true;          ///< /health always returns 200.
    bool announces = true;
    bool leaves = false; ///< Announces that it is leaving but keeps serving.
};

void update(faults& it, const json& from)
{
    const auto number = [&](const char* name, double& value) {
        value = from.value(name, value);
    };
    number("service_ms", it.service_ms);
    number("latency_factor", it.latency_factor);
    number("error_rate", it.error_rate);
    number("unavailable_rate", it.unavailable_rate);
    number("shed_rate", it.shed_rate);
    number("cut_rate", it.cut_rate);
    number("close_after_read_rate", it.close_after_read_rate);
    number("hang_rate", it.hang_rate);
    it.route_prefix = from.value("route_prefix", it.route_prefix);
    it.health_lies = from.value("health_lies", it.health_lies);
    it.announces = from.value("announces", it.announces);
    it.leaves = from.value("leaves", it.leaves);
}

struct execution
{
    std::string request_id;
    std::string method;
    std::string target;
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

/// Runs callbacks after a delay, on its own thread.
class timer
{
public:
    timer() : thread_([this] { run(); }) {}
    ~timer()
    {
        stopping_ = true;
        thread_.join();
    }
    timer(const timer&) = delete;

    void after(absl::Duration delay, std::function<void()> call)
    {
        const absl::MutexLock lock(&mutex_);
        calls_.emplace(absl::Now() + delay, std::move(call));
    }

private:
    void run()
    {
        while (!stopping_) {
            std::vector<std::function<void()>> ready;
            {
                const absl::MutexLock lock(&mutex_);
                const auto end = calls_.upper_bound(absl::Now());
                for (auto it = calls_.begin(); it != end; ++it) {
                    ready.push_back(std::move(it->second));
                }
                calls_.erase(calls_.begin(), end);
            }
            for (const auto& call : ready) {
                call();
            }
            absl::SleepFor(absl::Microseconds(500));
        }
    }

    absl::Mutex mutex_;
    std::multimap<absl::Time, std::function<void()>> calls_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Serves requests and applies the injected faults.
class backend
{
public:
    explicit backend(const settings& it) : random_(core::hash64(it.id))
    {
        faults_.service_ms = it.service_ms;
    }

    void serve(http::request in, const std::shared_ptr<http::exchange>& to);
    std::size_t in_flight() const { return in_flight_; }
    bool announces() const
    {
        const absl::MutexLock lock(&mutex_);
        return faults_.announces;
    }
    bool leaves() const
    {
        const absl::MutexLock lock(&mutex_);
        return faults_.leaves;
    }

private:
    enum class outcome
    {
        good,
        error,
        unavailable,
        cut,
        closed,
        hung
    };

    void control(const http::request& in, http::exchange& to);
    void work(http::request in, const std::shared_ptr<http::exchange>& to);
    bool happens(double rate);
    outcome draw_outcome(const faults& it);
    std::string executions() const;
    static void finish(const http::request& in, http::exchange& to, outcome how);

    mutable absl::Mutex mutex_;
    core::random_source random_;
    faults faults_;
    std::vector<execution> executions_;
    std::atomic<std::size_t> in_flight_{0};
    timer timer_;
};

void backend::serve(http::request in, const std::shared_ptr<http::exchange>& to)
{
    if (absl::StartsWith(in.path, "/_fake/") || in.path == "/health") {
        control(in, *to);
        return;
    }
    work(std::move(in), to);
}

void backend::control(const http::request& in, http::exchange& to)
{
    if (in.path == "/_fake/executions") {
        http::response out = http::json_response(200, executions());
        out.headers.set("Content-Type", "application/x-ndjson");
        to.respond(std::move(out));
        return;
    }
    const absl::MutexLock lock(&mutex_);
    if (in.path == "/health") {
        const bool is_sick = faults_.error_rate > 0 || faults_.latency_factor > 2;
        to.respond(
            http::json_response(is_sick && !faults_.health_lies ? 503 : 200, "{}"));
        return;
    }
    const auto body = json::parse(in.body, nullptr, false);
    if (in.path != "/_fake/faults" || !body.is_object()) {
        to.respond(http::json_response(400, "{}"));
        return;
    }
    try {
        update(faults_, body);
        to.respond(http::json_response(200, "{}"));
    } catch (const json::exception& it) {
        to.respond(http::json_response(400, json{{"error", it.what()}}.dump()));
    }
}

bool backend::happens(double rate)
{
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
}

backend::outcome backend::draw_outcome(const faults& it)
{
    if (happens(it.error_rate)) {
        return outcome::error;
    }
    if (happens(it.unavailable_rate)) {
        return outcome::unavailable;
    }
    if (happens(it.cut_rate)) {
        return outcome::cut;
    }
    if (happens(it.close_after_read_rate)) {
        return outcome::closed;
    }
    return happens(it.hang_rate) ? outcome::hung : outcome::good;
}

void backend::work(http::request in, const std::shared_ptr<http::exchange>& to)
{
    absl::Duration delay;
    outcome how = outcome::good;
    std::size_t index = 0;
    {
        const absl::MutexLock lock(&mutex_);
        const bool is_affected = absl::StartsWith(in.path, faults_.route_prefix);
        if (is_affected && happens(faults_.shed_rate)) {
            http::response out = http::json_response(503, "{}");
            out.headers.set("Cuminpitch-Run", "not-run");
            out.headers.set("Retry-After", "1");
            to->respond(std::move(out));
            return;
        }
        how = is_affected ? draw_outcome(faults_) : outcome::good;
        const double factor = is_affected ? faults_.latency_factor : 1;
        delay = absl::Milliseconds(faults_.service_ms * factor);
        index = executions_.size();
        if (index < execution_limit) {
            executions_.push_back(
                {in.headers.get("X-Request-Id"), in.method, in.target, now_ms(), 0});
        }
    }
    ++in_flight_;
    timer_.after(delay, [this, index, how, to, request = std::move(in)] {
        {
            const absl::MutexLock lock(&mutex_);
            if (index < executions_.size()) {
                executions_[index].end_ms = now_ms();
            }
        }
        finish(request, *to, how);
        --in_flight_;
    });
}

void backend::finish(const http::request& in, http::exchange& to, outcome how)
{
    http::response out;
    out.headers.set("X-Request-Id", in.headers.get("X-Request-Id"));
    out.headers.set("X-Body-Hash", std::to_string(core::hash64(in.body)));
    out.body = in.headers.get("X-Request-Id") + "\n" + in.body;
    switch (how) {
    case outcome::good:
        to.respond(std::move(out));
        break;
    case outcome::error:
        to.respond(http::json_response(500, "{}"));
        break;
    case outcome::unavailable:
        to.respond(http::json_response(503, "{}"));
        break;
    case outcome::cut:
        to.break_off(out, out.body.size() / 2);
        break;
    case outcome::closed:
        to.break_off(std::nullopt, 0);
        break;
    case outcome::hung:
        break; // Never responds; the caller or the fleet times out.
    }
}

std::string backend::executions() const
{
    const absl::MutexLock lock(&mutex_);
    std::string out;
    for (const auto& it : executions_) {
        out +=
            json{
                {"request_id", it.request_id},
                {"method", it.method},
                {"target", it.target},
                {"begin_ms", it.begin_ms},
                {"end_ms", it.end_ms}}
                .dump(-1, ' ', false, json::error_handler_t::replace) +
            "\n";
    }
    return out;
}

/// Announces the server to the configured entries and to those named in their responses.
class announcer
{
public:
    announcer(const settings& it, core::endpoint self)
        : settings_(it), self_(std::move(self)), client_(http::client::create())
    {
        for (const auto& text : it.entries) {
            if (const auto at = core::parse_endpoint(text)) {
                configured_entries_.push_back(*at);
            }
        }
    }

    /// Sends the announcements that are due, or all of them if `at_once` is set. The
    /// state is "active", "leaving" or "gone".
    void step(const std::string& state, bool at_once);

private:
    struct target
    {
        absl::Time due = absl::InfinitePast();
        absl::Time expires = absl::InfiniteFuture();
        std::uint64_t echo = 0;
    };

    void send(const core::endpoint& to, const std::string& state, std::uint64_t echo);
    void handle_response(const core::endpoint& from, const http::client_result& it);

    const settings& settings_;
    const core::endpoint self_;
    std::vector<core::endpoint> configured_entries_;
    const std::uint64_t incarnation_ =
        static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
    std::uint64_t sequence_ = 0;
    absl::Mutex mutex_;
    absl::flat_hash_map<core::endpoint, target> targets_;
    std::unique_ptr<http::client> client_;
};

void announcer::step(const std::string& state, bool at_once)
{
    constexpr absl::Duration first_retry = absl::Seconds(1);
    std::vector<std::pair<core::endpoint, std::uint64_t>> ready;
    {
        const absl::MutexLock lock(&mutex_);
        for (const auto& it : configured_entries_) {
            targets_.try_emplace(it);
        }
        const auto now = absl::Now();
        absl::erase_if(targets_, [&](const auto& it) { return it.second.expires < now; });
        for (auto& [to, it] : targets_) {
            if (at_once || it.due <= now) {
                it.due = now + first_retry;
                ready.emplace_back(to, it.echo);
            }
        }
    }
    for (const auto& [to, echo] : ready) {
        send(to, state, echo);
    }
}

void announcer::send(
    const core::endpoint& to, const std::string& state, std::uint64_t echo)
{
    const json body = {
        {"team", settings_.team},
        {"pool", settings_.pool},
        {"server", settings_.id},
        {"incarnation", incarnation_},
        {"sequence", ++sequence_},
        {"state", state},
        {"address", self_.str()},
        {"failure_domain", settings_.failure_domain},
        {"slots", settings_.slots},
        {"connections", settings_.connections},
        {"cold_start_ms", settings_.cold_start_ms},
        {"echo", echo}};
    http::client_request out;
    out.to = to;
    out.method = "POST";
    out.target = "/.cuminpitch/v1/announce";
    out.headers.set("Content-Type", "application/json");
    out.body = body.dump();
    out.timeout = absl::Seconds(1);
    client_->start(std::move(out), [this, to](const http::client_result& it) {
        if (it.failure == http::failure::none) {
            handle_response(to, it);
        }
    });
}

void announcer::handle_response(const core::endpoint& from, const http::client_result& it)
{
    const auto body = json::parse(it.response.body, nullptr, false);
    if (!body.is_object()) {
        return;
    }
    // An entry is removed if no response has named it for this long.
    constexpr absl::Duration target_ttl = absl::Seconds(10);
    const auto now = absl::Now();
    const absl::MutexLock lock(&mutex_);
    if (const auto known = targets_.find(from); known != targets_.end()) {
        known->second.due = now + absl::Milliseconds(body.value("renew_ms", 1000));
        known->second.echo = body.value("echo", std::uint64_t{0});
    }
    if (body.contains("entries") && body["entries"].is_array()) {
        for (const auto& text : body["entries"]) {
            if (!text.is_string()) {
                continue;
            }
            if (const auto at = core::parse_endpoint(text.get<std::string>())) {
                targets_[*at].expires = now + target_ttl;
            }
        }
    }
}

int serve_until_stopped(const settings& it)
{
    backend work(it);
    http::server_options options;
    options.listen = {it.address, static_cast<std::uint16_t>(it.port)};
    auto server = http::server::create(
        options, [&](http::request in, const std::shared_ptr<http::exchange>& to) {
            work.serve(std::move(in), to);
        });
    if (!server) {
        std::cerr << "--port " << it.port << ": " << server.error().message() << "\n";
        return 1;
    }
    const auto self = server.value()->listening();
    std::cout << json{{"listening", self.str()}}.dump() << std::endl;
    announcer announcements(it, self);
    const auto end = absl::Now() + absl::Seconds(it.run_for_s);
    bool is_leaving = false;
    while (!stop_requested && absl::Now() < end) {
        if (work.leaves() || is_leaving) {
            announcements.step("leaving", !is_leaving);
            is_leaving = true;
        } else if (work.announces()) {
            announcements.step("active", false);
        }
        absl::SleepFor(loop_interval);
    }
    // New requests may arrive until every entry knows of the departure. Afterwards, waits
    // for the requests that are still in flight.
    constexpr absl::Duration min_leaving = absl::Milliseconds(500);
    constexpr absl::Duration max_leaving = absl::Seconds(15);
    announcements.step("leaving", true);
    const auto begin = absl::Now();
    while (absl::Now() - begin < min_leaving ||
           (work.in_flight() > 0 && absl::Now() - begin < max_leaving)) {
        announcements.step("leaving", false);
        absl::SleepFor(loop_interval);
    }
    announcements.step("gone", true);
    absl::SleepFor(absl::Milliseconds(100));
    return 0;
}

} // namespace
} // namespace cuminpitch

int main(int argc, char** argv)
{
    cuminpitch::settings it;
    CLI::App app("Fake backend server");
    app.add_option("--entry", it.entries, "Endpoints of entries, host:port")
        ->delimiter(',');
    app.add_option("--team", it.team);
    app.add_option("--pool", it.pool);
    app.add_option("--id", it.id);
    app.add_option("--failure-domain", it.failure_domain);
    app.add_option("--address", it.address, "Listening address in 127.0.0.0/8");
    app.add_option("--slots", it.slots);
    app.add_option("--connections", it.connections);
    app.add_option("--port", it.port, "Listening port; 0 chooses a free one")
        ->check(CLI::Range(0, 65535));
    app.add_option("--cold-start-ms", it.cold_start_ms);
    app.add_option("--service-ms", it.service_ms);
    app.add_option(
        "--run-for-s", it.run_for_s, "Time after which the process stops by itself");
    CLI11_PARSE(app, argc, argv);
    if (it.address.rfind("127.", 0) != 0) {
        std::cerr << "--address " << it.address << ": must be in 127.0.0.0/8\n";
        return 2;
    }
    std::signal(SIGTERM, [](int) { cuminpitch::stop_requested = true; });
    std::signal(SIGINT, [](int) { cuminpitch::stop_requested = true; });
    return cuminpitch::serve_until_stopped(it);
}
