#include "group_simulation.hpp"

#include "cuminpitch/wire/control_codec.hpp"

namespace cuminpitch::control {
namespace {

using upstream::availability;

template <class Result, class Call>
const Result* result_of(
    std::optional<api_answer>& answer, group_simulation& world, std::size_t i, Call it)
{
    answer = world.ask(i, it);
    return answer ? std::get_if<Result>(&*answer) : nullptr;
}

/// Returns the number of the newest document as read from the leader, 0 if there is none.
std::uint64_t newest_document_number(group_simulation& world)
{
    const auto at = world.leader();
    if (!at) {
        return 0;
    }
    std::optional<api_answer> answer;
    const auto* it = result_of<call_result::newest_document>(
        answer, world, *at, call::read_document{});
    return it == nullptr ? 0 : it->document.number;
}

// Guards against seeds that form no group, and instances that don't become voters.
TEST(group, seeds_form_a_group_and_add_the_other_instances)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    for (std::size_t i = 0; i < 5; ++i) {
        EXPECT_EQ(world.voters(i), 5U) << i;
    }
    EXPECT_TRUE(world.ask_any(group_simulation::declare(3)));
    EXPECT_EQ(newest_document_number(world), 3U);
}

// Guards against losing an acknowledged document when one instance loses its disk and the
// others lose power right afterwards.
TEST(group, acknowledged_document_survives_a_lost_disk)
{
    for (std::size_t lost = 0; lost < 5; ++lost) {
        group_simulation world(5, 3);
        world.run_for(absl::Seconds(5));
        ASSERT_TRUE(world.ask_any(group_simulation::declare(3)));
        for (std::size_t i = 0; i < 5; ++i) {
            world.lose_power(i);
        }
        world.wipe(lost);
        for (std::size_t i = 0; i < 5; ++i) {
            world.start(i);
        }
        world.run_for(absl::Seconds(4));
        EXPECT_EQ(newest_document_number(world), 3U) << lost;
        EXPECT_EQ(world.voters(lost), 5U) << lost;
        EXPECT_TRUE(world.ask_any(group_simulation::declare(4))) << lost;
    }
}

// Guards against a seed that restarts with an empty disk and forms a new group while it
// has no contact with the others.
TEST(group, emptied_seed_alone_answers_nothing)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    ASSERT_TRUE(world.ask_any(group_simulation::declare(3)));
    world.stop(0);
    world.wipe(0);
    for (std::size_t i = 1; i < 5; ++i) {
        world.cut_link(0, i);
    }
    world.start(0);
    world.run_for(absl::Seconds(10));
    std::optional<api_answer> answer;
    EXPECT_NE(
        result_of<call_result::unavailable>(
            answer, world, 0, group_simulation::declare(9)),
        nullptr);
    EXPECT_NE(
        result_of<call_result::unavailable>(answer, world, 0, call::read_document{}),
        nullptr);
    world.heal();
    world.run_for(absl::Seconds(4));
    EXPECT_EQ(newest_document_number(world), 3U);
    EXPECT_EQ(world.voters(0), 5U);
}

// Guards against a leader without a majority that returns an old document, or accepts a
// new one that is then lost.
TEST(group, isolated_leader_is_unavailable)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    ASSERT_TRUE(world.ask_any(group_simulation::declare(3)));
    const auto old = world.leader();
    ASSERT_TRUE(old.has_value());
    for (std::size_t i = 0; i < 5; ++i) {
        if (i != *old) {
            world.cut_link(*old, i);
        }
    }
    std::optional<api_answer> answer;
    EXPECT_EQ(
        result_of<call_result::newest_document>(
            answer, world, *old, call::read_document{}),
        nullptr);
    EXPECT_EQ(
        result_of<call_result::accepted>(
            answer, world, *old, group_simulation::declare(9)),
        nullptr);
    world.run_for(absl::Seconds(3));
    ASSERT_TRUE(world.ask_any(group_simulation::declare(4)));
    EXPECT_EQ(
        result_of<call_result::newest_document>(
            answer, world, *old, call::read_document{}),
        nullptr);
    world.heal();
    world.run_for(absl::Seconds(2));
    EXPECT_EQ(newest_document_number(world), 4U);
}

