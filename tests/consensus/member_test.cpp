#include "simulation.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

constexpr absl::Duration settle_limit = absl::Seconds(10);

// Guards against a group that loses its majority when a second voter fails right after
// the first was replaced, and against an old identity that is still counted as a voter.
TEST(member_change, second_voter_is_lost_after_a_repair)
{
    for (const std::size_t voters : {3, 5}) {
        simulation sim(voters, voters);
        ASSERT_TRUE(sim.commits(settle_limit));
        auto& lost = sim.at((sim.leader()->number + 1) % voters);
        const member_id old = lost.id;
        sim.replace_disk(lost);
        sim.start(lost);
        ASSERT_TRUE(sim.add_voter(lost, settle_limit));
        const auto& members = sim.leader()->replica->members();
        EXPECT_EQ(members.find(old), nullptr);
        EXPECT_EQ(members.members().size(), voters);
        EXPECT_EQ(members.voter_count(), voters);
        sim.replace_disk(*sim.leader());
        if (voters == 5) {
            sim.crash(sim.at((lost.number + 2) % voters));
        }
        EXPECT_TRUE(sim.commits(settle_limit)) << voters;
        EXPECT_THAT(sim.violations, testing::IsEmpty());
    }
}

// Guards against a new disk that votes or acknowledges in place of the one it replaces.
TEST(member_change, new_disk_counts_in_no_majority)
{
    simulation sim(21, 3);
    ASSERT_TRUE(sim.commits(settle_limit));
    sim.run(absl::Milliseconds(200)); // Delivers all messages that are in flight.
    auto& lost = sim.at((sim.leader()->number + 1) % 3);
    auto& second = sim.at((sim.leader()->number + 2) % 3);
    sim.replace_disk(lost);
    sim.start(lost);
    sim.change(add_learner{sim.as_member(lost)});
    sim.run(absl::Seconds(1));
    EXPECT_TRUE(sim.leader()->replica->members().find(lost.id));
    sim.crash(second);
    const auto before = sim.highest_applied;
    sim.run(absl::Seconds(5), [&] { sim.propose(); });
    EXPECT_EQ(sim.highest_applied, before);
    EXPECT_EQ(lost.replica->role(), role::follower);
    sim.start(second);
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_THAT(sim.violations, testing::IsEmpty());
}

// Guards against two member changes whose majorities have no voter in common.
TEST(member_change, one_at_a_time)
{
    simulation sim(22, 3, {}, 2);
    ASSERT_TRUE(sim.commits(settle_limit));
    auto& leader = *sim.leader()->replica;
    const auto first =
        leader.change_members(sim.now, add_learner{sim.as_member(sim.at(3))});
    const auto second =
        leader.change_members(sim.now, add_learner{sim.as_member(sim.at(4))});
    EXPECT_TRUE(first);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error(), core::errc::unavailable);
}

// Guards against the promotion of a learner that lags behind, which could leave the group
// without an up-to-date majority, and against the replacement of a voter that still
// responds.
TEST(member_change, refuses_promotion)
{
    simulation sim(23, 3, {}, 1);
    ASSERT_TRUE(sim.commits(settle_limit));
    auto& leader = *sim.leader()->replica;
    auto& spare = sim.at(3);
    member learner = sim.as_member(spare);
    learner.name = sim.as_member(sim.at((sim.leader()->number + 1) % 3)).name;
    sim.isolate(spare.number);
    ASSERT_TRUE(sim.change(add_learner{learner}));
    sim.run(absl::Milliseconds(200));
    const auto lagging = leader.change_members(sim.now, promote_learner{spare.id});
    ASSERT_FALSE(lagging);
    EXPECT_EQ(lagging.error(), core::errc::unavailable);
    sim.heal();
    sim.run(absl::Milliseconds(500));
    const auto alive = leader.change_members(sim.now, promote_learner{spare.id});
    ASSERT_FALSE(alive);
    EXPECT_EQ(alive.error(), core::errc::unavailable);
    sim.crash(sim.at((sim.leader()->number + 1) % 3));
    sim.run(absl::Seconds(2));
    EXPECT_TRUE(leader.change_members(sim.now, promote_learner{spare.id}));
}

