#include "entry/shared_pool_priv.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace cuminpitch::entry {
namespace {

const core::pool_id pool_p{core::team_id("t"), "p"};

class shared_pool_test : public testing::Test
{
protected:
    shared_pool_test()
    {
        auto declared = std::make_shared<config::declarations>();
        declared->pools[pool_p].id = pool_p;
        declared->pools[pool_p].every_entry = true;
        view.declarations = declared;
    }

    static control::server_record make_server(
        const std::string& id,
        const std::string& domain,
        std::uint64_t incarnation = 1,
        upstream::availability state = upstream::availability::active)
    {
        control::server_record it;
        it.pool = pool_p;
        it.announcement.server = core::server_id(id);
        it.announcement.incarnation = incarnation;
        it.announcement.state = state;
        it.announcement.address = {"10.0.0.1", 80};
        it.announcement.failure_domain = core::failure_domain_id(domain);
        it.announcement.slots = 4;
        return it;
    }
    bool list_servers(std::vector<control::server_record> servers)
    {
        auto all = std::make_shared<control::pool_servers>();
        (*all)[pool_p] = std::move(servers);
        view.servers = all;
        return pool.set_view(now, view);
    }
    request::observation make_failure(const std::string& id) const
    {
        request::observation it;
        it.pool = pool_p;
        it.server = core::server_id(id);
        it.what = request::observation::kind::failure;
        return it;
    }
    std::vector<request::server_view> servers() const { return pool.update(now).servers; }

    control::fleet_view view;
    shared_pool pool{pool_p, core::failure_domain_id("a")};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against new requests to servers that are leaving.
TEST_F(shared_pool_test, lists_only_active_servers)
{
    list_servers(
        {make_server("s1", "a"),
         make_server("s2", "b"),
         make_server("s3", "a", 1, upstream::availability::leaving)});
    ASSERT_EQ(servers().size(), 2U);
    EXPECT_FALSE(servers()[0].in_other_domain);
    EXPECT_TRUE(servers()[1].in_other_domain);
    EXPECT_FALSE(pool.set_view(now, view)) << "nothing has changed";
}

// Guards against servers that idle because of failures in the past while the few without
// a failure reject requests.
TEST_F(shared_pool_test, suspicion_leaves_the_declared_minimum_while_servers_reject)
{
    constexpr std::size_t count = 20;
    constexpr std::size_t failed = 15;
    constexpr std::size_t max_suspected = 6; // 30% of 20, as 70% must stay healthy.
    std::vector<control::server_record> all;
    for (std::size_t n = 0; n < count; ++n) {
        all.push_back(make_server(absl::StrCat("s", 100 + n), "a"));
    }
    list_servers(all);
    for (std::size_t n = 0; n < failed; ++n) {
        pool.observe(now, make_failure(absl::StrCat("s", 100 + n)));
        now += absl::Milliseconds(100);
    }
    const auto for_probes = [](const request::server_view& it) {
        return it.probing_suspicion.value_or(it.suspicion);
    };
    const auto count_suspected = [&] {
        const auto listed = servers();
        return static_cast<std::size_t>(
            std::count_if(listed.begin(), listed.end(), [&](const auto& it) {
                return for_probes(it) >= 0.5;
            }));
    };
    EXPECT_EQ(count_suspected(), failed) << "no server rejects requests";
    auto rejected = make_failure("s119");
    rejected.what = request::observation::kind::shed;
    for (int n = 0; n < 5; ++n) {
        pool.observe(now, rejected);
    }
    EXPECT_LE(count_suspected(), max_suspected);
    EXPECT_GT(for_probes(servers()[failed - 1]), 0) << "the server that failed last";
    EXPECT_EQ(for_probes(servers()[0]), 0) << "the server that failed first";
}

// Guards against attempts that go to an address that another server has taken over.
TEST_F(shared_pool_test, misdirected_server_is_removed_until_it_restarts)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    auto observed = make_failure("s1");
    observed.is_misdirected = true;
    pool.observe(now, observed);
    ASSERT_EQ(servers().size(), 1U);
    EXPECT_EQ(servers()[0].id.str(), "s2");
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    EXPECT_EQ(servers().size(), 1U);
    list_servers({make_server("s1", "a", 2), make_server("s2", "a")});
    EXPECT_EQ(servers().size(), 2U);
}

// Guards against each entry losing a request of its own to the same partially failing
// server.
TEST_F(shared_pool_test, shares_failures_with_other_entries)
{
    list_servers({make_server("s1", "a")});
    pool.observe(now, make_failure("s1"));
    const auto evidence = pool.take_evidence(now);
    ASSERT_TRUE(evidence.has_value());
    EXPECT_FALSE(pool.take_evidence(now).has_value());

    shared_pool other{pool_p, core::failure_domain_id("b")};
    other.set_view(now, view);
    other.receive(now, {"10.1.0.1", 1}, *evidence);
    EXPECT_GE(other.update(now).servers[0].suspicion, 1);
    EXPECT_FALSE(other.take_evidence(now).has_value())
        << "received failures are not sent on";
}

// Guards against a server that all entries avoid although one of them has seen it work
// again.
TEST_F(shared_pool_test, shares_successes_of_suspected_servers)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    shared_pool other{pool_p, core::failure_domain_id("a")};
    other.set_view(now, view);
    pool.observe(now, make_failure("s1"));
    other.receive(now, {"10.1.0.1", 1}, *pool.take_evidence(now));
    const double suspected = other.update(now).servers[0].suspicion;
    auto success = make_failure("s2");
    success.what = request::observation::kind::success;
    pool.observe(now, success);
    EXPECT_FALSE(pool.take_evidence(now).has_value()) << "s2 wasn't suspected";
    success.server = core::server_id("s1");
    pool.observe(now, success);
    const auto evidence = pool.take_evidence(now);
    ASSERT_TRUE(evidence.has_value());
    EXPECT_TRUE(evidence->failures.empty());
    other.receive(now, {"10.1.0.1", 1}, *evidence);
    EXPECT_LT(other.update(now).servers[0].suspicion, suspected);
}

