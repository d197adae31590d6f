#include "fixture.hpp"

namespace cuminpitch::request {
namespace {

/// Sends requests of several callers and records the order in which they start.
class fairness : public dispatcher_test
{
protected:
    /// Sends `n` requests and returns the number of those that were not refused.
    int admit(const std::string& caller, int n, const std::string& path = "/order")
    {
        int out = 0;
        for (int i = 0; i < n; ++i) {
            const auto actions = from(caller, path);
            record_starts(actions, caller);
            // The refusal may be that of an evicted request.
            const auto refused = all<refuse>(actions);
            out += refused.empty() || refused.front().request != last ? 1 : 0;
        }
        return out;
    }
    void record_starts(const std::vector<action>& actions, const std::string& caller = "")
    {
        if (!caller.empty()) {
            caller_of[last] = caller;
        }
        for (const auto& it : all<start_attempt>(actions)) {
            started.push_back(it.send.attempt);
            start_order.push_back(caller_of[it.send.request]);
        }
    }
    void finish_oldest()
    {
        const auto it = started.front();
        started.erase(started.begin());
        record_starts(finish(it, complete()));
    }

    std::map<request_id, std::string> caller_of;
    std::vector<attempt_id> started;
    std::vector<std::string> start_order;
};

// Guards against a caller with many requests that delays those of others.
TEST_F(fairness, callers_are_served_round_robin)
{
    admit("greedy", 10);
    admit("modest", 3);
    start_order.clear();
    for (int i = 0; i < 6; ++i) {
        finish_oldest();
    }
    EXPECT_EQ(std::count(start_order.begin(), start_order.end(), "modest"), 3);
}

// Guards against a caller that fills the queue before other callers arrive, and against
// applying the share to a caller that is alone.
TEST_F(fairness, caller_share_applies_only_with_other_callers)
{
    declared->pools.at(pool_p).queue_limit = 8;
    restart({});
    EXPECT_EQ(admit("greedy", 12), 10); // Two in the slots, eight in the queue.
    const auto actions = from("modest");
    expect_refusal(actions, refusal_reason::caller_share);
    EXPECT_NE(only<refuse>(actions).request, last); // Evicts the newest of "greedy".
    expect_refusal(from("greedy"), refusal_reason::caller_share);
    EXPECT_EQ(admit("modest", 3), 3);
    EXPECT_EQ(entry->load(pool_p).queued, 8U);
    EXPECT_EQ(admit("modest", 1), 0);
}

// Guards against a caller that holds more than its share of the slots while others wait.
TEST_F(fairness, caller_is_limited_to_its_share_of_slots)
{
    declared->pools.at(pool_p).caller_share_percent = 25;
    restart({});
    serve(pool_p, 2, 4);
    admit("greedy", 30);
    admit("a", 10);
    admit("b", 10);
    admit("c", 10);
    start_order.clear();
    for (int i = 0; i < 24; ++i) {
        finish_oldest();
    }
    EXPECT_LE(std::count(start_order.begin(), start_order.end(), "greedy"), 24 / 4 + 2);
}

// Guards against estimating the same wait for a caller with many requests as for those
// that overtake it: its requests would wait until their deadlines.
TEST_F(fairness, expected_wait_uses_dequeue_rate_of_caller)
{
    declared->pools.at(pool_p).queue_limit = 100;
    declared->pools.at(pool_p).caller_share_percent = 90;
    restart({});
    admit("greedy", 60);
    for (int i = 0; i < 30; ++i) {
        for (const char* caller : {"a", "b", "c"}) {
            admit(caller, 1);
        }
        for (int n = 0; n < 4; ++n) {
            now += absl::Milliseconds(50);
            finish_oldest();
        }
    }
    // The caller gets one of four dequeues, which are 50 ms apart: its 29 waiting
    // requests take about 6 s, and a new one 200 ms more. A deadline of 10 s allows that,
    // one of 5 s doesn't.
    EXPECT_EQ(admit("greedy", 1), 1);
    const auto out = arrive(
        "/order",
        make_headers(
            {{"Cuminpitch-Caller", "greedy"}, {"Cuminpitch-Deadline-Ms", "5000"}}));
    expect_refusal(out, refusal_reason::expected_wait);
}

// Guards against a team with slow servers that uses up the limit of the entry for all
// teams.
TEST_F(fairness, team_share_limits_a_team)
{
    restart({.in_flight_limit = 10, .team_share_percent = 60});
    serve(pool_q, 1);
    EXPECT_EQ(admit("x", 10), 6);
    expect_refusal(from("x"), refusal_reason::team_share);
    EXPECT_EQ(admit("y", 4, "/other"), 4);
    // The entry is full and b/q has less than an equal share, so a request of a/p is
    // evicted.
    const auto out = from("y", "/other");
    expect_refusal(out, refusal_reason::team_share);
    EXPECT_EQ(caller_of[only<refuse>(out).request], "x");
    expect_refusal(from("y", "/other"), refusal_reason::entry_full);
}

// Guards against applying the team share to a team that is alone at the entry.
TEST_F(fairness, only_team_uses_the_whole_entry)
{
    restart({.in_flight_limit = 10, .team_share_percent = 60});
    EXPECT_EQ(admit("x", 12), 10);
}

} // namespace
} // namespace cuminpitch::request
