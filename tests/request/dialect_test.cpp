#include "fixture.hpp"

#include "request/split_balancer_priv.hpp"

#include <set>

namespace cuminpitch::request {
namespace {

using core::verdict;

/// An entry with a pool that every entry serves, and with the header names of a platform.
class dialect_test : public dispatcher_test
{
protected:
    dialect_test()
    {
        auto& pool = declared->pools[pool_p];
        pool.every_entry = true;
        pool.retry_percent = 100;
        options.dialect.deadline = "D";
        options.dialect.not_run = "N";
        options.dialect.not_run_value = "";
        options.dialect.target_server = "T";
        options.dialect.correlation = "C";
        options.dialect.success_header = "P";
        options.dialect.unavailable_means_not_run = true;
        options.dialect.accepts_close_delimited = true;
        options.dialect.identifies_callers = false;
        options.dialect.terse_refusals = true;
        restart(options);
    }

    std::vector<action> send(const std::string& path)
    {
        return arrive(path, make_headers({{"C", "id-7"}, {"D", "2000"}}), "body");
    }
    /// A complete response to the request of send().
    static http::client_result complete_response(
        int status, std::vector<std::pair<std::string, std::string>> fields = {})
    {
        fields.emplace_back("C", "id-7");
        return complete(status, make_headers(fields));
    }
    static http::client_result connect_timeout()
    {
        auto out = not_connected();
        out.connect_timed_out = true;
        return out;
    }

