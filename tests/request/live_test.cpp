// Runs the dispatcher with the real HTTP server and client, against raw servers that
// count executions.
#include "fixture.hpp"

#include "cuminpitch/http/server.hpp"
#include "http/raw_socket.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace cuminpitch::request {
namespace {

using http::raw_server;

const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// An entry: a dispatcher whose actions are carried out by the HTTP server and client.
class live_entry
{
public:
    explicit live_entry(const pool_update& pool)
        : client_(http::client::create()),
          dispatcher_({}, core::random_source(1), counters_)
    {
        dispatcher_.set_routes(std::make_shared<route_table>(two_teams()));
        dispatcher_.update_pool(absl::Now(), pool);
        http::server_options options;
        options.listen = {"127.0.0.1", 0};
        auto made = http::server::create(
            options, [this](http::request in, const std::shared_ptr<http::exchange>& to) {
                receive(std::move(in), to);
            });
        server_ = std::move(made).value();
    }
    ~live_entry()
    {
        server_.reset(); // Stops new events first, then results.
        client_.reset();
    }
    live_entry(const live_entry&) = delete;

    core::endpoint at() const { return server_->listening(); }

private:
    void receive(http::request in, const std::shared_ptr<http::exchange>& to)
    {
        const absl::MutexLock lock(&mutex_);
        last_ = last_.next();
        waiting_[last_] = to;
        const request_id id = last_;
        to->on_caller_gone([this, id] { handle(caller_gone{id}); });
        const auto message = std::make_shared<const http::request>(std::move(in));
        carry_out(dispatcher_.handle(absl::Now(), request_received{id, message}));
    }
    void handle(event it)
    {
        const absl::MutexLock lock(&mutex_);
        carry_out(dispatcher_.handle(absl::Now(), std::move(it)));
    }
    void send(const outgoing_request& it)
    {
        handles_[it.attempt] = client_->start(
            make_client_request(it), [this, id = it.attempt](http::client_result result) {
                handle(attempt_finished{id, std::move(result)});
            });
    }
    void carry_out(const std::vector<action>& actions)
    {
        for (const auto& each : actions) {
            if (const auto* it = std::get_if<start_attempt>(&each)) {
                send(it->send);
            } else if (const auto* it = std::get_if<forward>(&each)) {
                send(it->send);
            } else if (const auto* it = std::get_if<cancel_attempt>(&each)) {
                client_->cancel(handles_.at(it->attempt));
            } else if (const auto* it = std::get_if<respond>(&each)) {
                waiting_.extract(it->request).mapped()->respond(it->response);
            } else if (const auto* it = std::get_if<refuse>(&each)) {
                waiting_.extract(it->request).mapped()->respond(it->response);
            }
        }
    }