// Guards against a new leader that answers a read before it knows what its predecessor
// has committed: a majority hears it, but the other voter of it lags and refuses its
// entries.
TEST(group, new_leader_reads_nothing_before_it_has_committed)
{
    group_simulation world(3, 3);
    world.run_for(absl::Seconds(3));
    ASSERT_TRUE(world.ask_any(group_simulation::declare(2)));
    world.run_for(absl::Seconds(1));
    const auto old = world.leader();
    ASSERT_TRUE(old.has_value());
    const std::size_t next = (*old + 1) % 3;
    world.cut_link(*old, (*old + 2) % 3);
    const auto answer = world.ask(*old, group_simulation::declare(3));
    ASSERT_TRUE(answer && std::holds_alternative<call_result::accepted>(*answer));
    world.stop(*old);
    world.heal();
    const int elections = world.at(next).elections;
    for (int n = 0; n < 1000 && world.at(next).elections == elections; ++n) {
        world.run_for(absl::Milliseconds(5));
    }
    ASSERT_GT(world.at(next).elections, elections);
    const auto read = world.ask(next, call::read_document{});
    ASSERT_TRUE(read.has_value());
    if (const auto* it = std::get_if<call_result::newest_document>(&*read)) {
        EXPECT_EQ(it->document.number, 3U);
    }
    EXPECT_EQ(world.read_as_operator(absl::Seconds(1)), 3U);
}

// Guards against a follower that calls its state current because it hears a leader that
// has lost the majority.
TEST(group, state_of_a_follower_is_as_old_as_its_leaders_majority)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    const auto leader = world.leader();
    ASSERT_TRUE(leader.has_value());
    const std::size_t follower = (*leader + 1) % 5;
    for (std::size_t i = 0; i < 5; ++i) {
        if (i != *leader && i != follower) {
            world.cut_link(*leader, i);
            world.cut_link(follower, i);
        }
    }
    constexpr absl::Duration cut_off = absl::Milliseconds(450);
    world.run_for(cut_off);
    sync_request it;
    it.entry = make_entry("e1", "d1");
    it.entry.internal = {"10.8.0.1", 7000};
    const auto response = world.report(follower, it, absl::Milliseconds(10));
    ASSERT_TRUE(response.has_value());
    EXPECT_GE(response->age, cut_off - absl::Milliseconds(10));
}

// Guards against a group that tolerates fewer failures after each replaced machine.
TEST(group, permanently_lost_voter_is_replaced)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    for (int round = 0; round < 3; ++round) {
        world.stop(static_cast<std::size_t>(round));
        world.add();
        world.run_for(absl::Seconds(20));
    }
    for (const std::size_t i : {3U, 4U, 5U, 6U, 7U}) {
        EXPECT_EQ(world.voters(i), 5U) << i;
    }
    EXPECT_TRUE(world.ask_any(group_simulation::declare(3)));
}

