#include "fixture.hpp"

namespace cuminpitch::request {
namespace {

/// An entry whose team requires keys. The customer "shop" has the key "k-1", and the
/// route /read is public if a test says so.
class key_test : public dispatcher_test
{
protected:
    key_test()
    {
        declared->limits[pool_p.team].requires_key = true;
        config::customer_settings shop;
        shop.id = {pool_p.team, "shop"};
        shop.name = "Shop-1";
        shop.keys = {"k-1"};
        shop.priority = 3;
        declared->customers[shop.id] = shop;
        restart({});
        confirm(now);
    }

    void confirm(absl::Time at, absl::Duration max_key_age = absl::InfiniteDuration())
    {
        entry_state it;
        it.confirmed = at;
        it.max_key_age = max_key_age;
        entry->set_entry(it);
    }

    std::vector<action> with_key(const std::string& value)
    {
        return arrive("/order", make_headers({{"Authorization", value}}));
    }
};

// Guards against a server that sees the key, or the name of another customer.
TEST_F(key_test, server_gets_the_name_and_not_the_key)
{
    const auto sent = only<start_attempt>(arrive(
        "/order",
        make_headers(
            {{"Authorization", "bearer k-1"}, {"Cuminpitch-Customer", "other"}})));
    EXPECT_FALSE(sent.send.headers.has("Authorization"));
    EXPECT_EQ(sent.send.headers.get("Cuminpitch-Customer"), "Shop-1");
}

// Guards against a request that runs without the key of a customer.
TEST_F(key_test, request_without_a_known_key_is_refused)
{
    for (const char* it :
         {"Bearer k-2",
          "Bearer",
          "Bearer ",
          "Basic k-1",
          "k-1",
          "Bearerk-1",
          "Bearer k-1 k-1"}) {
        expect_refusal(with_key(it), refusal_reason::unknown_key);
    }
    expect_refusal(arrive("/order"), refusal_reason::unknown_key);
    expect_refusal(
        arrive(
            "/order",
            make_headers({{"Authorization", "Bearer k-1"}, {"Authorization", "Bearer"}})),
        refusal_reason::unknown_key);
}

// Guards against a hop header by which any caller could act as a customer.
TEST_F(key_test, forwarded_request_needs_its_key_too)
{
    expect_refusal(
        arrive(
            "/order",
            make_headers(
                {{"Cuminpitch-Hop", "1"},
                 {"Cuminpitch-Caller", "a/shop"},
                 {"Cuminpitch-Customer", "Shop-1"}})),
        refusal_reason::unknown_key);
}

// Guards against a forwarded request that the other entry refuses for lack of the key.
TEST_F(key_test, forwarded_request_carries_its_key)
{
    serve_elsewhere();
    const auto sent = only<forward>(with_key("Bearer k-1"));
    EXPECT_EQ(sent.send.headers.get("Authorization"), "Bearer k-1");
}

// Guards against a public route that asks for a key, and against one that tells servers a
// name that the caller made up.
TEST_F(key_test, public_route_needs_no_key)
{
    declared->routes.at({pool_p.team, "order"}).is_public = true;
    restart({});
    const auto without = only<start_attempt>(arrive(
        "/order",
        make_headers({{"Authorization", "Bearer k-2"}, {"Cuminpitch-Customer", "x"}})));
    EXPECT_FALSE(without.send.headers.has("Authorization"));
    EXPECT_FALSE(without.send.headers.has("Cuminpitch-Customer"));
    const auto with = only<start_attempt>(with_key("Bearer k-1"));
    EXPECT_EQ(with.send.headers.get("Cuminpitch-Customer"), "Shop-1");
}

// Guards against a refusal as unknown of a key that was added while the entry was
// partitioned from control, and against known keys that stop working there.
TEST_F(key_test, entry_without_contact_refuses_unknown_keys_as_unverified)
{
    confirm(now - absl::Milliseconds(2100));
    expect_refusal(with_key("Bearer k-2"), refusal_reason::key_unverified);
    expect_refusal(arrive("/order"), refusal_reason::unknown_key);
    EXPECT_EQ(all<start_attempt>(with_key("Bearer k-1")).size(), 1U);
}

// Guards against a revoked key that works for longer than the limit at an entry without
// contact.
TEST_F(key_test, known_keys_expire_without_contact_if_limited)
{
    confirm(now - absl::Seconds(5), absl::Seconds(5));
    EXPECT_EQ(all<start_attempt>(with_key("Bearer k-1")).size(), 1U);
    confirm(now - absl::Milliseconds(5001), absl::Seconds(5));
    expect_refusal(with_key("Bearer k-1"), refusal_reason::key_unverified);
}

// Guards against a public route that is refused because of a key.
TEST_F(key_test, public_route_is_served_while_keys_are_unverified)
{
    for (auto& [id, it] : declared->routes) {
        it.is_public = true;
    }
    restart({});
    confirm(now - absl::Seconds(6), absl::Seconds(5));
    const auto sent = only<start_attempt>(with_key("Bearer k-1"));
    EXPECT_FALSE(sent.send.headers.has("Authorization"));
    EXPECT_FALSE(sent.send.headers.has("Cuminpitch-Customer"));
}

// Guards against a revoked key that still works, and a header that is changed where no
// keys are required.
TEST_F(key_test, change_of_the_declarations_takes_effect_at_once)
{
    declared = std::make_shared<config::declarations>(*declared);
    declared->customers.begin()->second.keys = {"k-3"};
    entry->set_routes(std::make_shared<route_table>(declared));
    expect_refusal(with_key("Bearer k-1"), refusal_reason::unknown_key);
    EXPECT_EQ(all<start_attempt>(with_key("Bearer k-3")).size(), 1U);
    declared = std::make_shared<config::declarations>(*declared);
    declared->limits.clear();
    entry->set_routes(std::make_shared<route_table>(declared));
    const auto sent = only<start_attempt>(with_key("Bearer k-9"));
    EXPECT_EQ(sent.send.headers.get("Authorization"), "Bearer k-9");
}

// Guards against a request that is served with a revoked key because it waited.
TEST_F(key_test, waiting_request_that_moves_needs_a_valid_key)
{
    with_key("Bearer k-1");
    with_key("Bearer k-1");
    with_key("Bearer k-1");
    const auto moved = declare([](config::declarations& it) {
        redirect(it, pool_p, pool_n);
        it.customers.begin()->second.keys = {"k-3"};
    });
    expect_refusal(moved, refusal_reason::unknown_key);
}

/// As key_test, with a rate.
class rate_test : public key_test
{
protected:
    rate_test()
    {
        declared->customers.begin()->second.rate = core::request_rate(5);
        restart({});
        confirm(now);
    }
    std::vector<action> decide(request_id it, allowance_decided::outcome what)
    {
        return entry->handle(now, allowance_decided{it, what, absl::Seconds(3)});
    }
};

// Guards against a request that runs without a permit, and one that is sent twice for two
// decisions.
TEST_F(rate_test, request_waits_for_its_permit)
{
    const auto waits = with_key("Bearer k-1");
    EXPECT_EQ(only<request_allowance>(waits).request, last);
    EXPECT_TRUE(all<start_attempt>(waits).empty());
    EXPECT_EQ(
        all<start_attempt>(decide(last, allowance_decided::outcome::granted)).size(), 1U);
    EXPECT_TRUE(decide(last, allowance_decided::outcome::granted).empty());
}

// Guards against a status other than 429, which callers take as a promise that the
// request didn't run, and against a Retry-After that doesn't tell when there is room.
TEST_F(rate_test, refusal_over_the_rate_tells_when_to_return)
{
    with_key("Bearer k-1");
    const auto refused =
        only<refuse>(decide(last, allowance_decided::outcome::over_allowance));
    EXPECT_EQ(refused.response.status, 429);
    EXPECT_EQ(refused.verdict, core::verdict::not_run);
    EXPECT_EQ(refused.response.headers.get("Retry-After"), "3");
    with_key("Bearer k-1");
    expect_refusal(
        decide(last, allowance_decided::outcome::unknown),
        refusal_reason::allowance_unknown);
}

// Guards against a crash or a second response if caller, pool or deadline of a request
// are gone before its permit comes.
TEST_F(rate_test, waiting_request_ends_with_its_caller_pool_or_deadline)
{
    with_key("Bearer k-1");
    disconnect_caller(last);
    EXPECT_TRUE(decide(last, allowance_decided::outcome::granted).empty());
    with_key("Bearer k-1");
    expect_refusal(advance(absl::Seconds(11)), refusal_reason::deadline_in_queue);
    confirm(now);
    with_key("Bearer k-1");
    entry->remove_pool(now, pool_p);
    expect_refusal(
        decide(last, allowance_decided::outcome::granted), refusal_reason::no_route);
}

// Guards against a 404 for a request whose route moves while it waits for its permit, and
// against a second permit that is charged to the customer for the move.
TEST_F(rate_test, request_that_moves_keeps_its_permit)
{
    const auto move = [&](const core::pool_id& from, const core::pool_id& to) {
        return declare(
            [&](config::declarations& it) { redirect(it, from, to); }, from, 1, 1);
    };
    with_key("Bearer k-1");
    EXPECT_TRUE(move(pool_p, pool_n).empty());
    const auto sent = decide(last, allowance_decided::outcome::granted);
    EXPECT_EQ(only<start_attempt>(sent).pool, pool_n);
    EXPECT_TRUE(all<request_allowance>(sent).empty());
    with_key("Bearer k-1");
    EXPECT_TRUE(decide(last, allowance_decided::outcome::granted).empty()); // No slot.
    const auto moved = move(pool_n, pool_p);
    EXPECT_EQ(only<start_attempt>(moved).pool, pool_p);
    EXPECT_TRUE(all<request_allowance>(moved).empty());
}

} // namespace
} // namespace cuminpitch::request