// Guards against invalid changes that would corrupt the member set.
TEST(member_change, refuses_invalid_changes)
{
    simulation sim(24, 1, {}, 1);
    ASSERT_TRUE(sim.commits(settle_limit));
    auto& leader = *sim.leader()->replica;
    const std::vector<member_change> invalid = {
        add_learner{sim.as_member(sim.at(0))},
        add_learner{member{}},
        promote_learner{sim.at(0).id},
        promote_learner{sim.at(1).id},
        remove_member{sim.at(0).id},
        remove_member{sim.at(1).id},
        move_member{sim.at(1).id, {"127.0.0.1", 1}}};
    for (const auto& it : invalid) {
        const auto done = leader.change_members(sim.now, it);
        ASSERT_FALSE(done) << it.index();
        EXPECT_EQ(done.error(), core::errc::invalid_change) << it.index();
    }
}

// Guards against a group that can't grow, can't shrink below its initial size, or can't
// elect a new leader after its leader was removed.
TEST(member_change, grows_and_shrinks)
{
    simulation sim(25, 3, {}, 2);
    ASSERT_TRUE(sim.commits(settle_limit));
    ASSERT_TRUE(sim.add_voter(sim.at(3), settle_limit));
    ASSERT_TRUE(sim.add_voter(sim.at(4), settle_limit));
    EXPECT_EQ(sim.leader()->replica->members().voter_count(), 5U);
    for (int i = 0; i < 3; ++i) {
        auto& old = *sim.leader();
        const member_id removed = old.id;
        const auto gone = [&] {
            auto* now = sim.leader();
            sim.change(remove_member{removed});
            return now && now->id != removed &&
                   now->replica->members().find(removed) == nullptr;
        };
        ASSERT_TRUE(sim.run_until(gone, settle_limit));
        sim.crash(old);
        ASSERT_TRUE(sim.commits(settle_limit));
    }
    EXPECT_EQ(sim.leader()->replica->members().voter_count(), 2U);
    EXPECT_THAT(sim.violations, testing::IsEmpty());
}

// Guards against a member whose endpoint is not updated when its process restarts at
// another address.
TEST(member_change, moves_a_member)
{
    simulation sim(26, 3);
    ASSERT_TRUE(sim.commits(settle_limit));
    const member_id id = sim.leader()->id;
    ASSERT_TRUE(sim.change(move_member{id, {"127.0.0.9", 9000}}));
    ASSERT_TRUE(sim.commits(settle_limit));
    EXPECT_EQ(sim.at(0).replica->members().find(id)->internal.host, "127.0.0.9");
}

// Guards against a replica that can't catch up when the leader no longer has the log
// entries that it needs, and against one that reports itself synchronized before it has
// caught up.
TEST(catch_up, restores_a_snapshot_after_500_entries)
{
    replica_options options;
    options.kept_entries = 20;
    options.snapshot_part_bytes = 100;
    simulation sim(31, 3, options);
    sim.snapshot_every = 100;
    ASSERT_TRUE(sim.commits(settle_limit));
    auto& behind = sim.at((sim.leader()->number + 1) % 3);
    sim.crash(behind);
    const auto before = sim.highest_applied.value();
    const auto enough = [&] {
        sim.propose();
        return sim.highest_applied.value() >= before + 500;
    };
    ASSERT_TRUE(sim.run_until(enough, absl::Seconds(30)));
    sim.faults.loss = 0.1;
    const int restored = behind.snapshots_restored;
    sim.start(behind);
    EXPECT_FALSE(behind.replica->synchronized());
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_TRUE(behind.replica->synchronized());
    EXPECT_GT(behind.snapshots_restored, restored + 1);
    EXPECT_THAT(sim.violations, testing::IsEmpty());
}

// Guards against sending a snapshot to a member that lags by fewer entries than are kept.
TEST(catch_up, sends_kept_entries_instead_of_a_snapshot)
{
    simulation sim(32, 3);
    sim.snapshot_every = 30;
    ASSERT_TRUE(sim.commits(settle_limit));
    auto& behind = sim.at((sim.leader()->number + 1) % 3);
    sim.isolate(behind.number);
    const auto before = sim.highest_applied.value();
    const int restored = behind.snapshots_restored;
    const auto enough = [&] {
        sim.propose();
        return sim.highest_applied.value() >= before + 100;
    };
    ASSERT_TRUE(sim.run_until(enough, settle_limit));
    sim.heal();
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_EQ(behind.snapshots_restored, restored);
}

} // namespace
} // namespace cuminpitch::consensus