// Guards against full servers that all entries avoid because they answer late.
TEST_F(shared_pool_test, late_response_withdraws_the_report_that_it_was_overdue)
{
    list_servers({make_server("s1", "a")});
    shared_pool other{pool_p, core::failure_domain_id("a")};
    other.set_view(now, view);
    auto overdue = make_failure("s1");
    overdue.what = request::observation::kind::overdue;
    pool.observe(now, overdue);
    other.receive(now, {"10.1.0.1", 1}, *pool.take_evidence(now));
    EXPECT_GE(other.update(now).servers[0].suspicion, 1);
    auto success = make_failure("s1");
    success.what = request::observation::kind::success;
    success.was_overdue = true;
    pool.observe(now, success);
    other.receive(now, {"10.1.0.1", 1}, *pool.take_evidence(now));
    EXPECT_LT(other.update(now).servers[0].suspicion, 0.5);
}

// Guards against a report that is sent only after the response has arrived.
TEST_F(shared_pool_test, late_response_drops_an_unconfirmed_report)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    auto seen = make_failure("s1");
    seen.what = request::observation::kind::overdue;
    seen.path = request::path_result::broken;
    pool.observe(now, seen);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
    seen.what = request::observation::kind::success;
    seen.path = request::path_result::answered;
    seen.was_overdue = true;
    now += absl::Milliseconds(10);
    pool.observe(now, seen);
    EXPECT_LT(servers()[0].suspicion, 0.5);
    seen.was_overdue = false;
    seen.server = core::server_id("s2");
    now += absl::Milliseconds(10);
    pool.observe(now, seen);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
}

// Guards against servers that only entries without callers prefer.
TEST_F(shared_pool_test, active_entries_divide_the_servers_among_themselves)
{
    constexpr std::size_t entries = 40;
    constexpr std::size_t active_entries = 10;
    constexpr std::size_t servers = 100;
    std::vector<control::server_record> all;
    all.reserve(servers);
    for (std::size_t n = 0; n < servers; ++n) {
        all.push_back(make_server(absl::StrCat("s", 100 + n), "a"));
    }
    absl::btree_set<core::instance_id> active;
    for (std::size_t n = 0; n < entries; ++n) {
        const core::instance_id id(absl::StrCat("e", 100 + n));
        view.entries[id] = {
            id, {"10.0.0.2", 80}, {"10.0.0.2", 7000}, core::failure_domain_id("a")};
        if (n < active_entries) {
            active.insert(id);
        }
    }
    list_servers(all);
    std::map<core::server_id, std::size_t> preferring;
    for (const auto& id : active) {
        shared_pool entry{pool_p, core::failure_domain_id("a"), id};
        entry.set_view(now, view);
        auto others = active;
        others.erase(id);
        EXPECT_TRUE(entry.set_active(others));
        for (const auto& it : entry.update(now).servers) {
            preferring[it.id] += it.is_preferred ? 1 : 0;
        }
    }
    for (const auto& [server, count] : preferring) {
        EXPECT_GE(count, 3U) << server.str();
        EXPECT_LE(count, 5U) << server.str();
    }
}