    dispatcher_options options;
};

// Guards against a server that runs a request intended for another one.
TEST_F(dialect_test, sends_target_server_and_deadline)
{
    const auto sent = only<start_attempt>(send("/order"));
    EXPECT_EQ(sent.send.headers.get("T"), sent.server.str());
    EXPECT_EQ(sent.send.headers.get("D"), "2000");
    EXPECT_EQ(sent.send.headers.get("C"), "id-7");
    EXPECT_TRUE(sent.send.accepts_close_delimited);
    const auto& expected = make_client_request(sent.send).expected;
    EXPECT_EQ(expected.header, "C");
    EXPECT_EQ(expected.value, "id-7");
    EXPECT_EQ(expected.success_header, "P");
}

// Guards against failing a request although a server stated that it didn't run it, so
// that another server may.
TEST_F(dialect_test, non_idempotent_request_is_retried_after_not_run)
{
    const auto first = only<start_attempt>(send("/order"));
    const auto second = only<start_attempt>(
        finish(first.send.attempt, complete_response(503, {{"N", "1"}})));
    EXPECT_NE(second.server, first.server);
    const auto misdirected = finish(second.send.attempt, complete_response(421));
    const auto refused = only<refuse>(misdirected);
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(refused.verdict, verdict::not_run);
    const auto seen = all<observe>(misdirected);
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_TRUE(seen[0].what.is_misdirected);
}

// Guards against taking the response to another request for the response to this one.
TEST_F(dialect_test, response_with_other_correlation_is_not_forwarded)
{
    const auto sent = only<start_attempt>(send("/order"));
    const auto out = finish(
        sent.send.attempt, complete(200, make_headers({{"C", "id-6"}, {"P", "proof"}})));
    const auto refused = only<refuse>(out);
    EXPECT_EQ(refused.response.status, 502);
    EXPECT_EQ(refused.verdict, verdict::may_have_run);
    EXPECT_TRUE(all<start_attempt>(out).empty());
}

// Guards against running a request twice: on a reused connection, a late "not run" may be
// the response to an earlier request.
TEST_F(dialect_test, not_run_without_correlation_needs_new_connection)
{
    auto shed = complete(503, make_headers({{"N", "1"}}));
    const auto first = only<start_attempt>(send("/order"));
    const auto second = only<start_attempt>(finish(first.send.attempt, shed));
    shed.reused_connection = true;
    const auto refused = only<refuse>(finish(second.send.attempt, shed));
    EXPECT_EQ(refused.response.status, 502);
}

// Guards against forwarding a malformed response as a success: one that lacks the header
// of successful responses.
TEST_F(dialect_test, success_without_success_header_is_not_forwarded)
{
    const auto sent = only<start_attempt>(send("/order"));
    EXPECT_EQ(
        only<refuse>(finish(sent.send.attempt, complete_response(200))).response.status,
        502);
    const auto again = only<start_attempt>(send("/order"));
    EXPECT_EQ(
        only<respond>(finish(again.send.attempt, complete_response(200, {{"P", "x"}})))
            .response.status,
        200);
}

// Guards against counting a server as healthy whose responses never end.
TEST_F(dialect_test, endless_response_counts_as_failure)
{
    const auto sent = only<start_attempt>(send("/read"));
    const auto out = finish(
        sent.send.attempt,
        failed_result(http::failure::endless_response, verdict::may_have_run));
    EXPECT_EQ(only<observe>(out).what.what, observation::kind::failure);
    EXPECT_NE(only<start_attempt>(out).server, sent.server);
}

// Guards against returning a status that means "not run" for a request that may have run.
TEST_F(dialect_test, unavailable_without_not_run_is_unknown_outcome)
{
    for (const int status : {408, 429, 503}) {
        const auto sent = only<start_attempt>(send("/order"));
        EXPECT_EQ(
            only<refuse>(finish(sent.send.attempt, complete_response(status)))
                .response.status,
            502)
            << status;
    }
    const auto sent = only<start_attempt>(send("/order"));
    EXPECT_EQ(
        only<respond>(finish(sent.send.attempt, complete_response(500))).response.status,
        500);
}

// Guards against a refusal that doesn't tell the caller that the request was not run and
// when to retry.
TEST_F(dialect_test, not_run_refusal_is_503_with_retry_after)
{
    serve(pool_p, 1, 1);
    only<start_attempt>(send("/order"));
    send("/order");
    const auto out = advance(absl::Seconds(3));
    for (const auto& it : all<refuse>(out)) {
        if (it.verdict == verdict::not_run) {
            EXPECT_EQ(it.response.status, 503);
            EXPECT_NE(
                it.response.headers.get("Retry-After").find('.'), std::string::npos);
            EXPECT_TRUE(it.response.body.empty());
        } else {
            EXPECT_EQ(it.response.status, 504);
        }
    }
    EXPECT_EQ(all<refuse>(out).size(), 2U);
}

// Guards against sending a request to more servers than its route allows, and against
// counting attempts that made no connection.
TEST_F(dialect_test, max_attempts_excludes_failed_connections)
{
    declared->routes.at({pool_p.team, "read"}).max_attempts = 2;
    declared->pools[pool_p].retry_percent = 0;
    restart(options);
    serve(pool_p, 5);
    auto sent = only<start_attempt>(send("/read"));
    for (int i = 0; i < 2; ++i) {
        sent = only<start_attempt>(finish(sent.send.attempt, connect_timeout()));
    }
    declared->pools[pool_p].retry_percent = 100;
    serve(pool_p, 5);
    sent = only<start_attempt>(finish(sent.send.attempt, reset_after_send()));
    const auto out = finish(sent.send.attempt, reset_after_send());
    EXPECT_TRUE(all<start_attempt>(out).empty());
    EXPECT_EQ(only<refuse>(out).response.status, 502);
}

// Guards against retries of many entries that add up: an entry without requests earns no
// retries.
TEST_F(dialect_test, retry_budget_scales_with_load)
{
    declared->pools[pool_p].retry_percent = 20;
    restart(options);
    serve(pool_p, 40);
    int retries = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        now += absl::Milliseconds(20);
        const auto sent = only<start_attempt>(send("/read"));
        const auto again =
            all<start_attempt>(finish(sent.send.attempt, reset_after_send()));
        retries += static_cast<int>(again.size());
        if (!again.empty()) {
            finish(again[0].send.attempt, complete_response(200, {{"P", "x"}}));
        }
    }
    EXPECT_LE(retries, requests / 5 + 1);
    EXPECT_GE(retries, requests / 6);
}

// Guards against failing requests that aren't idempotent at a server that has just
// failed, and against never trying a suspected server again.
TEST_F(dialect_test, only_idempotent_requests_try_a_suspected_server)
{
    pool_update it;
    it.pool = pool_p;
    it.settings = declared->pools.at(pool_p);
    it.is_assigned = true;
    server_view healthy{core::server_id("healthy"), {"127.0.0.1", 1}, 4};
    server_view suspected{core::server_id("suspected"), {"127.0.0.1", 2}, 4};
    suspected.suspicion = 0.6;
    it.servers = {healthy, suspected};
    entry->update_pool(now, it);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "healthy");
    }
    EXPECT_EQ(only<start_attempt>(send("/read")).server.str(), "suspected");
    EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "healthy");
    EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "suspected")
        << "the healthy server has no free slot";
}

