#include "health/simulated_pool.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::health {
namespace {

bool ejected_everywhere(const simulated_pool& it, std::size_t server)
{
    for (std::size_t i = 0; i < it.entries.size(); ++i) {
        const auto state = it.view(i, it.servers[server].state.server);
        if (!state || !state->ejected) {
            return false;
        }
    }
    return true;
}

// Guards against an unhealthy server that keeps getting requests, and against one that is
// never readmitted.
TEST(pool_health, ejects_an_unhealthy_server_everywhere_and_readmits_it)
{
    simulated_pool it(3, 10, 1);
    it.start_all();
    it.run(absl::Seconds(10));
    EXPECT_EQ(it.coordinators(), 1);
    it.servers[4].failure_rate = 0.5;
    it.run(absl::Seconds(6));
    EXPECT_TRUE(ejected_everywhere(it, 4));
    EXPECT_EQ(it.ejected_anywhere().size(), 1);
    it.servers[4].failure_rate = 0;
    it.run(absl::Seconds(20));
    EXPECT_TRUE(it.ejected_anywhere().empty());
    EXPECT_EQ(it.count("ejected"), 1);
    EXPECT_EQ(it.count("readmitted"), 1);
}

// Guards against readmission of a server that still fails its trial requests, and against
// a hold time that doesn't grow.
TEST(pool_health, failed_probation_doubles_the_hold)
{
    simulated_pool it(3, 10, 2);
    it.start_all();
    it.run(absl::Seconds(10));
    it.servers[4].failure_rate = 1;
    it.run(absl::Seconds(75));
    EXPECT_TRUE(ejected_everywhere(it, 4));
    EXPECT_EQ(it.count("readmitted"), 0);
    EXPECT_GE(it.count("probation failed"), 2);
    EXPECT_LE(it.count("probation failed"), 3);
}

// Guards against ejections below the declared minimum when many servers are unhealthy.
TEST(pool_health, keeps_the_declared_minimum)
{
    simulated_pool it(3, 10, 3);
    it.start_all();
    it.run(absl::Seconds(10));
    for (const std::size_t unhealthy : {0, 1, 2, 3}) {
        it.servers[unhealthy].failure_rate = 0.9;
    }
    it.run(absl::Seconds(8));
    EXPECT_EQ(it.ejected_anywhere().size(), 3);
    EXPECT_GE(it.count("not ejected, no room above the minimum"), 1);
    it.settings.min_healthy_servers = 9;
    for (auto& entry : it.entries) {
        entry.health->set_settings(it.settings);
    }
    it.run(absl::Seconds(3));
    EXPECT_EQ(it.ejected_anywhere().size(), 1);
    EXPECT_EQ(it.count("readmitted for capacity"), 2);
}

// Guards against an ejection without a majority of the assigned entries.
TEST(pool_health, minority_suspects_but_does_not_eject)
{
    simulated_pool it(3, 10, 4);
    it.start_all();
    it.run(absl::Seconds(10));
    it.entries[1].health.reset();
    it.entries[2].health.reset();
    it.run(absl::Seconds(3));
    it.servers[4].failure_rate = 0.9;
    it.run(absl::Seconds(20));
    EXPECT_TRUE(it.ejected_anywhere().empty());
    EXPECT_TRUE(it.view(0, it.servers[4].state.server)->suspected);
    EXPECT_FALSE(it.view(0, it.servers[5].state.server)->suspected);
}

// Guards against ejections that end with the coordinator: its successor takes them over.
TEST(pool_health, another_entry_takes_over)
{
    simulated_pool it(3, 10, 5);
    it.start_all();
    it.run(absl::Seconds(10));
    it.servers[4].failure_rate = 0.9;
    it.run(absl::Seconds(5));
    ASSERT_TRUE(it.entries[0].health->is_coordinator(it.clock(it.entries[0])));
    it.entries[0].health.reset();
    it.run(absl::Seconds(6));
    EXPECT_EQ(it.coordinators(), 1);
    EXPECT_TRUE(it.view(1, it.servers[4].state.server)->ejected);
    EXPECT_TRUE(it.view(2, it.servers[4].state.server)->ejected);
}

// Guards against a resumed process that still acts on an expired lease or ejection set.
TEST(pool_health, frozen_entry_drops_expired_decisions_first)
{
    simulated_pool it(3, 10, 6);
    it.start_all();
    it.run(absl::Seconds(10));
    it.servers[4].failure_rate = 0.9;
    it.run(absl::Seconds(5));
    for (const std::size_t frozen : {0, 1}) {
        auto& entry = it.entries[frozen];
        entry.frozen = true;
        it.now += absl::Seconds(4);
        entry.frozen = false;
        EXPECT_FALSE(entry.health->is_coordinator(it.clock(entry)));
        EXPECT_FALSE(entry.health->coordinator(it.clock(entry)).has_value());
        const auto state = it.view(frozen, it.servers[4].state.server);
        EXPECT_TRUE(!state || !state->ejected);
        it.run(absl::Seconds(10));
    }
}

// Guards against a restarted granter that breaks a promise of its former process.
TEST(pool_health, restarted_entries_grant_nothing_for_a_lease_time)
{
    simulated_pool it(3, 4, 7);
    it.start_all();
    for (int n = 0; n < 80; ++n) {
        it.advance(absl::Milliseconds(25));
        EXPECT_EQ(it.coordinators(), 0);
    }
    it.run(absl::Seconds(2));
    EXPECT_EQ(it.coordinators(), 1);
}

// Guards against a lease granted on a list older than one that an earlier process of the
// entry reported, by which two entries could hold the lease at once.
TEST(pool_health, entries_without_a_confirmed_list_grant_nothing)
{
    simulated_pool it(3, 4, 7);
    it.start_all();
    for (const std::size_t i : {0, 1}) {
        it.entries[i].health->set_list_confirmed(false);
    }
    it.run(absl::Seconds(10));
    EXPECT_EQ(it.coordinators(), 0);
    it.entries[0].health->set_list_confirmed(true);
    it.run(absl::Seconds(5));
    EXPECT_EQ(it.coordinators(), 1);
}

// Guards against ejections when the whole pool fails or is slow.
TEST(pool_health, ejects_no_server_when_the_whole_pool_is_unhealthy)
{
    simulated_pool it(3, 10, 8);
    it.start_all();
    it.run(absl::Seconds(10));
    for (auto& server : it.servers) {
        server.failure_rate = 0.4;
    }
    it.run(absl::Seconds(20));
    for (auto& server : it.servers) {
        server.failure_rate = 0;
        server.slow = 0.9;
    }
    it.run(absl::Seconds(20));
    EXPECT_EQ(it.count("ejected"), 0);
}

// Guards against evidence that is lost or counted twice when heartbeats are lost, late or
// duplicated.
TEST(evidence_stream, counts_once_despite_loss_duplication_and_reordering)
{
    std::mt19937_64 random(9);
    evidence_sender sender(7);
    evidence_receiver receiver;
    std::uint64_t sum = 0;
    std::vector<pool_heartbeat> late;
    const auto receive_counts = [&](const pool_heartbeat& it) {
        for (const auto& cell : receiver.receive_counts(it)) {
            sum += cell.counts.requests;
        }
    };
    for (int n = 0; n < 1000; ++n) {
        sender.add(core::server_id(std::to_string(random() % 9)), route, {1, 0, 0});
        pool_heartbeat it;
        sender.fill(it, 4);
        switch (random() % 4) {
        case 0:
            break;
        case 1:
            late.push_back(it);
            break;
        case 2:
            receive_counts(it);
            [[fallthrough]];
        default:
            receive_counts(it);
            sender.acknowledge(receiver.stream(), receiver.sequence());
        }
        if (late.size() > 5) {
            receive_counts(late[random() % late.size()]);
        }
    }
    for (int n = 0; n < 10; ++n) {
        pool_heartbeat it;
        sender.fill(it, 4);
        receive_counts(it);
        sender.acknowledge(receiver.stream(), receiver.sequence());
    }
    EXPECT_EQ(sum, 1000);
}

// Guards against a server that is readmitted by a probe alone, without successful
// requests.
TEST(pool_health, probe_only_permits_probation)
{
    simulated_pool it(3, 10, 10);
    it.options.coordinator.probes = true;
    it.start_all();
    it.run(absl::Seconds(10));
    it.servers[4].failure_rate = 1;
    it.run(absl::Seconds(16));
    ASSERT_FALSE(it.probes.empty());
    EXPECT_EQ(it.count("probation started"), 0);
    auto& entry = it.entries[0];
    entry.health->probe_finished(it.clock(entry), it.servers[4].state.server, false);
    it.run(absl::Seconds(5));
    EXPECT_EQ(it.count("probation started"), 0);
    it.run(absl::Seconds(6));
    entry.health->probe_finished(it.clock(entry), it.servers[4].state.server, true);
    it.run(absl::Seconds(3));
    EXPECT_EQ(it.count("probation started"), 1);
    EXPECT_EQ(it.count("readmitted"), 0);
    EXPECT_TRUE(ejected_everywhere(it, 4));
}

/// Whether the server gets new requests from the entry.
bool gets_requests(const simulated_pool& it, std::size_t entry, std::size_t server)
{
    const auto state = it.view(entry, it.servers[server].state.server);
    return state && state->fresh && !state->ejected;
}

// Guards against new requests to a leaving server after the departure time, whichever
// one-way partitions, lost and late messages keep its announcement from the entries.
TEST(pool_health, leaving_server_gets_no_requests_after_the_departure_time)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_pool it(3, 6, seed);
        it.loss = 0.2;
        it.late = 0.2;
        it.start_all();
        it.run(absl::Seconds(10));
        // Each seed blocks the server's announcements to a different set of entries. Some
        // entries receive them only by relay.
        for (std::size_t entry = 0; entry < 3; ++entry) {
            if ((seed >> entry) & 1U) {
                it.blocked_paths.insert({it.node_of_server(2), entry});
            }
            if (seed % 5 == entry) {
                it.blocked_paths.insert({entry, (entry + 1) % 3});
            }
        }
        it.run(absl::Seconds(5));
        it.servers[2].state.state = seed % 2 == 0 ? upstream::availability::leaving
                                                  : upstream::availability::gone;
        const auto left = it.now;
        while (it.now < left + absl::Seconds(8)) {
            it.advance(absl::Milliseconds(25));
            // The slowest clock of an entry runs at a rate of 0.996.
            if (it.now - left > it.settings.departure / 0.99) {
                for (std::size_t entry = 0; entry < 3; ++entry) {
                    ASSERT_FALSE(gets_requests(it, entry, 2)) << "seed " << seed;
                }
            }
        }
    }
}

