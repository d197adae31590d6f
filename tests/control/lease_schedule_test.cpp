#include "lease_simulation.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

constexpr std::uint64_t seeds = 60;

struct totals
{
    int runs_with_disjoint_majorities = 0;
    int runs_with_double_lease = 0;
    int leases = 0;
    int list_steps = 0;
};

totals run_simulations(simulation_options options)
{
    totals result;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        lease_simulation simulation(options);
        simulation.run(absl::Seconds(300));
        result.runs_with_disjoint_majorities +=
            simulation.disjoint_majorities > 0 ? 1 : 0;
        result.runs_with_double_lease += simulation.double_leases > 0 ? 1 : 0;
        result.leases += simulation.leases;
        result.list_steps += simulation.list_steps;
    }
    testing::Test::RecordProperty(
        "worlds_with_danger", result.runs_with_disjoint_majorities);
    testing::Test::RecordProperty("double_leases", result.runs_with_double_lease);
    testing::Test::RecordProperty("leases", result.leases);
    testing::Test::RecordProperty("list_steps", result.list_steps);
    return result;
}

// Guards against two coordinators of one pool. They are possible if the majorities of
// successive lists don't intersect, counting promises made under an earlier list.
TEST(lease_schedule, majorities_intersect_at_all_times)
{
    const auto result = run_simulations({});
    EXPECT_EQ(result.runs_with_disjoint_majorities, 0);
    EXPECT_EQ(result.runs_with_double_lease, 0);
    EXPECT_GT(result.leases, 1000);
    EXPECT_GT(result.list_steps, 500);
}

// Guards against a check that doesn't detect list changes made before a majority has the
// previous list in force.
TEST(lease_schedule, check_fails_without_a_settled_majority)
{
    simulation_options options;
    options.require_settled_majority = false;
    EXPECT_GT(run_simulations(options).runs_with_disjoint_majorities, 0);
}

// Guards against a check that doesn't detect promises that last longer than the settle
// time.
TEST(lease_schedule, check_fails_with_a_settle_time_below_the_promise)
{
    simulation_options options;
    options.assignment_settle = absl::Milliseconds(100);
    EXPECT_GT(run_simulations(options).runs_with_disjoint_majorities, 0);
}

// Guards against a check that doesn't detect list changes by several members.
TEST(lease_schedule, check_fails_with_steps_of_several_members)
{
    simulation_options options;
    options.single_member_steps = false;
    EXPECT_GT(run_simulations(options).runs_with_disjoint_majorities, 0);
}

// Guards against a check that doesn't detect a restarted entry that grants leases under
// an old list received from a peer.
TEST(lease_schedule, check_fails_if_restarted_entries_grant_unconfirmed)
{
    simulation_options options;
    options.wait_for_confirmation = false;
    EXPECT_GT(run_simulations(options).runs_with_disjoint_majorities, 0);
}

} // namespace
} // namespace cuminpitch::control