// Guards against sending large bodies to another failure domain while servers of this one
// are free.
TEST_F(dialect_test, large_body_prefers_server_of_same_domain)
{
    pool_update it;
    it.pool = pool_p;
    it.settings = declared->pools.at(pool_p);
    it.is_assigned = true;
    server_view same_domain{core::server_id("same-domain"), {"127.0.0.1", 1}, 4};
    server_view other_domain{core::server_id("other-domain"), {"127.0.0.1", 2}, 4};
    other_domain.in_other_domain = true;
    same_domain.remote_in_flight = 2;
    it.servers = {same_domain, other_domain};
    entry->update_pool(now, it);
    EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "same-domain");
    same_domain.remote_in_flight = 4;
    it.servers = {same_domain, other_domain};
    entry->update_pool(now, it);
    const auto large = arrive("/order", {}, std::string(60'000, 'x'));
    EXPECT_EQ(only<start_attempt>(large).server.str(), "same-domain");
    EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "other-domain");
}

// Guards against an attempt with a longer time limit than the caller has left.
TEST_F(dialect_test, deadline_includes_time_before_arrival)
{
    auto message = std::make_shared<http::request>();
    message->method = "POST";
    message->target = message->path = "/order";
    message->headers = make_headers({{"Host", "h"}, {"D", "2000"}});
    const auto sent = only<start_attempt>(entry->handle(
        now, request_received{request_id(99), message, absl::Milliseconds(700)}));
    EXPECT_EQ(sent.send.headers.get("D"), "1300");
    message->headers.set("D", "600");
    const auto late = entry->handle(
        now, request_received{request_id(100), message, absl::Milliseconds(700)});
    EXPECT_EQ(only<refuse>(late).response.status, 503);
}

// Guards against decisions on a request that can't be traced: each is logged with the
// request's correlation header.
TEST_F(dialect_test, decisions_are_explained)
{
    options.explains = true;
    restart(options);
    std::vector<std::string> decisions;
    const auto collect = [&](const std::vector<action>& out) {
        for (const auto& it : all<explain>(out)) {
            EXPECT_EQ(it.correlation, "id-7");
            EXPECT_FALSE(it.inputs.empty());
            decisions.push_back(it.what);
        }
        return all<start_attempt>(out);
    };
    const auto first = collect(send("/order"));
    const auto second =
        collect(finish(first[0].send.attempt, complete_response(503, {{"N", "1"}})));
    collect(finish(second[0].send.attempt, reset_after_send()));
    EXPECT_EQ(
        decisions,
        (std::vector<std::string>{
            "sent",
            "attempt failed",
            "sent",
            "attempt failed",
            "not repeated",
            "refused"}));
}

