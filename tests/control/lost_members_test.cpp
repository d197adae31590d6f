// Members of a group of control instances that are lost and come back.

#include "group_simulation.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace cuminpitch::control {
namespace {

using upstream::availability;

/// Silent voters of a group of odd size are removed after 15 s.
constexpr absl::Duration long_loss = absl::Seconds(20);
/// Time after which an instance that has started counts as being back.
constexpr absl::Duration catch_up = absl::Seconds(4);

class lost_members : public testing::Test
{
protected:
    explicit lost_members(std::size_t instances = 5) : world(instances, 3)
    {
        world.run_for(absl::Seconds(5));
        leader = world.leader().value_or(0);
        other = (leader + 1) % instances;
    }

    /// Loses the power of an instance, whose clock is then behind the one that it had.
    void lose_power_and_time(std::size_t i)
    {
        world.lose_power(i);
        world.at(i).clock = -absl::Seconds(900);
    }

    group_simulation world;
    std::size_t leader = 0;
    std::size_t other = 0; ///< Any other instance.
};

// Guards against an instance that is ignored because its clock started anew.
TEST_F(lost_members, voter_that_lost_power_is_admitted_again)
{
    lose_power_and_time(other);
    world.run_for(long_loss);
    EXPECT_EQ(world.voters(leader), 4U);
    world.start(other);
    world.run_for(catch_up);
    EXPECT_EQ(world.voters(leader), 5U);
}

// Guards against a voter that is removed for the time before its clock started anew.
TEST_F(lost_members, voter_that_lost_power_is_not_silent_once_it_is_back)
{
    lose_power_and_time(other);
    world.run_for(absl::Seconds(1));
    world.start(other);
    world.run_for(long_loss);
    world.stop(leader);
    world.stop(other);
    world.run_for(catch_up);
    const auto next = world.leader();
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(world.voters(*next), 5U);
}

// Guards against instances that are gone for good and stay in the lists that entries get.
TEST_F(lost_members, replaced_instances_are_not_kept_as_learners)
{
    const std::vector<std::size_t> replaced = {other, (other + 1) % 5};
    for (const std::size_t i : replaced) {
        world.add();
        world.run_for(absl::Milliseconds(500));
        world.stop(i);
        world.run_for(catch_up);
    }
    world.add_entries(1);
    world.run_for(absl::Seconds(2));
    EXPECT_EQ(world.voters(leader), 5U);
    const auto known = world.entry_at(0).link->control();
    EXPECT_EQ(known.size(), 5U);
    for (const std::size_t i : replaced) {
        EXPECT_EQ(std::ranges::count(known, world.at(i).internal), 0) << i;
    }
}

// Guards against a group that gives up voters until the losses that it was declared to
// bear leave no majority.
TEST(declared_losses, two_disks_are_lost_while_a_third_instance_is_away)
{
    group_simulation world(5, 3, 1, 2);
    world.run_for(absl::Seconds(5));
    const auto leader = world.leader().value();
    const auto away = (leader + 1) % 5;
    world.lose_power(away);
    world.run_for(long_loss);
    EXPECT_EQ(world.voters(leader), 5U);
    ASSERT_TRUE(world.ask_any(group_simulation::declare(1)));
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.lose_power(i);
    }
    world.wipe((leader + 2) % 5);
    world.wipe((leader + 3) % 5);
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start(i);
    }
    EXPECT_EQ(world.read_as_operator(absl::Seconds(3)), 1U);
}

// Guards against a group that shrinks with each loss of power, until the loss of two
// disks leaves no majority.
TEST(lost_members_in_series, group_has_a_leader_after_two_disks_are_lost)
{
    constexpr std::size_t instances = 11;
    constexpr int rounds = 12;
    core::random_source random(1);
    group_simulation world(instances, 3, 1, 2);
    world.run_for(absl::Seconds(8));
    std::uint64_t number = 0;
    const auto lose_two = [&](std::size_t first) {
        return std::array{first, (first + 1 + random() % (instances - 1)) % instances};
    };
    for (int round = 0; round < rounds; ++round) {
        ASSERT_TRUE(world.ask_any(group_simulation::declare(++number)));
        const auto lost = lose_two(world.leader().value());
        for (const std::size_t i : lost) {
            world.lose_power(i);
            world.at(i).clock = -absl::Seconds(950 - round);
        }
        world.run_for(absl::Milliseconds(2500));
        for (const std::size_t i : lost) {
            world.start(i);
        }
        world.run_for(catch_up);
    }
    ASSERT_TRUE(world.ask_any(group_simulation::declare(++number)));
    const auto leader = world.leader().value();
    EXPECT_EQ(world.voters(leader), instances);
    for (std::size_t i = 0; i < instances; ++i) {
        world.lose_power(i);
    }
    for (const std::size_t i : lose_two(leader)) {
        world.wipe(i);
    }
    for (std::size_t i = 0; i < instances; ++i) {
        world.start(i);
    }
    EXPECT_EQ(world.read_as_operator(absl::Seconds(3)), number);
}

// Guards against an acknowledged departure that a new leader keeps in memory only,
// because it hasn't applied the declarations yet.
TEST_F(lost_members, departure_acknowledged_by_a_new_leader_is_not_lost)
{
    world.add_entries(3);
    constexpr std::uint64_t changes = 300;
    for (std::uint64_t number = 1; number < changes; ++number) {
        auto it = group_simulation::declare(number);
        it.settings = {{"teams/t/pools/b/entries", std::to_string(number)}};
        world.send(leader, it);
        world.run_for(absl::Milliseconds(10));
    }
    ASSERT_TRUE(world.ask_any(group_simulation::declare(changes)));
    ASSERT_TRUE(world.ask_any(group_simulation::announce("s", availability::active)));
    world.set_cost(
        {absl::Microseconds(1500), absl::Microseconds(200), absl::Microseconds(200)});
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.lose_power(i);
    }
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start(i);
    }
    std::optional<std::size_t> accepted_by;
    while (!accepted_by) {
        for (std::size_t i = 0; i < world.size() && !accepted_by; ++i) {
            const auto it = world.ask(
                i,
                group_simulation::announce("s", availability::leaving),
                absl::Milliseconds(10));
            if (it && std::holds_alternative<call_result::accepted>(*it)) {
                accepted_by = i;
            }
        }
    }
    world.stop(*accepted_by);
    world.run_for(catch_up);
    const auto view = world.entry_at(0).link->replica().view();
    const auto& servers = view->servers->at(pool_a);
    ASSERT_EQ(servers.size(), 1U);
    EXPECT_EQ(servers.front().announcement.state, availability::leaving);
}

} // namespace
} // namespace cuminpitch::control
