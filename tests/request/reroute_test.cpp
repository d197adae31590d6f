// Requests that wait while their pool is removed.

#include "fixture.hpp"

#include <algorithm>
#include <map>

namespace cuminpitch::request {
namespace {

const core::pool_id pool_m{core::team_id("a"), "m"};

class reroute_test : public dispatcher_test
{
protected:
    /// Puts declarations in force in which the routes of a/p lead to `split`, and a/p is
    /// not declared. Returns the actions of the removal.
    std::vector<action>
    move_routes(const std::vector<config::split_part>& split, unsigned slots = 8)
    {
        const auto change = [&](config::declarations& all) {
            for (auto& [id, route] : all.routes) {
                if (id.team != pool_p.team) {
                    continue;
                }
                route.pool = split.size() == 1 ? split.front().pool : core::pool_id();
                route.split =
                    split.size() == 1 ? std::vector<config::split_part>() : split;
            }
            for (const auto& part : split) {
                all.pools[part.pool].id = part.pool;
            }
        };
        return declare(change, pool_p, 1, slots);
    }
    /// Occupies both servers of a/p. Returns the attempts.
    std::vector<start_attempt> fill(const std::string& path = "/order")
    {
        return {
            only<start_attempt>(from("x", path)), only<start_attempt>(from("x", path))};
    }
    static std::vector<request_id> requests_of(const std::vector<start_attempt>& sent)
    {
        std::vector<request_id> out(sent.size());
        std::transform(sent.begin(), sent.end(), out.begin(), [](const auto& it) {
            return it.send.request;
        });
        return out;
    }
};

// Guards against a final 404 for requests whose route exists: review/7 had 24 of 40
// answered so when a change moved their route to another service.
TEST_F(reroute_test, waiting_requests_go_where_their_route_leads_now)
{
    const auto running = fill();
    std::vector<request_id> waiting;
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(all<start_attempt>(from("c" + std::to_string(i))).empty());
        waiting.push_back(last);
    }
    const auto moved = move_routes({{pool_n, 1}});
    EXPECT_TRUE(all<refuse>(moved).empty());
    const auto sent = all<start_attempt>(moved);
    EXPECT_EQ(requests_of(sent), waiting);
    for (const auto& it : sent) {
        EXPECT_EQ(it.pool, pool_n);
        only<respond>(finish(it.send.attempt, complete()));
    }
    for (const auto& it : running) {
        only<respond>(finish(it.send.attempt, complete()));
    }
    EXPECT_EQ(entry->in_flight(), 0U);
}

// Guards against a request that is kept, or sent anywhere, although no route allows it.
TEST_F(reroute_test, waiting_request_without_a_route_is_refused)
{
    fill();
    from("x");
    const auto gone = declare([](config::declarations& it) {
        it.routes.erase({pool_p.team, "order"});
    });
    expect_refusal(gone, refusal_reason::no_route);
    EXPECT_EQ(entry->in_flight(), 2U);
}

// Guards against requests that leave a service for one part of a split only, and against
// parts without weight that get some.
TEST_F(reroute_test, splits_share_the_waiting_requests)
{
    fill();
    for (int i = 0; i < 8; ++i) {
        from("c" + std::to_string(i));
    }
    const auto moved = move_routes({{pool_n, 3}, {pool_m, 1}});
    std::map<core::pool_id, int> counts;
    for (const auto& it : all<start_attempt>(moved)) {
        ++counts[it.pool];
    }
    EXPECT_EQ(counts[pool_n] + counts[pool_m], 8);
    EXPECT_NEAR(counts[pool_m], 2, 1);
}

// Guards against a request that is lost or answered twice if its second pool goes too.
TEST_F(reroute_test, request_moves_again_with_the_next_change)
{
    fill();
    from("x");
    from("y");
    const auto waiting = last;
    const auto moved = move_routes({{pool_n, 1}}, 1);
    EXPECT_TRUE(all<refuse>(moved).empty());
    only<start_attempt>(moved);
    const auto again = declare(
        [](config::declarations& it) { redirect(it, pool_n, pool_m); }, pool_n, 1, 1);
    EXPECT_EQ(only<start_attempt>(again).send.request, waiting);
}

// Guards against a time limit that starts again with the move.
TEST_F(reroute_test, time_that_was_waited_counts)
{
    fill();
    from("x");
    advance(absl::Seconds(3));
    const auto refused = declare([](config::declarations& it) {
        redirect(it, pool_p, pool_n);
        it.routes.at({pool_p.team, "order"}).deadline = absl::Seconds(2);
    });
    expect_refusal(refused, refusal_reason::deadline_passed);
}

// Guards against capacity of a team that is lost, or given back twice, with each move.
TEST_F(reroute_test, share_of_the_team_stays_right)
{
    dispatcher_options options;
    options.in_flight_limit = 4;
    restart(options);
    auto sent = fill();
    from("y");
    from("z");
    for (auto& it : all<start_attempt>(move_routes({{pool_n, 1}}))) {
        sent.push_back(std::move(it));
    }
    ASSERT_EQ(sent.size(), 4U);
    expect_refusal(from("x"), refusal_reason::entry_full);
    for (const auto& it : sent) {
        only<respond>(finish(it.send.attempt, complete()));
    }
    for (int i = 0; i < 4; ++i) {
        only<start_attempt>(from("x"));
    }
    expect_refusal(from("x"), refusal_reason::entry_full);
}

// Guards against an attempt that is repeated although the request may have run and the
// new route is not idempotent, and against more attempts than the new route allows.
TEST_F(reroute_test, failed_attempt_is_repeated_as_the_new_route_allows)
{
    constexpr int servers = 3; // One of them has the id of the server that failed.
    const auto outcome = [&](bool is_idempotent, std::uint32_t max_attempts) {
        declared = two_teams();
        restart({});
        const auto sent = only<start_attempt>(from("x", "/read"));
        const auto change = [&](config::declarations& it) {
            redirect(it, pool_p, pool_n);
            auto& route = it.routes.at({pool_p.team, "read"});
            route.idempotent = is_idempotent;
            route.max_attempts = max_attempts;
        };
        declare(change, pool_p, servers);
        return finish(sent.send.attempt, reset_after_send());
    };
    EXPECT_EQ(only<start_attempt>(outcome(true, 2)).pool, pool_n);
    expect_refusal(outcome(false, 2), refusal_reason::reset, core::verdict::may_have_run);
    expect_refusal(outcome(true, 1), refusal_reason::reset, core::verdict::may_have_run);
}

// Guards against a 404 or a lost request if another entry, which doesn't serve the pool
// any more either, returns the request unrun.
TEST_F(reroute_test, request_that_comes_back_from_another_entry_moves)
{
    serve_elsewhere();
    const auto hop = only<forward>(from("x"));
    move_routes({{pool_n, 1}});
    auto returned = complete(
        404,
        make_headers(
            {{"Cuminpitch-Verdict", "not-run"}, {"Cuminpitch-Reason", "no-route"}}));
    const auto out = finish(hop.send.attempt, std::move(returned));
    EXPECT_EQ(only<start_attempt>(out).pool, pool_n);
}

} // namespace
} // namespace cuminpitch::request
