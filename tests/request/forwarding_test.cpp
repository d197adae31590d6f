// Requests of a pool that every entry serves, at an entry whose network path to the
// servers is lost, and at the entry to which it forwards them.

#include "fixture.hpp"

namespace cuminpitch::request {
namespace {

class forwarding_test : public dispatcher_test
{
protected:
    forwarding_test()
    {
        auto& pool = declared->pools[pool_p];
        pool.every_entry = true;
        pool.retry_percent = 100;
        options.dialect.terse_refusals = true;
        options.dialect.unavailable_means_not_run = true;
        restart(options);
    }

    /// `entries` is the number of other entries that reach the servers.
    std::vector<action> lose_path(int entries)
    {
        pool_update it;
        it.pool = pool_p;
        it.settings = declared->pools.at(pool_p);
        it.is_assigned = true;
        it.is_path_lost = true;
        for (int n = 1; n <= 2; ++n) {
            const core::server_id id("s" + std::to_string(n));
            it.servers.push_back(
                {id, {"127.0.0.1", static_cast<std::uint16_t>(n)}, 1, false, false});
        }
        for (int n = 1; n <= entries; ++n) {
            it.entries.push_back(
                {core::instance_id("e" + std::to_string(n)),
                 {"127.0.0.1", static_cast<std::uint16_t>(100 + n)},
                 true,
                 static_cast<double>(n)});
        }
        return entry->update_pool(now, it);
    }
    static http::client_result
    refused_by_entry(const std::string& reason, int status = 503)
    {
        return complete(
            status,
            make_headers(
                {{"Cuminpitch-Verdict", "not-run"}, {"Cuminpitch-Reason", reason}}));
    }

    dispatcher_options options;
};

// Guards against callers that lose their requests with the path of their entry.
TEST_F(forwarding_test, connection_that_fails_is_replaced_by_another_entry)
{
    const auto sent = only<start_attempt>(arrive("/order"));
    lose_path(2);
    const auto out = finish(sent.send.attempt, not_connected());
    EXPECT_EQ(only<forward>(out).entry.str(), "e1") << "the entry with the lowest load";
}

// Guards against running a request twice because the path is lost after it was sent.
TEST_F(forwarding_test, request_that_may_have_run_is_not_forwarded)
{
    const auto sent = only<start_attempt>(arrive("/order"));
    lose_path(2);
    const auto out = finish(sent.send.attempt, reset_after_send());
    EXPECT_TRUE(all<forward>(out).empty());
    EXPECT_EQ(only<refuse>(out).verdict, core::verdict::may_have_run);
}

// Guards against a loop between two entries that have both lost their paths.
TEST_F(forwarding_test, forwarded_request_is_refused_when_the_path_is_lost_here_too)
{
    lose_path(2);
    const auto refused =
        only<refuse>(arrive("/order", make_headers({{"Cuminpitch-Hop", "1"}})));
    EXPECT_EQ(refused.reason, refusal_reason::path_lost);
    EXPECT_EQ(refused.response.headers.get("Cuminpitch-Verdict"), "not-run");
}

// Guards against a refusal to the caller although another entry reaches the servers.
TEST_F(forwarding_test, next_entry_is_tried_when_one_did_not_run_the_request)
{
    lose_path(2);
    const auto first = only<forward>(arrive("/order"));
    const auto second =
        only<forward>(finish(first.send.attempt, refused_by_entry("path-lost")));
    EXPECT_NE(second.entry, first.entry);
    const auto out = finish(second.send.attempt, refused_by_entry("no-route", 404));
    EXPECT_EQ(only<refuse>(out).response.status, 503)
        << "an entry with older declarations";
}

// Guards against an unknown outcome that the caller is told as not run.
TEST_F(forwarding_test, failure_of_the_other_entry_is_an_unknown_outcome)
{
    lose_path(2);
    const auto hop = only<forward>(arrive("/order"));
    const auto out = finish(hop.send.attempt, reset_after_send());
    EXPECT_TRUE(all<forward>(out).empty());
    EXPECT_EQ(only<refuse>(out).verdict, core::verdict::may_have_run);
    EXPECT_EQ(only<refuse>(out).response.status, 502);
}

// Guards against an overloaded fleet in which each entry is asked in turn.
TEST_F(forwarding_test, refusal_for_load_is_passed_on)
{
    lose_path(2);
    const auto hop = only<forward>(arrive("/order"));
    const auto out = finish(hop.send.attempt, refused_by_entry("expected-wait"));
    const auto passed = only<respond>(out);
    EXPECT_EQ(passed.response.status, 503);
    EXPECT_FALSE(passed.response.headers.has("Cuminpitch-Verdict"));
}

// Guards against a customer over its rate whose requests ask each entry in turn, and
// against an unknown key that is refused late.
TEST_F(forwarding_test, refusal_that_is_the_same_everywhere_is_passed_on)
{
    lose_path(2);
    for (const auto& [reason, status] :
         {std::pair("over-allowance", 429), std::pair("unknown-key", 401)}) {
        const auto hop = only<forward>(arrive("/order"));
        const auto out = finish(hop.send.attempt, refused_by_entry(reason, status));
        EXPECT_EQ(only<respond>(out).response.status, status);
    }
}

// Guards against more attempts than the route allows when two entries make them.
TEST_F(forwarding_test, attempts_of_both_entries_are_limited_together)
{
    const auto hop =
        make_headers({{"Cuminpitch-Hop", "1"}, {"Cuminpitch-Attempts-Left", "1"}});
    const auto sent = only<start_attempt>(arrive("/read", hop));
    EXPECT_FALSE(sent.send.headers.has("Cuminpitch-Attempts-Left"));
    EXPECT_FALSE(sent.send.headers.has("Cuminpitch-Hop"));
    const auto out = finish(sent.send.attempt, reset_after_send());
    EXPECT_TRUE(all<start_attempt>(out).empty());
}

// Guards against an entry that handles a request by older declarations than its sender.
TEST_F(forwarding_test, older_declarations_are_not_used_for_a_forwarded_request)
{
    entry_state state;
    state.revision = core::revision(7);
    entry->set_entry(state);
    const auto with_revision = [&](const std::string& it) {
        return arrive(
            "/order",
            make_headers({{"Cuminpitch-Hop", "1"}, {"Cuminpitch-Revision", it}}));
    };
    EXPECT_EQ(only<refuse>(with_revision("8")).reason, refusal_reason::no_revision);
    only<start_attempt>(with_revision("7"));
}

// Guards against work for a caller that has left.
TEST_F(forwarding_test, caller_that_leaves_cancels_the_forwarded_request)
{
    lose_path(1);
    const auto hop = only<forward>(arrive("/order"));
    EXPECT_EQ(only<cancel_attempt>(disconnect_caller(last)).attempt, hop.send.attempt);
    EXPECT_EQ(entry->in_flight(), 0U);
}

} // namespace
} // namespace cuminpitch::request
