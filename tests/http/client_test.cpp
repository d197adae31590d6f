#include "cuminpitch/http/client.hpp"

#include "raw_socket.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cuminpitch::http {
namespace {

using core::verdict;

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

client_request request_to(
    const core::endpoint& to, const std::string& method, const std::string& body = "")
{
    client_request it;
    it.to = to;
    it.method = method;
    it.target = "/orders?x=%20y";
    it.body = body;
    it.timeout = absl::Seconds(2);
    return it;
}

client_result run(client& it, client_request request)
{
    std::promise<client_result> done;
    it.start(
        std::move(request), [&](client_result out) { done.set_value(std::move(out)); });
    return done.get_future().get();
}

/// Responds to the first `good` requests. Closes the connection after reading each later
/// one, without a response.
raw_server::script closes_after(unsigned good)
{
    return [good](unsigned n, const std::string&) {
        return n <= good ? raw_server::reply{ok, false} : raw_server::reply{"", true};
    };
}

struct resend_case
{
    const char* method;
    const char* body;
};

class resend : public testing::TestWithParam<resend_case>
{
};

// Demonstrates the fault that the limit of one send prevents: libcurl by itself resends
// the request when a reused connection closes without a response. Fails with a version of
// libcurl that does not resend.
TEST_P(resend, happens_if_allowed)
{
    raw_server server(closes_after(1));
    const auto it = client::create({.allow_resend = true});
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).verdict, verdict::ran);
    run(*it, request_to(server.at(), GetParam().method, GetParam().body));
    EXPECT_GT(server.executions(), 2U);
}

// Guards against a second execution of a request that the server has read without
// responding.
TEST_P(resend, is_prevented_by_default)
{
    raw_server server(closes_after(1));
    const auto it = client::create();
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).verdict, verdict::ran);
    const auto out =
        run(*it, request_to(server.at(), GetParam().method, GetParam().body));
    EXPECT_EQ(server.executions(), 2U);
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    EXPECT_EQ(out.failure, failure::reset);
}

INSTANTIATE_TEST_SUITE_P(
    methods,
    resend,
    testing::Values(
        resend_case{"POST", "order"},
        resend_case{"POST", ""},
        resend_case{"PUT", "x"},
        resend_case{"DELETE", ""},
        resend_case{"GET", ""}));

// Guards against a resend on another idle connection when several are open.
TEST(client, sends_once_with_several_idle_connections)
{
    constexpr unsigned idle = 4;
    raw_server server([](unsigned n, const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(n <= idle ? 100 : 0));
        return n <= idle ? raw_server::reply{ok, false} : raw_server::reply{"", true};
    });
    const auto it = client::create();
    std::vector<std::promise<client_result>> done(idle);
    for (auto& one : done) {
        it->start(request_to(server.at(), "GET"), [&](client_result out) {
            one.set_value(std::move(out));
        });
    }
    for (auto& one : done) {
        EXPECT_EQ(one.get_future().get().verdict, verdict::ran);
    }
    ASSERT_EQ(server.connections(), idle);
    const auto out = run(*it, request_to(server.at(), "POST", "order"));
    EXPECT_TRUE(out.reused_connection);
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    EXPECT_EQ(server.executions(), idle + 1);
}

// Guards against logs that don't tell whether other requests used the connection before.
TEST(client, tells_how_its_connection_was_used)
{
    raw_server server([](unsigned, const std::string&) { return raw_server::reply{ok}; });
    const auto it = client::create();
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).connection.earlier_requests, 0U);
    const auto out = run(*it, request_to(server.at(), "GET"));
    EXPECT_EQ(out.connection.earlier_requests, 1U);
    EXPECT_GE(out.connection.rested, absl::ZeroDuration());
    EXPECT_LT(out.connection.rested, absl::Seconds(2));
    EXPECT_EQ(out.connection.waiting_bytes, 0U);
    EXPECT_FALSE(out.connection.has_surplus);
}

