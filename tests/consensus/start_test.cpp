#include "simulation.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

constexpr absl::Duration settle_limit = absl::Seconds(5);

replica_options slow_elections()
{
    replica_options it;
    it.election_timeout_min = absl::Milliseconds(400);
    it.election_timeout_max = absl::Milliseconds(800);
    it.start_timeout_min = absl::Milliseconds(100);
    it.start_timeout_max = absl::Milliseconds(250);
    return it;
}

class start_test : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a group that waits for its former leader after all members were stopped.
// After a power loss of the whole group, callers wait for this election.
TEST_P(start_test, elects_soon_after_a_stop_of_all_members)
{
    constexpr absl::Duration bound = absl::Milliseconds(500);
    simulation sim(GetParam(), 5, slow_elections());
    ASSERT_TRUE(sim.commits(settle_limit));
    for (std::size_t i = 0; i < sim.size(); ++i) {
        sim.crash(sim.at(i));
    }
    for (std::size_t i = 0; i < sim.size(); ++i) {
        sim.start(sim.at(i));
    }
    EXPECT_TRUE(sim.run_until([&] { return sim.leader() != nullptr; }, bound));
    EXPECT_TRUE(sim.commits(settle_limit));
    EXPECT_THAT(sim.violations, testing::IsEmpty());
}

// Guards against a restarted member that deposes a healthy leader because of its short
// election timeout after the start.
TEST_P(start_test, restarted_member_keeps_the_leader)
{
    simulation sim(GetParam(), 5, slow_elections());
    ASSERT_TRUE(sim.commits(settle_limit));
    const auto term = sim.leader()->replica->term();
    auto& other = sim.at((sim.leader()->number + 1) % sim.size());
    sim.crash(other);
    sim.start(other);
    ASSERT_TRUE(sim.commits(settle_limit));
    EXPECT_EQ(sim.leader()->replica->term(), term);
    EXPECT_THAT(sim.violations, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(seeds, start_test, testing::Range<std::uint64_t>(1, 21));

// Guards against followers that depose their first leader after a start because its next
// heartbeat comes a little late.
TEST(first_leader, is_kept_between_two_heartbeats)
{
    constexpr std::uint64_t seeds = 20;
    const auto options = slow_elections();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation sim(seed, 5, options);
        ASSERT_TRUE(sim.commits(settle_limit));
        for (std::size_t i = 0; i < sim.size(); ++i) {
            sim.crash(sim.at(i));
            sim.start(sim.at(i));
        }
        ASSERT_TRUE(sim.run_until([&] { return sim.leader() != nullptr; }, settle_limit));
        auto& it = *sim.at((sim.leader()->number + 1) % sim.size()).replica;
        ASSERT_TRUE(sim.run_until([&] { return !it.leader().empty(); }, settle_limit));
        const auto leader = it.leader();
        const auto heard = it.last_contact(leader).value();
        it.tick(heard + 2 * options.heartbeat - absl::Milliseconds(1));
        EXPECT_EQ(it.leader(), leader) << "seed " << seed;
    }
}

} // namespace
} // namespace cuminpitch::consensus
