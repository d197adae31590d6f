#include "entry/server_notices_priv.hpp"

#include "fixture.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

constexpr std::size_t fleet_size = 277;

control::entry_record entry_at(std::size_t n)
{
    const auto host = absl::StrCat("10.1.", n / 256, ".", n % 256);
    return {core::instance_id(absl::StrCat("entry-", n)), {host, 80}, {host, 7000}, {}};
}

class server_notices_test : public testing::Test
{
protected:
    server_notices_test()
    {
        std::vector<control::entry_record> entries;
        for (std::size_t n = 0; n < fleet_size; ++n) {
            entries.push_back(entry_at(n));
        }
        tested.set_entries(entries);
        list(1);
    }

    /// Lists the server and returns until when it is closed.
    absl::Time list(std::uint64_t incarnation)
    {
        request::pool_update it;
        it.pool = pool;
        it.servers.emplace_back();
        it.servers[0].id = server;
        it.servers[0].incarnation = incarnation;
        tested.apply(it);
        return it.servers[0].closed_until;
    }
    void say(bool is_leaving, absl::Duration hold_off = {}, std::uint64_t incarnation = 1)
    {
        tested.observe(now, pool, server, incarnation, {is_leaving, hold_off});
    }

    const core::server_id server{"s"};
    telemetry::metrics metrics;
    server_notices tested{entry_at(0), core::random_source(1), metrics};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a late response that takes back that a server is leaving.
TEST_F(server_notices_test, leaving_is_final_for_the_incarnation)
{
    say(true);
    say(false);
    now += absl::Minutes(10);
    tested.tick(now);
    EXPECT_EQ(list(1), absl::InfiniteFuture());
    EXPECT_FALSE(tested.is_open(now, pool, server));
    EXPECT_EQ(list(2), absl::InfinitePast()) << "another incarnation";
    EXPECT_TRUE(tested.is_open(now, pool, server));
}

// Guards against an earlier incarnation's departure that is taken for the present one's.
TEST_F(server_notices_test, late_statement_of_an_earlier_incarnation_has_no_effect)
{
    list(2);
    tested.receive(now, {{{pool, server, 1}}});
    EXPECT_EQ(list(2), absl::InfinitePast());
    say(true, absl::Seconds(5), 1);
    EXPECT_EQ(list(2), absl::InfinitePast()) << "a response to an earlier request";
}

// Guards against a server that is used until its own record arrives after the news.
TEST_F(server_notices_test, news_may_arrive_before_the_server_is_listed)
{
    tested.receive(now, {{{pool, server, 3}}});
    EXPECT_EQ(list(3), absl::InfiniteFuture());
}

// Guards against messages that grow with the fleet or that never end.
TEST_F(server_notices_test, news_are_passed_on_once_to_a_few_entries)
{
    constexpr std::size_t max_messages = 6;
    say(true);
    EXPECT_EQ(tested.take_messages().size(), max_messages);
    say(true);
    tested.receive(now, {{{pool, server, 1}}});
    EXPECT_TRUE(tested.take_messages().empty());
}

// Guards against an entry that starts and sends to a server that has left.
TEST_F(server_notices_test, starting_entry_is_told_which_servers_are_leaving)
{
    tested.reply_to(entry_at(1).internal);
    EXPECT_TRUE(tested.take_messages().empty());
    say(true);
    tested.take_messages();
    tested.reply_to(entry_at(1).internal);
    const auto sent = tested.take_messages();
    ASSERT_EQ(sent.size(), 1U);
    const auto& news = std::get<control::leaving_news>(sent[0].message);
    ASSERT_EQ(news.servers.size(), 1U);
    EXPECT_EQ(news.servers[0].server, server);
}

// Guards against a hold-off that a later response shortens, or that outlasts its end.
TEST_F(server_notices_test, longest_hold_off_is_kept_until_its_end)
{
    const auto end = now + absl::Seconds(90);
    say(false, absl::Seconds(90));
    EXPECT_TRUE(tested.take_messages().empty()) << "it concerns this entry only";
    now += absl::Seconds(1);
    say(false, absl::Seconds(2));
    EXPECT_EQ(list(1), end);
    now = end - absl::Milliseconds(20);
    tested.tick(now);
    EXPECT_FALSE(tested.is_open(now, pool, server));
    tested.take_changed_pools();
    now = end;
    tested.tick(now);
    EXPECT_TRUE(tested.is_open(now, pool, server));
    EXPECT_TRUE(tested.take_changed_pools().contains(pool));
    EXPECT_EQ(list(1), absl::InfinitePast());
}

// Guards against values without a meaning that nobody notices.
TEST_F(server_notices_test, malformed_notices_are_counted)
{
    tested.observe(now, pool, server, 1, {false, {}, true, true});
    EXPECT_EQ(list(1), absl::InfinitePast());
    EXPECT_EQ(
        metrics.counter(
            "cuminpitch_malformed_notices_total",
            {{"pool", pool.str()}, {"notice", "leaving"}}),
        1U);
}

} // namespace
} // namespace cuminpitch::entry
