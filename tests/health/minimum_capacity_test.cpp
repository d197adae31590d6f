#include "health/minimum_capacity_schedule.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace cuminpitch::health {
namespace {

constexpr int steps_per_schedule = 5000;

class minimum_capacity_test : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against ejections that together reduce capacity below the declared minimum,
// under one-way partitions, frozen and restarted entries, changes of the list, and
// servers that flap, leave and start cold.
TEST_P(minimum_capacity_test, holds_under_random_faults)
{
    minimum_capacity_schedule it(GetParam(), false);
    it.run(steps_per_schedule);
    std::cout << "seed " << GetParam() << ": " << it.steps << " steps, "
              << it.steps_with_ejections << " with ejections, " << it.steps_catching_up
              << " catching up, " << it.sim.count("ejected") << " ejections, "
              << it.sim.count("lease acquired") << " leases, "
              << it.sim.list.list_revision.value() << " lists\n";
    EXPECT_EQ(it.violations, 0) << it.first_violation;
    EXPECT_EQ(it.overlapping_coordinators, 0);
    EXPECT_GT(it.steps_with_ejections, it.steps / 10);
    EXPECT_LT(it.steps_catching_up, it.steps / 20);
}

// Guards against schedules and checks that are too weak to detect a violation of the
// minimum.
TEST_P(minimum_capacity_test, breaks_when_each_entry_ejects_alone)
{
    minimum_capacity_schedule it(GetParam(), true);
    it.run(steps_per_schedule);
    EXPECT_GT(it.violations, 0);
}

INSTANTIATE_TEST_SUITE_P(
    seeds, minimum_capacity_test, testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace cuminpitch::health