// Guards against replaced voters that still count towards the majority when the next disk
// is lost and all lose power: no majority was left for good. Each replacement also takes
// the leader away.
TEST(group, configuration_survives_a_lost_disk_after_several_replacements)
{
    constexpr absl::Duration catch_up = absl::Seconds(4);
    for (std::size_t lost = 0; lost < 5; ++lost) {
        group_simulation world(5, 3);
        world.run_for(absl::Seconds(5));
        for (int round = 0; round < 3; ++round) {
            const auto leader = world.leader();
            ASSERT_TRUE(leader.has_value());
            world.stop(*leader);
            world.run_for(absl::Seconds(1));
            world.add();
            world.run_for(catch_up);
        }
        ASSERT_TRUE(world.ask_any(group_simulation::declare(3)));
        std::vector<std::size_t> running;
        for (std::size_t i = 0; i < world.size(); ++i) {
            if (world.at(i).running) {
                EXPECT_EQ(world.voters(i), 5U) << i;
                running.push_back(i);
            }
        }
        ASSERT_EQ(running.size(), 5U);
        for (const std::size_t i : running) {
            world.lose_power(i);
        }
        world.wipe(running[lost]);
        for (const std::size_t i : running) {
            world.start(i);
        }
        EXPECT_EQ(world.read_as_operator(absl::Seconds(3)), 3U) << lost;
    }
}

// Guards against rejecting a document that is sent again because the first answer was
// lost, and against rejecting an older document instead of acknowledging it.
TEST(group, repeated_and_older_documents_are_accepted_without_effect)
{
    group_simulation world(3, 3);
    world.run_for(absl::Seconds(3));
    const auto at = world.leader();
    ASSERT_TRUE(at.has_value());
    std::optional<api_answer> answer;
    for (const std::uint64_t number : {5U, 5U, 4U}) {
        EXPECT_NE(
            result_of<call_result::accepted>(
                answer, world, *at, group_simulation::declare(number)),
            nullptr);
        EXPECT_EQ(newest_document_number(world), 5U);
    }
    auto other = group_simulation::declare(5);
    other.settings["teams/t/pools/a/entries"] = "77";
    world.ask(*at, other);
    EXPECT_EQ(newest_document_number(world), 5U);
    auto invalid = group_simulation::declare(6);
    invalid.settings["teams/t/pools/a/entries"] = "bad";
    invalid.document.source = "invalid source";
    EXPECT_NE(
        result_of<call_result::invalid_declarations>(answer, world, *at, invalid),
        nullptr);
    EXPECT_NE(
        result_of<call_result::accepted>(
            answer, world, *at, group_simulation::declare(6)),
        nullptr);
}

// Guards against concurrent documents that end with a lower number than the highest.
TEST(group, documents_in_quick_succession_end_with_the_highest)
{
    group_simulation world(3, 3);
    world.run_for(absl::Seconds(3));
    const auto at = world.leader();
    ASSERT_TRUE(at.has_value());
    for (std::uint64_t number = 10; number < 30; ++number) {
        world.send(*at, group_simulation::declare(number));
    }
    world.run_for(absl::Seconds(2));
    EXPECT_EQ(newest_document_number(world), 29U);
}

// Guards against losing an acknowledged departure of a server when the leader fails.
TEST(group, acknowledged_departure_survives_leader_failure)
{
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    ASSERT_TRUE(world.ask_any(group_simulation::declare(1)));
    ASSERT_TRUE(world.ask_any(group_simulation::announce("s", availability::active)));
    ASSERT_TRUE(world.ask_any(group_simulation::announce("s", availability::leaving)));
    const auto old = world.leader();
    ASSERT_TRUE(old.has_value());
    world.stop(*old);
    world.run_for(absl::Seconds(3));
    // A delayed announcement from before the departure is acknowledged and has no effect.
    ASSERT_TRUE(world.ask_any(group_simulation::announce("s", availability::active)));
    call::announce gone;
    gone.server.announcement.server = core::server_id("s");
    gone.server.announcement.state = availability::gone;
    EXPECT_TRUE(world.ask_any(gone));
}

// Guards against followers that accept documents themselves or don't name the leader.
TEST(group, follower_names_the_leader)
{
    group_simulation world(3, 3);
    world.run_for(absl::Seconds(3));
    const auto at = world.leader();
    ASSERT_TRUE(at.has_value());
    const std::size_t other = (*at + 1) % 3;
    std::optional<api_answer> answer;
    const auto* it = result_of<call_result::ask_leader>(
        answer, world, other, group_simulation::declare(3));
    ASSERT_NE(it, nullptr);
    EXPECT_EQ(it->http.host, world.at(*at).internal.host);
    EXPECT_EQ(it->http.port, 2);
}

