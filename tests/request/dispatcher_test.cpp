#include "fixture.hpp"

namespace cuminpitch::request {
namespace {

using core::verdict;

// Guards against forwarding responses without some headers or the body, with hop-by-hop
// headers, or with a verdict that the backend server set.
TEST_F(dispatcher_test, forwards_complete_response_with_verdict)
{
    const auto sent = only<start_attempt>(arrive(
        "/order?x=1",
        make_headers(
            {{"Connection", "X-Private, close"},
             {"X-Private", "1"},
             {"TE", "trailers"},
             {"Idempotency-Key", "k"},
             {"Cuminpitch-Deadline-Ms", "1500"}}),
        "loan"));
    EXPECT_EQ(sent.send.timeout, absl::Milliseconds(1500));
    const auto request = make_client_request(sent.send);
    EXPECT_EQ(request.content(), "loan");
    EXPECT_EQ(request.headers.get("Idempotency-Key"), "k");
    EXPECT_EQ(request.headers.get("Cuminpitch-Deadline-Ms"), "1500");
    for (const char* name : {"Connection", "X-Private", "TE"}) {
        EXPECT_FALSE(request.headers.has(name)) << name;
    }
    const auto out = only<respond>(finish(
        sent.send.attempt,
        complete(
            201,
            make_headers(
                {{"Connection", "X-Own"},
                 {"X-Own", "1"},
                 {"Keep-Alive", "5"},
                 {"Cuminpitch-Verdict", "not-run"},
                 {"Cuminpitch-Reason", "made-up"},
                 {"ETag", "e"}}))));
    EXPECT_EQ(out.request, last);
    EXPECT_EQ(out.response.status, 201);
    EXPECT_EQ(out.response.body, "body");
    EXPECT_EQ(out.response.headers.get("ETag"), "e");
    EXPECT_EQ(out.response.headers.get("Cuminpitch-Verdict"), "ran");
    for (const char* name : {"Connection", "X-Own", "Keep-Alive", "Cuminpitch-Reason"}) {
        EXPECT_FALSE(out.response.headers.has(name)) << name;
    }
    EXPECT_EQ(entry->in_flight(), 0U);
}

// Guards against a second execution after a 503 that doesn't prove that the request was
// not run.
TEST_F(dispatcher_test, non_idempotent_request_is_not_retried_after_503)
{
    const auto first = only<start_attempt>(from("x"));
    const auto out = only<respond>(
        finish(first.send.attempt, complete(503, make_headers({{"Retry-After", "1"}}))));
    EXPECT_EQ(out.response.status, 503);
    EXPECT_EQ(out.verdict, verdict::ran);
}

// Guards against failing idempotent requests that another server can answer, and against
// forwarding the failure although the retry succeeded.
TEST_F(dispatcher_test, idempotent_request_is_retried_on_another_server)
{
    for (const auto& failure : {reset_after_send(), complete(500), complete(503)}) {
        const auto first = only<start_attempt>(from("x", "/read"));
        const auto second = only<start_attempt>(finish(first.send.attempt, failure));
        EXPECT_NE(first.server, second.server);
        EXPECT_EQ(first.send.request, second.send.request);
        EXPECT_NE(first.send.attempt, second.send.attempt);
        EXPECT_EQ(
            only<respond>(finish(second.send.attempt, complete())).response.status, 200);
    }
    EXPECT_EQ(
        counters.counter(
            "cuminpitch_retries_total", {{"pool", "a/p"}, {"reason", "failure-status"}}),
        2U);
    EXPECT_EQ(
        counters.counter(
            "cuminpitch_retries_total", {{"pool", "a/p"}, {"reason", "reset"}}),
        1U);
}

// Guards against a hanging server that uses up the whole deadline of an idempotent
// request, and against cancelling a request that isn't idempotent while it may still be
// answered.
TEST_F(dispatcher_test, idempotent_attempt_leaves_time_for_another_server)
{
    const auto pool_deadline = declared->pools.at(pool_p).deadline;
    const auto first = only<start_attempt>(from("x", "/read"));
    EXPECT_EQ(first.send.timeout, pool_deadline / 2);
    now += pool_deadline / 2;
    const auto second = only<start_attempt>(finish(
        first.send.attempt,
        failed_result(http::failure::timeout, core::verdict::may_have_run)));
    EXPECT_NE(first.server, second.server);
    EXPECT_EQ(second.send.timeout, pool_deadline / 2);
    EXPECT_EQ(
        only<respond>(finish(second.send.attempt, complete())).response.status, 200);
    EXPECT_EQ(only<start_attempt>(from("x", "/order")).send.timeout, pool_deadline);
}

// Guards against cancelling attempts at a healthy server whose requests take long.
TEST_F(dispatcher_test, slow_pool_gets_the_whole_deadline)
{
    const auto pool_deadline = declared->pools.at(pool_p).deadline;
    auto slow = complete();
    slow.elapsed = pool_deadline / 4;
    finish(only<start_attempt>(from("x", "/read")).send.attempt, slow);
    EXPECT_EQ(only<start_attempt>(from("x", "/read")).send.timeout, pool_deadline);
}

// Guards against the verdict not-run for a request whose first attempt may have run.
TEST_F(dispatcher_test, verdict_covers_all_attempts)
{
    const auto first = only<start_attempt>(from("x", "/read"));
    const auto second =
        only<start_attempt>(finish(first.send.attempt, reset_after_send()));
    expect_refusal(
        finish(second.send.attempt, not_connected()),
        refusal_reason::connect_failed,
        verdict::may_have_run);
}

// Guards against losing the complete failure response of the first attempt if the retry
// fails without one.
TEST_F(dispatcher_test, failure_response_is_returned_if_retry_fails)
{
    const auto first = only<start_attempt>(from("x", "/read"));
    const auto second = only<start_attempt>(finish(first.send.attempt, complete(500)));
    const auto out = only<respond>(finish(second.send.attempt, not_connected()));
    EXPECT_EQ(out.response.status, 500);
}

// Guards against retries that multiply the load of a failing pool.
TEST_F(dispatcher_test, retries_stay_within_the_budget)
{
    constexpr int requests = 1000;
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        const auto first = only<start_attempt>(from("x", "/read"));
        const auto out = finish(first.send.attempt, complete(500));
        if (const auto second = all<start_attempt>(out); !second.empty()) {
            ++retries;
            finish(second.front().send.attempt, complete(500));
        }
    }
    EXPECT_LE(retries, requests / 10 + 10);
    EXPECT_GE(retries, requests / 10);
    declared->pools.at(pool_p).retry_percent = 0;
    restart({});
    const auto first = only<start_attempt>(from("x"));
    expect_refusal(
        finish(first.send.attempt, not_connected()), refusal_reason::connect_failed);
}

// Guards against a late result that is taken for that of another request, and against
// freeing a slot twice.
TEST_F(dispatcher_test, late_result_is_dropped)
{
    const auto first = only<start_attempt>(from("x"));
    const auto gone = disconnect_caller(last);
    EXPECT_EQ(only<cancel_attempt>(gone).attempt, first.send.attempt);
    const auto second = only<start_attempt>(from("y"));
    EXPECT_NE(first.send.attempt, second.send.attempt);
    EXPECT_TRUE(finish(first.send.attempt, complete()).empty());
    EXPECT_EQ(counters.counter("cuminpitch_late_results_total"), 1U);
    EXPECT_EQ(entry->load(pool_p).in_flight, 1U);
    EXPECT_EQ(only<respond>(finish(second.send.attempt, complete())).request, last);
    EXPECT_TRUE(finish(second.send.attempt, complete()).empty());
}

// Guards against rejecting the response of a second server for the same reason, though it
// can only be the server's own.
TEST_F(dispatcher_test, repeats_on_a_new_connection_after_a_rejected_response)
{
    for (const bool was_reused : {true, false}) {
        serve(pool_p, 2);
        const auto sent = only<start_attempt>(arrive("/read"));
        EXPECT_FALSE(sent.send.fresh_connection);
        auto rejected =
            failed_result(http::failure::malformed_response, core::verdict::may_have_run);
        rejected.reused_connection = was_reused;
        const auto again = only<start_attempt>(finish(sent.send.attempt, rejected));
        EXPECT_EQ(again.send.fresh_connection, was_reused);
        finish(again.send.attempt, complete());
    }
}

// Guards against two requests with the same id, whose responses could be swapped.
TEST_F(dispatcher_test, drops_duplicate_request_id)
{
    from("x");
    auto message = std::make_shared<http::request>();
    EXPECT_TRUE(entry->handle(now, request_received{last, message}).empty());
    EXPECT_EQ(counters.counter("cuminpitch_duplicate_request_ids_total"), 1U);
}

// Guards against sending a queued request after its caller has disconnected.
TEST_F(dispatcher_test, queued_request_of_disconnected_caller_is_not_sent)
{
    const auto first = only<start_attempt>(from("x"));
    from("x");
    from("x");
    EXPECT_TRUE(disconnect_caller(last).empty());
    EXPECT_TRUE(all<start_attempt>(finish(first.send.attempt, complete())).empty());
    EXPECT_EQ(entry->in_flight(), 1U);
}

// Guards against requests that never end because the result of an attempt is missing.
TEST_F(dispatcher_test, lost_result_ends_with_unknown_outcome)
{
    const auto sent = only<start_attempt>(from("x"));
    EXPECT_TRUE(advance(absl::Seconds(10)).empty());
    const auto out = advance(absl::Milliseconds(250));
    EXPECT_EQ(only<cancel_attempt>(out).attempt, sent.send.attempt);
    expect_refusal(out, refusal_reason::timeout, verdict::may_have_run);
    EXPECT_EQ(entry->load(pool_p).in_flight, 0U);
}

// Guards against forwarding loops, against losing the caller or deadline when a request
// is forwarded, and against changing the refusal of the other entry.
TEST_F(dispatcher_test, forwarded_request_is_marked_and_refusal_unchanged)
{
    serve_elsewhere();
    const auto hop = only<forward>(arrive("/order", {}, "b"));
    const auto request = make_client_request(hop.send);
    EXPECT_EQ(request.headers.get("Cuminpitch-Hop"), "1");
    EXPECT_EQ(request.headers.get("Cuminpitch-Caller"), "127.0.0.9");
    EXPECT_EQ(request.headers.get("Cuminpitch-Deadline-Ms"), "9980");
    EXPECT_TRUE(request.fresh_connection);
    const auto out = finish(
        hop.send.attempt,
        complete(
            503,
            make_headers(
                {{"Cuminpitch-Verdict", "not-run"},
                 {"Cuminpitch-Reason", "queue-full"},
                 {"Retry-After", "2"}})));
    EXPECT_TRUE(all<forward>(out).empty());
    const auto passed = only<respond>(out);
    EXPECT_EQ(passed.verdict, verdict::not_run);
    EXPECT_EQ(passed.response.status, 503);
    EXPECT_EQ(passed.response.headers.get("Cuminpitch-Reason"), "queue-full");
    EXPECT_EQ(passed.response.headers.get("Retry-After"), "2");
}

// Guards against losing queued requests when the pool is assigned to other entries.
TEST_F(dispatcher_test, queued_requests_are_forwarded_on_reassignment)
{
    const auto first = only<start_attempt>(from("x"));
    from("x");
    from("x");
    const auto waiting = last;
    arrive("/order", make_headers({{"Cuminpitch-Hop", "1"}}));
    const auto moved = serve_elsewhere();
    EXPECT_EQ(only<forward>(moved).send.request, waiting);
    expect_refusal(moved, refusal_reason::not_assigned);
    only<respond>(finish(first.send.attempt, complete())); // The sent one finishes.
}

// Guards against faults when a pool is removed while it has queued and sent requests.
TEST_F(dispatcher_test, removed_pool_finishes_sent_requests)
{
    const auto first = only<start_attempt>(from("x"));
    const auto second = only<start_attempt>(from("x"));
    from("x");
    expect_refusal(entry->remove_pool(now, pool_p), refusal_reason::no_route);
    only<respond>(finish(first.send.attempt, complete()));
    only<refuse>(finish(second.send.attempt, not_connected()));
    EXPECT_EQ(entry->in_flight(), 0U);
    expect_refusal(from("x"), refusal_reason::no_entry);
}

// Guards against sending requests to suspected servers or servers on probation while
// others are free.
TEST_F(dispatcher_test, chooses_servers_by_state_and_load)
{
    pool_update it;
    it.pool = pool_p;
    it.settings = declared->pools.at(pool_p);
    it.is_assigned = true;
    it.servers = {
        {core::server_id("suspected"), {"127.0.0.1", 1}, 9, true, false},
        {core::server_id("healthy"), {"127.0.0.1", 2}, 1, false, false},
        {core::server_id("on-probation"), {"127.0.0.1", 3}, 9, false, true}};
    entry->update_pool(now, it);
    EXPECT_EQ(only<start_attempt>(from("x")).server.str(), "healthy");
    EXPECT_EQ(only<start_attempt>(from("x")).server.str(), "suspected");
    EXPECT_EQ(only<start_attempt>(from("x", "/read")).server.str(), "on-probation");
    EXPECT_EQ(only<start_attempt>(from("x", "/read")).server.str(), "suspected");
}

// Guards against evidence against a server for failures that the caller caused.
TEST_F(dispatcher_test, reports_evidence)
{
    using kind = observation::kind;
    const auto evidence = [&](http::client_result result,
                              const char* deadline = "10000") {
        const auto sent = only<start_attempt>(
            arrive("/order", make_headers({{"Cuminpitch-Deadline-Ms", deadline}})));
        return only<observe>(finish(sent.send.attempt, std::move(result))).what.what;
    };
    const auto late = failed_result(http::failure::timeout, verdict::may_have_run);
    EXPECT_EQ(evidence(complete(200)), kind::success);
    EXPECT_EQ(evidence(complete(404)), kind::none);
    EXPECT_EQ(evidence(complete(500)), kind::failure);
    EXPECT_EQ(evidence(complete(429, make_headers({{"Retry-After", "1"}}))), kind::shed);
    EXPECT_EQ(evidence(reset_after_send()), kind::failure);
    EXPECT_EQ(evidence(late), kind::failure);
    EXPECT_EQ(evidence(late, "15"), kind::none); // The mean service time is 10 ms.
    EXPECT_EQ(
        evidence(failed_result(http::failure::cancelled, verdict::may_have_run)),
        kind::none);
}

} // namespace
} // namespace cuminpitch::request