    absl::Mutex mutex_;
    telemetry::metrics counters_;
    std::unique_ptr<http::client> client_;
    dispatcher dispatcher_;
    request_id last_;
    std::map<request_id, std::shared_ptr<http::exchange>> waiting_;
    std::map<attempt_id, http::client::handle> handles_;
    std::unique_ptr<http::server> server_;
};

pool_update served_by(const std::vector<core::endpoint>& servers)
{
    pool_update out;
    out.pool = pool_p;
    out.settings = two_teams()->pools.at(pool_p);
    out.is_assigned = true;
    for (const auto& at : servers) {
        out.servers.push_back({core::server_id(at.str()), at, 4, false, false});
    }
    return out;
}

std::string
order(const live_entry& entry, const std::string& path, const std::string& fields = "")
{
    const http::raw_caller caller(entry.at().port);
    caller.send(
        "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
        "Content-Length: 5\r\n\r\nscan7");
    return caller.read_all();
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

struct live_fault
{
    const char* name;
    raw_server::reply reply;
    int delay_ms;
    const char* expected;
};

class live : public testing::TestWithParam<live_fault>
{
};

// Guards against a second execution of a request that isn't idempotent, and against
// forwarding a truncated response as a complete one, for each fault after sending. Each
// server answers its first request without a fault, so that the entry has an idle
// connection to reuse.
TEST_P(live, non_idempotent_request_runs_once)
{
    std::atomic<unsigned> orders{0};
    const auto script = [&](unsigned n, const std::string&) {
        if (n == 1) {
            return raw_server::reply{ok_response};
        }
        ++orders;
        std::this_thread::sleep_for(std::chrono::milliseconds(GetParam().delay_ms));
        return GetParam().reply;
    };
    raw_server first(script);
    raw_server second(script);
    const live_entry entry(served_by({first.at(), second.at()}));
    while (first.executions() == 0 || second.executions() == 0) {
        order(entry, "/order"); // The server is chosen at random while both are idle.
    }
    orders = 0;
    const auto text = order(entry, "/order", "Cuminpitch-Deadline-Ms: 200\r\n");
    EXPECT_TRUE(contains(text, GetParam().expected)) << text;
    std::this_thread::sleep_for(std::chrono::milliseconds(GetParam().delay_ms));
    EXPECT_EQ(orders, 1U);
}

const char* const may_have_run_header = "Cuminpitch-Verdict: may-have-run\r\n";

INSTANTIATE_TEST_SUITE_P(
    faults,
    live,
    testing::Values(
        live_fault{"closed_after_reading", {"", true}, 0, may_have_run_header},
        live_fault{
            "reset_in_body",
            {ok_response.substr(0, ok_response.size() - 1), false, true},
            0,
            may_have_run_header},
        live_fault{
            "cut_in_body",
            {ok_response.substr(0, ok_response.size() - 1), true},
            0,
            may_have_run_header},
        live_fault{"late_answer", {ok_response}, 400, may_have_run_header},
        live_fault{
            "bare_503",
            {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
            0,
            "Cuminpitch-Verdict: ran\r\n"}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against refusing a request that another server can run: the first server can't
// be reached, or states that it didn't run the request.
TEST(live, request_is_retried_if_not_run)
{
    std::atomic<unsigned> runs{0};
    raw_server good([&](unsigned, const std::string&) {
        ++runs;
        return raw_server::reply{ok_response};
    });
    raw_server shedding([](unsigned, const std::string&) {
        return raw_server::reply{
            "HTTP/1.1 503 Busy\r\nCuminpitch-Run: not-run\r\nContent-Length: 0\r\n\r\n"};
    });
    core::endpoint absent;
    {
        const raw_server closed(
            [](unsigned, const auto&) { return raw_server::reply{}; });
        absent = closed.at();
    }
    const live_entry entry(served_by({good.at(), shedding.at(), absent}));
    constexpr unsigned orders = 8; // The retry budget starts with ten retries.
    for (unsigned i = 0; i < orders; ++i) {
        const auto text = order(entry, "/order");
        if (!contains(text, "Cuminpitch-Verdict: ran\r\n")) {
            EXPECT_TRUE(contains(text, "Cuminpitch-Verdict: not-run\r\n")) << text;
            EXPECT_TRUE(contains(text, "shed") || contains(text, "connect-failed"))
                << text;
            ++runs;
        }
    }
    EXPECT_EQ(runs, orders);
}

// Guards against work that continues after the caller has disconnected: the connection to
// the backend server must be closed, and the late response must reach no other caller.
TEST(live, disconnect_cancels_the_attempt)
{
    raw_server slow([](unsigned n, const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(n == 1 ? 200 : 0));
        return raw_server::reply{
            n == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate" : ok_response};
    });
    const live_entry entry(served_by({slow.at()}));
    {
        const http::raw_caller caller(entry.at().port);
        caller.send("GET /read HTTP/1.1\r\nHost: h\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(order(entry, "/read").ends_with("\r\n\r\nok"));
    EXPECT_EQ(slow.connections(), 2U);
}

// Guards against forwarding that loops, runs a request twice, or hides that the outcome
// is unknown.
TEST(live, forwards_once_and_reports_unknown_outcome)
{
    raw_server server(
        [](unsigned, const std::string&) { return raw_server::reply{ok_response}; });
    const live_entry serving(served_by({server.at()}));
    raw_server failing([](unsigned, const std::string&) {
        return raw_server::reply{"", true};
    });
    const auto forwarding_to = [](const core::endpoint& at) {
        auto out = served_by({});
        out.is_assigned = false;
        out.entries = {{core::instance_id("e"), at, true}};
        return out;
    };
    const live_entry forwarding(forwarding_to(serving.at()));
    EXPECT_TRUE(contains(order(forwarding, "/order"), "Cuminpitch-Verdict: ran\r\n"));
    const live_entry forwarding_twice(forwarding_to(forwarding.at()));
    EXPECT_TRUE(contains(
        order(forwarding_twice, "/order"), "Cuminpitch-Reason: not-assigned\r\n"));
    const live_entry forwarding_to_failed(forwarding_to(failing.at()));
    EXPECT_TRUE(contains(order(forwarding_to_failed, "/order"), may_have_run_header));
    EXPECT_EQ(failing.executions(), 1U);
    EXPECT_EQ(server.executions(), 1U);
}

} // namespace
} // namespace cuminpitch::request