// Guards against a pool that loses its servers because one direction of the network is
// blocked.
TEST(pool_health, relays_keep_servers_fresh_despite_blocked_directions)
{
    simulated_pool it(3, 6, 11);
    it.start_all();
    it.run(absl::Seconds(10));
    for (std::size_t server = 0; server < 6; ++server) {
        it.blocked_paths.insert({it.node_of_server(server), 1});
        it.blocked_paths.insert({0, it.node_of_server(server)});
    }
    it.run(absl::Seconds(10));
    for (std::size_t server = 0; server < 6; ++server) {
        EXPECT_TRUE(gets_requests(it, 1, server));
        EXPECT_TRUE(gets_requests(it, 2, server));
    }
}

// Guards against an ejection set that is applied too late: its time counts from the clock
// reading that the heartbeat echoes.
TEST(pool_health, late_ejection_set_is_not_applied)
{
    config::pool_settings settings;
    settings.id = pool;
    const auto start = absl::UnixEpoch() + absl::Hours(1);
    pool_health it(core::instance_id("e0"), 1, start, settings, {}, 1);
    it.set_assignment(
        start, {core::revision(1), {core::instance_id("e0"), core::instance_id("e1")}});
    upstream::announcement server;
    server.slots = 4;
    for (const char* name : {"s0", "s1", "s2", "s3"}) {
        server.server = core::server_id(name);
        it.announce(start + absl::Seconds(3), server, start + absl::Seconds(3));
    }
    pool_heartbeat message;
    message.pool = pool;
    message.incarnation = 1;
    message.clock = start;
    message.echo = start + absl::Seconds(2);
    message.echo_incarnation = 1;
    message.ejections = {absl::Seconds(1.5), {core::server_id("s1")}, {}, {}, {}};
    it.receive(start + absl::Seconds(3.6), core::instance_id("e1"), message);
    EXPECT_FALSE(it.coordinator(start + absl::Seconds(3.6)).has_value());
    EXPECT_FALSE(it.servers(start + absl::Seconds(3.6)).at(1).ejected);
    // Nor is a set applied that echoes a reading of another process of this instance.
    message.echo = start + absl::Seconds(3.5);
    message.echo_incarnation = 2;
    it.receive(start + absl::Seconds(3.6), core::instance_id("e1"), message);
    EXPECT_FALSE(it.servers(start + absl::Seconds(3.6)).at(1).ejected);
    message.echo_incarnation = 1;
    it.receive(start + absl::Seconds(3.6), core::instance_id("e1"), message);
    EXPECT_TRUE(it.servers(start + absl::Seconds(4.9)).at(1).ejected);
    EXPECT_FALSE(it.servers(start + absl::Seconds(5.1)).at(1).ejected);
}