// Guards against logging a status that the server didn't send. Logs of an incident showed
// "reason reset, status 200".
TEST_F(dialect_test, log_of_failed_attempt_has_no_status)
{
    options.explains = true;
    restart(options);
    const auto sent = only<start_attempt>(send("/order"));
    for (const auto& it : all<explain>(finish(sent.send.attempt, reset_after_send()))) {
        for (const auto& [name, value] : it.inputs) {
            if (it.what == "attempt failed" && name == "status") {
                EXPECT_EQ(std::get<std::int64_t>(value), 0);
            }
        }
    }
}

// Guards against an idempotent request that waits for a hanging server until its
// deadline.
TEST_F(dialect_test, idempotent_request_switches_server_at_half_deadline)
{
    const auto first = only<start_attempt>(send("/read"));
    EXPECT_EQ(first.send.timeout, absl::Seconds(2));
    const auto out = advance(absl::Seconds(1));
    EXPECT_EQ(only<cancel_attempt>(out).attempt, first.send.attempt);
    const auto second = only<start_attempt>(out);
    EXPECT_NE(second.server, first.server);
    EXPECT_EQ(
        only<respond>(finish(second.send.attempt, complete_response(200, {{"P", "x"}})))
            .response.status,
        200);
}

// Guards against cancelling an attempt that no other can replace, which would lose the
// request.
TEST_F(dialect_test, attempt_continues_if_no_other_server_may_be_tried)
{
    const auto expect_attempt_continues = [&](const start_attempt& sent) {
        EXPECT_TRUE(advance(absl::Milliseconds(1100)).empty());
        EXPECT_EQ(
            only<respond>(finish(sent.send.attempt, complete_response(200, {{"P", "x"}})))
                .response.status,
            200);
    };
    const auto during_stop = only<start_attempt>(send("/read"));
    entry->set_entry({false, false, true});
    expect_attempt_continues(during_stop);
    entry->set_entry({});
    const auto without_budget = only<start_attempt>(send("/read"));
    declared->pools[pool_p].retry_percent = 0;
    serve(pool_p, 2);
    expect_attempt_continues(without_budget);
}

/// A pool whose requests take about 0.1 s, with servers that may stop answering.
class overdue_test : public dialect_test
{
protected:
    overdue_test()
    {
        serve(pool_p, 3, 4);
        for (int i = 0; i < 20; ++i) {
            const auto sent = only<start_attempt>(send("/order"));
            auto result = complete_response(200, {{"P", "x"}});
            result.elapsed = absl::Milliseconds(i % 2 == 0 ? 80 : 120);
            finish(sent.send.attempt, std::move(result));
        }
    }
    static std::vector<observation>
    seen_as(const std::vector<action>& from, observation::kind what)
    {
        std::vector<observation> out;
        for (const auto& it : all<observe>(from)) {
            if (it.what.what == what) {
                out.push_back(it.what);
            }
        }
        return out;
    }
};

// Guards against sending requests to a hanging server until the first one reaches its
// time limit, which is many times the service time.
TEST_F(overdue_test, server_is_reported_before_the_deadline)
{
    const auto sent = only<start_attempt>(send("/order"));
    EXPECT_TRUE(all<observe>(advance(absl::Milliseconds(150))).empty());
    const auto out = advance(absl::Milliseconds(250));
    const auto seen = seen_as(out, observation::kind::overdue);
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].server, sent.server);
    EXPECT_TRUE(all<cancel_attempt>(out).empty()); // The request may run only once.
    EXPECT_TRUE(all<observe>(advance(absl::Milliseconds(100))).empty());
}

// Guards against reporting the same failure twice, the second time when the server may
// have recovered.
TEST_F(overdue_test, timeout_after_overdue_is_not_reported)
{
    const auto sent = only<start_attempt>(send("/order"));
    advance(absl::Milliseconds(400));
    const auto out = finish(
        sent.send.attempt, failed_result(http::failure::timeout, verdict::may_have_run));
    EXPECT_TRUE(seen_as(out, observation::kind::failure).empty());
    EXPECT_EQ(only<refuse>(out).verdict, verdict::may_have_run);
}

