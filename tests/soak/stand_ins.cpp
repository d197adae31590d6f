#include "soak/stand_ins.hpp"

#include "soak/customers.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace cuminpitch::testing {
namespace {

using nlohmann::json;

constexpr int slots = 4;
constexpr int queue = 8;
constexpr absl::Duration announce_interval = absl::Milliseconds(400);
/// A server continues to serve for this long after its departure is acknowledged.
constexpr absl::Duration serve_after_departure = absl::Seconds(4);
constexpr std::uint64_t min_work_ms = 10;
constexpr std::uint64_t work_spread_ms = 40;
constexpr std::uint64_t failing_percent = 60;
/// Low, so that a server that answers twice still gets requests: with the share above, a
/// run had two or three second answers.
constexpr std::uint64_t failing_percent_twice = 20;
constexpr unsigned repeated_percent = 70;

/// Status with which followers of the control group redirect to the leader.
constexpr int redirect = 307;

http::response not_run(int status)
{
    http::response it;
    it.status = status;
    it.headers.set("X-Not-Executed", "1");
    return it;
}

} // namespace

http::client_result
call(http::client& client, http::client_request it, absl::Duration timeout)
{
    it.timeout = timeout;
    http::client_result out;
    absl::Notification done;
    client.start(std::move(it), [&](http::client_result result) {
        out = std::move(result);
        done.Notify();
    });
    done.WaitForNotification();
    if (out.failure != http::failure::none) {
        out.response.status = 0;
    }
    return out;
}

std::string configuration(std::uint64_t number, bool has_customers)
{
    const auto rule = [](const std::string& name, const char* kind) {
        return json{
            {"name", "r-" + name},
            {"kind", kind},
            {"target-latency-ms", 500},
            {"priority", 1},
            {"match", {{"path-prefix", "/" + name + "/"}}},
            {"action", {{"service", "soak"}, {"timeout-ms", 1500}, {"max-attempts", 2}}}};
    };
    json rules = json::array(
        {rule("read", "safe"), rule("order", "unsafe"), rule("upload", "upload")});
    rules.push_back(rule(absl::StrCat("new-", number), "safe"));
    const json service = {
        {"name", "soak"},
        {"health-path", "/health"},
        {"max-connections", 200},
        {"protocol", "h1"},
        {"tls", false}};
    const json limits = {
        {"max-header-bytes", 16384},
        {"max-body-bytes", 1 << 20},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}};
    const json listener = {{"host", "soak.example"}, {"rule-set", rules}};
    json out = {
        {"version", absl::StrCat("r", number)},
        {"limits", limits},
        {"listeners", json::array({listener})},
        {"clusters", json::array({service})}};
    if (has_customers) {
        out["tenants"] = tenants(number);
    }
    return out.dump();
}

soak_server::soak_server(
    description self,
    proxy_loop& loop,
    http::client& client,
    ledger& records,
    std::vector<core::endpoint> control,
    std::uint64_t seed)
    : self_(std::move(self)), loop_(loop), client_(client), records_(records),
      control_(std::move(control)), random_(seed)
{
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    auto made = http::server::create(
        options,
        [this](const http::request& it, const std::shared_ptr<http::exchange>& to) {
            serve(it, to);
        });
    server_ = std::move(made).value();
    proxy_ = loop_.add({"127.0.0.1", 0}, server_->listening());
    announcer_ = std::thread([this] { announce(); });
}