// Guards against one entry's broken network path making a server suspected at all
// entries.
TEST_F(shared_pool_test, does_not_share_path_failures)
{
    list_servers({make_server("s1", "a")});
    auto observed = make_failure("s1");
    observed.may_be_path_failure = true;
    pool.observe(now, observed);
    EXPECT_GE(servers()[0].suspicion, 1);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
}

// Guards against an entry without links that makes all others avoid sound servers.
TEST_F(shared_pool_test, reports_a_broken_connection_after_a_contact_with_another_server)
{
    list_servers(
        {make_server("s1", "a"), make_server("s2", "a"), make_server("s3", "a")});
    auto reset = make_failure("s1");
    reset.path = request::path_result::broken;
    pool.observe(now, reset);
    reset.server = core::server_id("s2");
    pool.observe(now, reset);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
    now += absl::Milliseconds(10);
    auto success = make_failure("s3");
    success.what = request::observation::kind::success;
    success.path = request::path_result::answered;
    pool.observe(now, success);
    const auto evidence = pool.take_evidence(now);
    ASSERT_TRUE(evidence.has_value());
    EXPECT_EQ(evidence->failures.size(), 2U);
}

// Guards against responses on open connections that confirm refused new connections.
TEST_F(shared_pool_test, reports_a_refused_connection_after_another_one_was_made)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    auto refused = make_failure("s1");
    refused.path = request::path_result::not_connected;
    pool.observe(now, refused);
    now += absl::Milliseconds(10);
    auto success = make_failure("s2");
    success.what = request::observation::kind::success;
    success.path = request::path_result::answered;
    pool.observe(now, success);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
    success.is_new_connection = true;
    success.duration = absl::Milliseconds(5);
    pool.observe(now, success);
    EXPECT_TRUE(pool.take_evidence(now).has_value());
}

// Guards against failures of a lost path that count against servers after it is back.
TEST_F(shared_pool_test, withdraws_failures_of_a_lost_path)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    auto refused = make_failure("s1");
    refused.path = request::path_result::not_connected;
    pool.observe(now, refused);
    EXPECT_GE(servers()[0].suspicion, 1);
    EXPECT_EQ(pool.withdraw_unconfirmed(), 1U);
    EXPECT_EQ(servers()[0].suspicion, 0);
    EXPECT_FALSE(pool.take_evidence(now).has_value());
}

// Guards against two entries that overload a server because each counts only its own
// requests.
TEST_F(shared_pool_test, counts_requests_of_other_entries)
{
    list_servers({make_server("s1", "a"), make_server("s2", "a")});
    control::pool_evidence report;
    report.pool = pool_p;
    report.in_flight = {{core::server_id("s1"), 3}};
    pool.receive(now, {"10.1.0.1", 1}, report);
    pool.receive(now, {"10.1.0.2", 1}, report);
    EXPECT_EQ(servers()[0].remote_in_flight, 6U);
    EXPECT_EQ(servers()[1].remote_in_flight, 0U);
    report.in_flight.emplace();
    pool.receive(now, {"10.1.0.1", 1}, report);
    EXPECT_EQ(servers()[0].remote_in_flight, 3U);
    now += absl::Seconds(2);
    EXPECT_EQ(servers()[0].remote_in_flight, 0U)
        << "reports of an entry that may be gone expire";
}

// Guards against a cold server that receives as many requests as the others.
TEST_F(shared_pool_test, cold_server_has_a_penalty_until_warm)
{
    auto cold = make_server("s1", "a");
    cold.announcement.cold_start = absl::Seconds(3);
    list_servers({cold});
    EXPECT_GT(servers()[0].penalty, 0);
    EXPECT_TRUE(pool.has_decaying_penalties(now));
    now += absl::Seconds(3);
    EXPECT_EQ(servers()[0].penalty, 0);
    EXPECT_FALSE(pool.has_decaying_penalties(now));
}

// Guards against occupancy reports that use too much CPU time of an entry (a third of it
// with 14 peers), and against reports that expire before the next one arrives.
TEST(occupancy, is_reported_less_often_to_many_peers)
{
    EXPECT_EQ(occupancy_interval(0), absl::Milliseconds(100));
    EXPECT_EQ(occupancy_interval(4), absl::Milliseconds(100));
    for (std::size_t peers = 4; peers < 200; ++peers) {
        const auto interval = occupancy_interval(peers);
        EXPECT_LT(interval, occupancy_timeout);
        if (peers <= 30) {
            EXPECT_LE(static_cast<double>(peers) / absl::ToDoubleSeconds(interval), 40.1);
        }
    }
}

} // namespace
} // namespace cuminpitch::entry