// Guards against a late response that is taken for that of the next request, or costs it
// its own response.
TEST(client, does_not_use_a_connection_with_bytes_of_a_late_response)
{
    const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    for (const std::size_t cut : {std::size_t{1}, std::size_t{20}, late.size()}) {
        raw_server server([&](unsigned, const std::string&) {
            raw_server::reply it{ok};
            it.after_pause = late.substr(0, cut);
            return it;
        });
        const auto it = client::create();
        run(*it, request_to(server.at(), "GET"));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const auto out = run(*it, request_to(server.at(), "GET"));
        EXPECT_EQ(out.failure, failure::none);
        EXPECT_EQ(out.response.body, "ok");
        EXPECT_FALSE(out.reused_connection);
        EXPECT_EQ(out.connection.waiting_bytes, cut);
        EXPECT_EQ(server.connections(), 2U);
        EXPECT_EQ(server.executions(), 2U);
    }
}

// Guards against rejecting the refusal of another entry, which has no id, on a kept
// connection, and against accepting that of a server that may answer twice.
TEST(client, refusal_without_id_is_accepted_from_a_peer_that_answers_once)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
    });
    for (const bool may_answer_twice : {false, true}) {
        const auto it = client::create();
        auto request = request_to(server.at(), "GET");
        request.expected.header = "C";
        request.expected.value = "id";
        request.expected.may_answer_twice = may_answer_twice;
        EXPECT_EQ(run(*it, request).response.status, 503);
        const auto out = run(*it, request);
        EXPECT_TRUE(out.reused_connection);
        EXPECT_EQ(
            out.failure, may_answer_twice ? failure::malformed_response : failure::none);
    }
}

// Guards against the same for a second response in the segment of the first.
TEST(client, tells_that_bytes_followed_the_response)
{
    raw_server server(
        [](unsigned, const std::string&) { return raw_server::reply{ok + ok}; });
    const auto out = run(*client::create(), request_to(server.at(), "GET"));
    EXPECT_EQ(out.failure, failure::none);
    EXPECT_TRUE(out.connection.has_surplus);
}

// Guards against reuse of a closing connection, and against a resend, when a new
// connection was requested.
TEST(client, uses_a_new_connection_when_asked)
{
    raw_server server(closes_after(1));
    const auto it = client::create();
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).verdict, verdict::ran);
    auto request = request_to(server.at(), "POST", "order");
    request.fresh_connection = true;
    const auto out = run(*it, request);
    EXPECT_FALSE(out.reused_connection);
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    EXPECT_EQ(server.executions(), 2U);
    EXPECT_EQ(server.connections(), 2U);
}

// Guards against a verdict that rules out a safe retry although nothing was sent.
TEST(client, refused_connection_is_not_run)
{
    core::endpoint unused;
    {
        raw_server server(closes_after(0));
        unused = server.at();
    }
    const auto out = run(*client::create(), request_to(unused, "POST", "order"));
    EXPECT_EQ(out.verdict, verdict::not_run);
    EXPECT_EQ(out.failure, failure::connect);
}

struct bad_response
{
    const char* name;
    std::string bytes;
    bool reset;
    http::failure expected;
};

class broken : public testing::TestWithParam<bad_response>
{
};