soak_server::~soak_server()
{
    crash();
    announcer_.join();
    // Responses still scheduled on the loop refer to this object.
    while (in_flight_ > 0) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

void soak_server::set_fault(server_fault it)
{
    using form = proxy_loop::repetition::form;
    const absl::MutexLock lock(&mutex_);
    proxy_loop::repetition twice{form::whole, repeated_percent, random_()};
    switch (it) {
    case server_fault::answers_twice:
        break;
    case server_fault::answers_twice_cut:
        twice.written = form::cut;
        break;
    case server_fault::answers_twice_in_pieces:
        twice.written = form::in_pieces;
        break;
    default:
        twice.percent = 0;
    }
    loop_.set_repetition(proxy_, twice);
    fault_ = it;
}

void soak_server::crash()
{
    crashed_ = true;
    gone_ = true;
    loop_.set(proxy_, {absl::ZeroDuration(), false, false, true});
    loop_.reset(proxy_);
}

void soak_server::serve(
    const http::request& it, const std::shared_ptr<http::exchange>& to)
{
    const std::string request = it.headers.get("X-Attempt-Id");
    const bool is_refused =
        crashed_ || fault_ == server_fault::sheds || in_flight_ >= slots + queue;
    arrival_record arrival{request, self_.id, absl::Now(), false};
    arrival.customer = it.headers.get("X-Tenant");
    for (const auto& [name, value] : it.headers.fields()) {
        arrival.shows_key = arrival.shows_key ||
                            absl::StrContains(name, soak_key_prefix) ||
                            absl::StrContains(value, soak_key_prefix);
    }
    if (it.headers.get("X-Target-Instance") != self_.id) {
        to->respond(not_run(421));
    } else if (request.empty()) {
        to->respond(not_run(400));
    } else if (is_refused) {
        records_.add(arrival);
        to->respond(not_run(503));
    } else {
        arrival.has_run = true;
        records_.add(arrival);
        ++in_flight_;
        absl::Duration work;
        bool fails = false;
        {
            const absl::MutexLock lock(&mutex_);
            work = absl::Milliseconds(min_work_ms + random_() % work_spread_ms);
            const bool is_twice = fault_ >= server_fault::answers_twice;
            fails =
                random_() % 100 < (is_twice ? failing_percent_twice : failing_percent);
        }
        // Names the run, so that the answers to two runs can be told apart.
        const auto signature = absl::StrCat(self_.id, "/", request, "/", ++last_run_);
        loop_.after(work, [this, request, signature, to, fails] {
            finish(request, signature, to, fails);
            --in_flight_;
        });
    }
}

void soak_server::finish(
    const std::string& request,
    const std::string& signature,
    const std::shared_ptr<http::exchange>& to,
    bool fails)
{
    const auto respond = [&](http::response answer) {
        records_.add(answer_record{request, answer});
        to->respond(std::move(answer));
    };
    http::response it;
    it.headers.set("X-Attempt-Id", request);
    it.headers.set("X-Upstream-Signature", signature);
    it.body = body_for(request, signature);
    switch (fails ? fault_.load() : server_fault::none) {
    case server_fault::errors:
    case server_fault::answers_twice:
    case server_fault::answers_twice_cut:
    case server_fault::answers_twice_in_pieces:
        it.status = 500;
        respond(std::move(it));
        break;
    case server_fault::resets:
        to->break_off(std::nullopt, 0);
        break;
    case server_fault::hangs:
        // Drops the last reference; the exchange ends when the entry times out.
        break;
    case server_fault::cuts:
        to->break_off(std::move(it), 100);
        break;
    case server_fault::wrong_id:
        it.headers.set("X-Attempt-Id", "another-request");
        respond(std::move(it));
        break;
    case server_fault::sheds:
    case server_fault::none:
        respond(std::move(it));
        break;
    }
}

std::string soak_server::announcement_body(bool is_leaving)
{
    const json it = {
        {"service", self_.service},
        {"address", loop_.listening(proxy_).str()},
        {"zone", self_.failure_domain},
        {"version", "v1"},
        {"slots", slots},
        {"state", is_leaving ? "draining" : "ready"},
        {"warmup-ms", 0},
        {"born", self_.started_ms},
        {"seq", ++sequence_}};
    return it.dump();
}

/// Tries each control instance once, and returns true as soon as one acknowledges.
bool soak_server::send_to_control(const std::string& method, const std::string& body)
{
    constexpr int max_redirects = 2;
    for (std::size_t i = 0; i < control_.size() && !crashed_; ++i) {
        http::client_request it;
        it.to = control_[(sequence_ + i) % control_.size()];
        it.method = method;
        it.target = "/-/upstreams/" + self_.id;
        it.headers.set("Content-Type", "application/json");
        it.body = body;
        for (int hop = 0; hop <= max_redirects; ++hop) {
            const auto result = call(client_, it, absl::Seconds(1));
            if (result.response.status == 200) {
                return true;
            }
            const std::string location = result.response.headers.get("Location");
            if (result.response.status != redirect || location.size() < 8) {
                break;
            }
            const auto to = location.substr(7, location.find('/', 7) - 7);
            it.to = core::parse_endpoint(to).value_or(it.to);
        }
    }
    return false;
}

void soak_server::announce()
{
    while (!leaving_ && !crashed_) {
        send_to_control("PUT", announcement_body(false));
        absl::SleepFor(announce_interval);
    }
    while (!crashed_ && !send_to_control("PUT", announcement_body(true))) {
        absl::SleepFor(announce_interval);
    }
    if (!crashed_) {
        records_.add_departure(self_.id, absl::Now());
        const absl::Time end = absl::Now() + serve_after_departure;
        while (!crashed_ && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(20));
        }
        if (!crashed_) {
            send_to_control("DELETE", json{{"born", self_.started_ms}}.dump());
        }
    }
    gone_ = true;
}

} // namespace cuminpitch::testing