// Guards against dropping a late response, or not counting it as a success of its server.
TEST_F(overdue_test, late_response_is_delivered)
{
    const auto sent = only<start_attempt>(send("/order"));
    advance(absl::Milliseconds(400));
    const auto out = finish(sent.send.attempt, complete_response(200, {{"P", "x"}}));
    EXPECT_EQ(only<respond>(out).response.status, 200);
    EXPECT_EQ(seen_as(out, observation::kind::success).size(), 1U);
}

// Guards against an idempotent request that waits half of its time for a hanging server.
TEST_F(overdue_test, overdue_idempotent_request_switches_server)
{
    const auto first = only<start_attempt>(send("/read"));
    const auto out = advance(absl::Milliseconds(400));
    EXPECT_EQ(only<cancel_attempt>(out).attempt, first.send.attempt);
    EXPECT_NE(only<start_attempt>(out).server, first.server);
    EXPECT_EQ(seen_as(out, observation::kind::overdue).size(), 1U);
    EXPECT_TRUE(seen_as(out, observation::kind::failure).empty());
}

// Guards against reporting servers on the basis of too few service times.
TEST_F(dialect_test, no_overdue_report_with_few_samples)
{
    for (int i = 0; i < 3; ++i) {
        const auto sent = only<start_attempt>(send("/order"));
        finish(sent.send.attempt, complete_response(200, {{"P", "x"}}));
    }
    only<start_attempt>(send("/order"));
    EXPECT_TRUE(all<observe>(advance(absl::Milliseconds(900))).empty());
}

/// A route split into parts with the weights 90, 10 and 0.
class split_test : public testing::Test
{
protected:
    std::vector<int> distribute(std::uint64_t seed, int n)
    {
        split_balancer it{core::random_source(seed)};
        std::vector<int> out(parts.size());
        for (int i = 0; i < n; ++i) {
            ++out[it.choose({core::team_id("t"), "r"}, parts)];
        }
        return out;
    }

    std::vector<route_part> parts = {{nullptr, 90}, {nullptr, 10}, {nullptr, 0}};
};

// Guards against shares that hold only for many requests.
TEST_F(split_test, keeps_the_weights_over_few_requests)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto out = distribute(seed, 40);
        EXPECT_NEAR(out[0], 36, 1);
        EXPECT_NEAR(out[1], 4, 1);
        EXPECT_EQ(out[2], 0);
    }
}

// Guards against many entries with few requests each that all choose the same part.
TEST_F(split_test, keeps_the_weights_over_first_requests_of_many_entries)
{
    int second = 0;
    constexpr int entries = 1000;
    for (std::uint64_t seed = 1; seed <= entries; ++seed) {
        second += distribute(seed, 1)[1];
    }
    EXPECT_GT(second, entries / 50);
    EXPECT_LT(second, entries / 4);
}

// Guards against a crash, or giving all requests to one part, if all weights are zero.
TEST_F(split_test, zero_weights_are_accepted)
{
    parts = {{nullptr, 0}, {nullptr, 0}};
    const auto out = distribute(1, 10);
    EXPECT_EQ(out[0] + out[1], 10);
}