// Guards against reporting a truncated or ambiguous response as complete.
TEST_P(broken, response_is_a_failure_with_unknown_outcome)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{GetParam().bytes, true, GetParam().reset};
    });
    auto request = request_to(server.at(), "GET");
    request.max_response_bytes = 64;
    const auto out = run(*client::create(), request);
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    if (!GetParam().reset) {
        EXPECT_EQ(static_cast<int>(out.failure), static_cast<int>(GetParam().expected));
    }
}

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    kinds,
    broken,
    testing::Values(
        bad_response{
            "short",
            head + "Content-Length: 9\r\n\r\nabc",
            false,
            failure::short_response},
        bad_response{"mid_chunk", chunked + "5\r\nab", false, failure::short_response},
        bad_response{
            "no_last_chunk", chunked + "2\r\nab\r\n", false, failure::short_response},
        bad_response{"until_close", head + "\r\nabc", false, failure::short_response},
        bad_response{"no_bytes", "", false, failure::reset},
        bad_response{"cut_head", "HTTP/1.1 200 OK\r\nConte", false, failure::reset},
        bad_response{
            "reset", head + "Content-Length: 9\r\n\r\nabc", true, failure::reset},
        bad_response{
            "two_lengths",
            head + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
            false,
            failure::malformed_response},
        bad_response{"not_http", "hello\r\n\r\n", false, failure::malformed_response},
        bad_response{
            "too_large",
            head + "Content-Length: 65\r\n\r\n" + std::string(65, 'x'),
            false,
            failure::response_too_large}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against an attempt that exceeds its timeout.
TEST(client, times_out_with_unknown_outcome)
{
    raw_server server([](unsigned, const std::string&) { return raw_server::reply{}; });
    auto request = request_to(server.at(), "POST", "order");
    request.timeout = absl::Milliseconds(100);
    const auto out = run(*client::create(), request);
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    EXPECT_EQ(out.failure, failure::timeout);
    EXPECT_LT(out.elapsed, absl::Seconds(1));
}

// Guards against delivering the late response of a cancelled attempt to the next request.
TEST(client, late_response_of_a_cancelled_attempt_is_discarded)
{
    raw_server server([](unsigned n, const std::string&) {
        if (n == 2) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            return raw_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"};
        }
        return raw_server::reply{ok};
    });
    const auto it = client::create();
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).verdict, verdict::ran);
    std::promise<client_result> done;
    const auto id = it->start(request_to(server.at(), "GET"), [&](client_result out) {
        done.set_value(std::move(out));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    it->cancel(id);
    const auto cancelled = done.get_future().get();
    EXPECT_EQ(cancelled.failure, failure::cancelled);
    EXPECT_EQ(cancelled.verdict, verdict::may_have_run);
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).response.body, "ok");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).response.body, "ok");
}

// Guards against delivering a surplus response on a reused connection to the next
// request.
TEST(client, surplus_response_is_discarded)
{
    raw_server server([](unsigned n, const std::string&) {
        const std::string foreign = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
        return raw_server::reply{n == 1 ? ok + foreign : ok};
    });
    const auto it = client::create();
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).response.body, "ok");
    EXPECT_EQ(run(*it, request_to(server.at(), "GET")).response.body, "ok");
}

// Guards against headers added by libcurl and against dropping the body of some methods.
TEST(client, sends_the_request_as_given)
{
    std::string seen;
    raw_server server([&](unsigned, const std::string& text) {
        seen = text;
        return raw_server::reply{ok};
    });
    const auto it = client::create();
    for (const std::string method : {"PATCH", "PUT", "DELETE", "OPTIONS", "GET"}) {
        auto request = request_to(server.at(), method, "body");
        request.headers.add("X-Empty", "");
        request.headers.add("Host", "scans.example");
        EXPECT_EQ(run(*it, request).response.body, "ok") << method;
        EXPECT_EQ(
            seen,
            method + " /orders?x=%20y HTTP/1.1\r\nHost: scans.example\r\nX-Empty:\r\n"
                     "Content-Length: 4\r\n\r\nbody");
    }
}

// Guards against waiting for the body that Content-Length announces in a HEAD response.
TEST(client, head_has_no_body)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"};
    });
    const auto out = run(*client::create(), request_to(server.at(), "HEAD"));
    EXPECT_EQ(out.verdict, verdict::ran);
    EXPECT_EQ(out.response.headers.get("Content-Length"), "900");
}

// Guards against reporting truncated headers as a complete response without a body.
TEST(client, head_response_cut_in_its_headers_is_a_failure)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 900\r\nX", true};
    });
    const auto out = run(*client::create(), request_to(server.at(), "HEAD"));
    EXPECT_EQ(out.verdict, verdict::may_have_run);
    EXPECT_EQ(out.failure, failure::reset);
}

// Guards against mixing the headers of an interim response into the final one.
TEST(client, skips_interim_responses)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok};
    });
    const auto out = run(*client::create(), request_to(server.at(), "GET"));
    EXPECT_EQ(out.response.body, "ok");
    EXPECT_FALSE(out.response.headers.has("Link"));
}

// Guards against a callback that is never called when the client is destroyed.
TEST(client, destruction_cancels_what_is_in_flight)
{
    raw_server server([](unsigned, const std::string&) { return raw_server::reply{}; });
    std::promise<client_result> done;
    {
        const auto it = client::create();
        it->start(request_to(server.at(), "GET"), [&](client_result out) {
            done.set_value(std::move(out));
        });
    }
    EXPECT_EQ(done.get_future().get().failure, failure::cancelled);
}

} // namespace
} // namespace cuminpitch::http