// Guards against an entry that no other entry hears any more.
TEST(pool_health, entry_that_starts_after_its_clock_was_set_back_is_heard)
{
    config::pool_settings settings;
    settings.id = pool;
    const auto start = absl::UnixEpoch() + absl::Hours(1);
    pool_health it(core::instance_id("e0"), 1, start, settings, {}, 1);
    pool_heartbeat message;
    message.pool = pool;
    message.incarnation = 2;
    message.clock = start;
    it.receive(start, core::instance_id("e1"), message);
    message.incarnation = 1;
    it.receive(start + absl::Seconds(1), core::instance_id("e1"), message);
    EXPECT_EQ(it.counts().heartbeats_received, 1U);
    it.receive(start + absl::Seconds(4), core::instance_id("e1"), message);
    EXPECT_EQ(it.counts().heartbeats_received, 2U);
}

// Guards against failing probes that eject a server without other evidence, and against a
// faulty probe endpoint that keeps a recovered server ejected for ever.
TEST(pool_health, failing_probes_neither_eject_nor_prevent_readmission)
{
    simulated_pool it(3, 10, 12);
    it.options.coordinator.probes = true;
    it.options.coordinator.max_hold = absl::Seconds(40);
    it.start_all();
    it.run(absl::Seconds(10));
    const auto fail_all_probes = [&](absl::Duration length) {
        for (const auto end = it.now + length; it.now < end;) {
            it.advance(absl::Milliseconds(25));
            auto& at = it.entries[0];
            at.health->probe_finished(it.clock(at), it.servers[7].state.server, false);
            for (const auto& probe : std::exchange(it.probes, {})) {
                at.health->probe_finished(it.clock(at), probe.server, false);
            }
        }
    };
    fail_all_probes(absl::Seconds(5));
    EXPECT_TRUE(it.ejected_anywhere().empty());
    it.servers[4].failure_rate = 1;
    it.run(absl::Seconds(3));
    ASSERT_TRUE(ejected_everywhere(it, 4));
    it.servers[4].failure_rate = 0;
    fail_all_probes(absl::Seconds(70));
    EXPECT_TRUE(it.ejected_anywhere().empty());
}

} // namespace
} // namespace cuminpitch::health
