#include "entry/server_reach_priv.hpp"

#include "fixture.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

constexpr std::size_t fleet_size = 277;

control::entry_record entry_at(std::size_t n)
{
    const auto host = absl::StrCat("10.1.", n / 256, ".", n % 256);
    return {
        core::instance_id(absl::StrCat("entry-", n)),
        {host, 80},
        {host, 7000},
        core::failure_domain_id(n % 2 == 0 ? "a" : "b")};
}

core::server_id server(std::size_t n)
{
    return core::server_id(absl::StrCat("s", n));
}

class server_reach_test : public testing::Test
{
protected:
    server_reach_test()
    {
        std::vector<control::entry_record> entries;
        for (std::size_t n = 0; n < fleet_size; ++n) {
            entries.push_back(entry_at(n));
        }
        tested.set_entries(entries);
        tested.set_servers(pool, {server(1), server(2), server(3), server(4)});
        tested.set_load(0, true);
    }

    void refuse(std::size_t n)
    {
        request::observation it;
        it.pool = pool;
        it.server = server(n);
        it.what = request::observation::kind::failure;
        it.path = request::path_result::not_connected;
        tested.observe(now, it);
    }
    void lose_path()
    {
        for (std::size_t n = 1; n <= 4; ++n) {
            ASSERT_FALSE(tested.is_lost(pool));
            refuse(n);
        }
        ASSERT_TRUE(tested.is_lost(pool));
    }
    void report(std::size_t n, bool reaches)
    {
        control::reach_report it;
        it.pool = pool;
        it.reaches = reaches;
        tested.receive(now, {entry_at(n).id, entry_at(n).internal}, it);
    }
    std::vector<request::entry_view> targets() const
    {
        request::pool_update it;
        it.pool = pool;
        tested.apply(it);
        return it.entries;
    }
    std::vector<control::reach_report> reports()
    {
        std::vector<control::reach_report> out;
        for (const auto& it : tested.take_messages()) {
            if (const auto* each = std::get_if<control::reach_report>(&it.message)) {
                out.push_back(*each);
            }
        }
        return out;
    }

    telemetry::metrics metrics;
    server_reach tested{entry_at(0), core::random_source(1), metrics};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against requests that are forwarded to an entry that reaches no server either,
// and against a fault of the servers that is taken for one of the path.
TEST_F(server_reach_test, forwards_only_to_entries_that_reach_the_servers)
{
    lose_path();
    report(1, false);
    EXPECT_TRUE(targets().empty());
    report(2, true);
    ASSERT_EQ(targets().size(), 1U);
    EXPECT_EQ(targets()[0].id, entry_at(2).id);
    report(2, false);
    EXPECT_TRUE(targets().empty());
}

// Guards against requests that are forwarded to an entry that is gone.
TEST_F(server_reach_test, forgets_an_entry_that_is_silent)
{
    lose_path();
    report(2, true);
    now += absl::Seconds(2);
    tested.tick(now);
    EXPECT_TRUE(targets().empty());
}

// Guards against a search whose cost grows with the fleet, and against more probes than
// the three a second of a pool that servers accept.
TEST_F(server_reach_test, search_and_probes_are_bounded)
{
    lose_path();
    std::size_t messages = 0;
    std::size_t probes = 0;
    constexpr int seconds = 10;
    for (int n = 0; n < seconds * 50; ++n) {
        tested.tick(now);
        messages += tested.take_messages().size();
        probes += tested.take_probes().size();
        now += absl::Milliseconds(20);
    }
    EXPECT_LE(messages, 60U * seconds);
    EXPECT_GE(probes, 2U * seconds);
    EXPECT_LE(probes, 3U * seconds);
}

// Guards against an entry that names itself as reaching servers without having tried.
TEST_F(server_reach_test, answers_a_query_when_it_has_reached_the_server)
{
    const net::peer asking{entry_at(5).id, entry_at(5).internal};
    tested.receive(now, asking, control::reach_query{pool, {server(1)}});
    EXPECT_TRUE(reports().empty());
    const auto probes = tested.take_probes();
    ASSERT_EQ(probes.size(), 1U);
    tested.observe_probe(now, now, pool, probes[0].server, true);
    const auto first = reports();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(first[0].reaches);
    // A recent contact needs no probe.
    tested.receive(now, asking, control::reach_query{pool, {server(1)}});
    EXPECT_EQ(reports().size(), 1U);
    EXPECT_TRUE(tested.take_probes().empty());
}

// Guards against two entries without paths that forward to each other, and against
// requests that are forwarded to an entry that is stopping.
TEST_F(server_reach_test, entry_without_path_or_stopping_accepts_no_requests)
{
    const net::peer asking{entry_at(5).id, entry_at(5).internal};
    tested.set_load(0, false);
    tested.receive(now, asking, control::reach_query{pool, {server(1)}});
    const auto stopping = reports();
    ASSERT_EQ(stopping.size(), 1U);
    EXPECT_FALSE(stopping[0].reaches);
    tested.set_load(0, true);
    lose_path();
    tested.receive(now, asking, control::reach_query{pool, {server(1)}});
    const auto lost = reports();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_FALSE(lost[0].reaches);
}

} // namespace
} // namespace cuminpitch::entry
