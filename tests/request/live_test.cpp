// Runs the dispatcher with the real HTTP server and client, against raw servers that
// count executions.
#include "live_entry.hpp"

#include "http/raw_socket.hpp"

#include <nlohmann/json.hpp>

namespace cuminpitch::request {
namespace {

using http::raw_server;

const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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