// Guards against traffic between failure domains without need, and against entries of one
// domain that all use the same control instance.
TEST(group, entries_get_instances_of_their_domain_first)
{
    group_simulation world(6, 3);
    world.run_for(absl::Seconds(5));
    std::set<core::endpoint> first;
    for (int n = 0; n < 12; ++n) {
        sync_request it;
        it.entry = make_entry("e" + std::to_string(n), "d1");
        it.entry.internal = {"10.9.0.1", static_cast<std::uint16_t>(7000 + n)};
        const auto response = world.report(0, it, absl::Milliseconds(100));
        ASSERT_TRUE(response.has_value());
        ASSERT_EQ(response->control.size(), 6U);
        const std::set<core::endpoint> near(
            response->control.begin(), response->control.begin() + 2);
        EXPECT_EQ(near, (std::set{world.at(1).internal, world.at(4).internal}));
        first.insert(response->control.front());
    }
    EXPECT_EQ(first.size(), 2U);
}

// Guards against a control instance that runs out of memory when hundreds of entries
// start at once: it sent the state to each entry with every report, and so did the
// leader.
TEST(group, entries_that_start_together_get_the_state_once)
{
    constexpr int entries = 277;
    constexpr int servers = 60;
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    const auto leader = world.leader();
    ASSERT_TRUE(leader.has_value());
    ASSERT_TRUE(world.ask_any(group_simulation::declare(1)));
    for (int n = 0; n < servers; ++n) {
        ASSERT_TRUE(world.ask_any(group_simulation::announce(
            "server-" + std::to_string(n), upstream::availability::active)));
    }
    const std::size_t other = *leader == 0 ? 1 : 0;
    const auto report_all = [&](std::uint64_t incarnation) {
        for (int n = 0; n < entries; ++n) {
            sync_request it;
            it.entry = make_entry("e" + std::to_string(n), "d1");
            it.entry.internal = {"10.9.0.1", static_cast<std::uint16_t>(7000 + n)};
            it.incarnation = incarnation;
            world.report(other, it, absl::ZeroDuration());
        }
    };
    report_all(1);
    world.run_for(absl::Seconds(4));
    const auto mean_from = [&](std::size_t i) {
        std::size_t out = 0;
        for (const auto& [to, bytes] : world.at(i).bytes_sent) {
            out += bytes;
        }
        world.at(i).bytes_sent.clear();
        return out / entries;
    };
    mean_from(other);
    mean_from(*leader);
    report_all(2);
    world.run_for(absl::Milliseconds(200));
    const auto once = mean_from(other);
    // On slow links the state has not arrived yet, so the entries still report revision
    // 0.
    for (int round = 0; round < 2; ++round) {
        report_all(2);
        world.run_for(absl::Milliseconds(200));
    }
    EXPECT_LT(mean_from(other), once / 2);
    EXPECT_LT(mean_from(*leader), once / 2);
}

// Guards against entries that can't name other entries to their callers.
TEST(group, entries_get_the_entries_to_name)
{
    group_simulation world(3, 3);
    world.run_for(absl::Seconds(5));
    sync_request it;
    it.entry = make_entry("e1", "d1");
    const presence here{it.entry, 1, true, false};
    world.at(0).running->handle(
        world.now(),
        event::frame_received{
            {it.entry.id, it.entry.internal},
            net::frame{net::channel::control, wire::encode(control::message(here))}});
    const auto response = world.report(0, it, absl::Milliseconds(100));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->named, std::vector{it.entry.http});
    it.named_hash = endpoints_hash(response->named);
    EXPECT_TRUE(world.report(0, it, absl::Milliseconds(100))->named.empty());
}

} // namespace
} // namespace cuminpitch::control