/// A pool of two servers with rate limits, each with the permits that the test gives it.
class rate_limit_test : public dialect_test
{
protected:
    std::vector<action> serve_limited(
        std::vector<std::uint32_t> permits, double share_per_s = 2, int unlimited = 0)
    {
        pool_update it;
        it.pool = pool_p;
        it.settings = declared->pools.at(pool_p);
        it.is_assigned = true;
        for (std::size_t n = 0; n < permits.size() + unlimited; ++n) {
            auto& server = it.servers.emplace_back();
            server.id = core::server_id("s" + std::to_string(n + 1));
            server.at = {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
            server.slots = 4;
            if (n < permits.size()) {
                auto& limit = server.limit.emplace();
                limit.rate = core::request_rate(20);
                limit.permits = permits[n];
                limit.permits_expire = now + absl::Seconds(1);
                limit.share = core::request_rate(share_per_s);
                limit.granted_by = "e1";
            }
        }
        return entry->update_pool(now, it);
    }
};

// Guards against attempts without a permit: first attempts and retries alike.
TEST_F(rate_limit_test, attempts_without_permit_are_sent_elsewhere)
{
    serve_limited({0, 1}, 2, 1);
    const auto out = send("/order");
    const auto first = only<start_attempt>(out);
    EXPECT_EQ(first.server.str(), "s2");
    const auto retry = finish(first.send.attempt, complete_response(503, {{"N", "1"}}));
    EXPECT_EQ(only<start_attempt>(retry).server.str(), "s3");
    EXPECT_EQ(only<start_attempt>(send("/order")).server.str(), "s3");
}

// Guards against requests that are queued while the limit allows none of them in time.
TEST_F(rate_limit_test, request_that_permits_cannot_serve_in_time_is_refused_at_once)
{
    serve_limited({0, 0}, 1);
    const auto waiting = send("/order");
    EXPECT_TRUE(all<refuse>(waiting).empty());
    std::set<core::server_id> wanted;
    for (const auto& it : all<want_permits>(waiting)) {
        wanted.insert(it.server);
    }
    EXPECT_EQ(wanted.size(), 2U);
    send("/order");
    const auto refused = only<refuse>(send("/order"));
    EXPECT_STREQ(to_string(refused.reason), "rate-limited");
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(refused.verdict, verdict::not_run);
    const auto retry_after = std::stod(refused.response.headers.get("Retry-After"));
    EXPECT_GE(retry_after, 1);
    EXPECT_LE(retry_after, 3);
    // A permit serves the request that waits.
    EXPECT_EQ(all<start_attempt>(serve_limited({1, 0}, 1)).size(), 1U);
}

// Guards against permits that are used after they have expired, as after a freeze.
TEST_F(rate_limit_test, expired_permits_are_not_used)
{
    serve_limited({3, 0});
    now += absl::Milliseconds(1001);
    EXPECT_TRUE(all<start_attempt>(send("/order")).empty());
}

// Guards against requests that were queued before the servers named their limits and then
// wait in vain.
TEST_F(rate_limit_test, queued_requests_are_refused_when_limits_leave_no_time)
{
    serve_limited({}, 0, 1);
    for (int n = 0; n < 4; ++n) {
        EXPECT_EQ(all<start_attempt>(send("/order")).size(), 1U);
    }
    for (int n = 0; n < 5; ++n) {
        EXPECT_TRUE(all<refuse>(send("/order")).empty());
    }
    // Within the 2 s that the requests have, permits are expected after 0, 1 and 2 s.
    const auto refused = all<refuse>(serve_limited({0}, 1));
    EXPECT_EQ(refused.size(), 2U);
    for (const auto& it : refused) {
        EXPECT_STREQ(to_string(it.reason), "rate-limited");
    }
}

// Guards against a request that went to another server for a reason that on-call can't
// see.
TEST_F(rate_limit_test, withheld_server_is_explained)
{
    options.explains = true;
    restart(options);
    serve_limited({0}, 2, 1);
    send("/order");
    // The other server is busy by now, so the limited one would be chosen.
    const auto lines = all<explain>(send("/order"));
    const auto found = std::find_if(lines.begin(), lines.end(), [](const explain& it) {
        return it.what == "server left out";
    });
    ASSERT_NE(found, lines.end());
    std::vector<std::string> names;
    for (const auto& it : found->inputs) {
        names.push_back(it.name);
    }
    EXPECT_EQ(
        names,
        (std::vector<std::string>{
            "server",
            "reason",
            "server_limit_per_s",
            "server_limit_age_ms",
            "own_share_per_s",
            "granted_by"}));
}

} // namespace
} // namespace cuminpitch::request
