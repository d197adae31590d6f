#include "simulation.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

constexpr absl::Duration settle_limit = absl::Seconds(5);

/// Returns true if a voter that received no messages for 5 s deposes the leader when it
/// is reconnected.
bool returning_voter_deposes_leader(bool pre_vote)
{
    replica_options options;
    options.protections.pre_vote = pre_vote;
    simulation sim(11, 3, options);
    EXPECT_TRUE(sim.commits(settle_limit));
    const auto term = sim.leader()->replica->term();
    sim.isolate((sim.leader()->number + 1) % 3, true, false);
    sim.run(settle_limit);
    sim.heal();
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_THAT(sim.violations, testing::IsEmpty());
    return sim.leader()->replica->term() != term;
}

// Guards against a voter behind a one-way partition that deposes a healthy leader.
TEST(protection, pre_vote)
{
    EXPECT_FALSE(returning_voter_deposes_leader(true));
    EXPECT_TRUE(returning_voter_deposes_leader(false)) << "fault without pre-vote";
}

/// Returns true if the group still commits after its leader stops receiving messages.
bool commits_if_leader_receives_nothing(bool check_quorum)
{
    replica_options options;
    options.protections.check_quorum = check_quorum;
    simulation sim(12, 3, options);
    EXPECT_TRUE(sim.commits(settle_limit));
    sim.isolate(sim.leader()->number, true, false);
    sim.run(settle_limit);
    const auto before = sim.highest_applied;
    const auto rises = [&] {
        sim.propose();
        return sim.highest_applied > before;
    };
    const bool out = sim.run_until(rises, settle_limit);
    EXPECT_THAT(sim.violations, testing::IsEmpty());
    return out;
}

// Guards against a leader behind a one-way partition whose heartbeats keep the others
// from electing a leader that can commit.
TEST(protection, check_quorum)
{
    EXPECT_TRUE(commits_if_leader_receives_nothing(true));
    EXPECT_FALSE(commits_if_leader_receives_nothing(false))
        << "fault without check-quorum";
}

/// Returns true if a leader whose process was paused for 3 s accepts a proposal when it
/// resumes.
bool resumed_leader_accepts_proposals(bool check_quorum)
{
    replica_options options;
    options.protections.check_quorum = check_quorum;
    simulation sim(13, 3, options);
    EXPECT_TRUE(sim.commits(settle_limit));
    auto& old = *sim.leader();
    old.frozen = true;
    sim.run(absl::Seconds(3));
    EXPECT_NE(sim.leader(), nullptr);
    EXPECT_TRUE(sim.propose());
    const bool out =
        old.replica->propose(sim.now, "proposal at a replaced leader").has_value();
    old.frozen = false;
    sim.execute_actions(old);
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_THAT(sim.violations, testing::IsEmpty());
    return out;
}

// Guards against proposals that a replaced leader accepts and then loses.
TEST(protection, frozen_leader_steps_down_when_it_resumes)
{
    EXPECT_FALSE(resumed_leader_accepts_proposals(true));
    EXPECT_TRUE(resumed_leader_accepts_proposals(false)) << "fault without check-quorum";
}

/// Returns true if a committed entry is lost. The entry is committed by a leader and a
/// follower. The follower crashes after `crash_after_actions` actions, and the leader
/// fails afterwards.
bool loses_committed_entry(bool sync_before_reply, int crash_after_actions)
{
    replica_options options;
    options.protections.sync_before_reply = sync_before_reply;
    simulation sim(14, 3, options);
    EXPECT_TRUE(sim.commits(settle_limit));
    sim.run(absl::Milliseconds(200)); // Delivers all messages that are in flight.
    auto& leader = *sim.leader();
    auto& follower = sim.at((leader.number + 1) % 3);
    sim.isolate((leader.number + 2) % 3);
    follower.crash_after_actions = crash_after_actions;
    EXPECT_TRUE(sim.propose());
    sim.run(absl::Milliseconds(20));
    sim.crash(leader);
    if (follower.replica) {
        sim.crash(follower);
    }
    sim.start(follower);
    sim.heal();
    EXPECT_TRUE(sim.commits(settle_limit));
    return !sim.violations.empty();
}

// Guards against responses that acknowledge writes which a power loss can still undo.
TEST(protection, sync_before_reply)
{
    bool lost = false;
    for (int actions = 0; actions < 4; ++actions) {
        EXPECT_FALSE(loses_committed_entry(true, actions)) << actions;
        lost = lost || loses_committed_entry(false, actions);
    }
    EXPECT_TRUE(lost) << "fault without sync before reply";
}

void prepare_storage(
    simulation::node& it, const member_set& members, std::vector<entry> log)
{
    EXPECT_TRUE(form_group(*it.storage, members));
    EXPECT_TRUE(
        it.storage->write(write_hard_state{{core::term(3), {}, group_of(members)}}));
    EXPECT_TRUE(it.storage->write(write_entries{std::move(log)}));
    EXPECT_TRUE(it.storage->sync());
}

/// Returns true if an entry of term 2, which a leader of term 4 has replicated to a
/// majority, is committed and then replaced by an entry of term 3 that a third voter has.
bool loses_entry_of_earlier_term(bool commit_own_term_only)
{
    replica_options options;
    options.protections.commit_own_term_only = commit_own_term_only;
    options.max_append_entries = 1;
    simulation sim(15, 3, options);
    member_set members;
    for (std::size_t i = 0; i < 3; ++i) {
        sim.replace_disk(sim.at(i));
        members.put(sim.as_member(sim.at(i)));
    }
    const core::log_index second(2);
    prepare_storage(sim.at(0), members, {{second, core::term(2), command{"old"}}});
    prepare_storage(sim.at(1), members, {});
    prepare_storage(sim.at(2), members, {{second, core::term(3), command{"new"}}});
    sim.start(sim.at(0));
    sim.start(sim.at(1));
    const auto copied = [&] { return sim.at(1).replica->last_index() >= second; };
    EXPECT_TRUE(sim.run_until(copied, settle_limit));
    // The response reaches the leader, but its next entry doesn't reach the follower.
    sim.run(absl::Milliseconds(5));
    sim.crash(sim.at(0));
    sim.crash(sim.at(1));
    sim.run(absl::Milliseconds(20));
    sim.start(sim.at(1));
    sim.start(sim.at(2));
    EXPECT_TRUE(sim.commits(settle_limit));
    return !sim.violations.empty();
}

// Guards against committing an entry of an earlier term by counting the replicas that
// have it.
TEST(protection, commits_own_term_only)
{
    EXPECT_FALSE(loses_entry_of_earlier_term(true));
    EXPECT_TRUE(loses_entry_of_earlier_term(false))
        << "fault without commit-own-term-only";
}

} // namespace
} // namespace cuminpitch::consensus
