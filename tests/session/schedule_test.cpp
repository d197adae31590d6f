#include "session/schedule.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace cuminpitch::testing {
namespace {

constexpr absl::Duration fault_duration = absl::Seconds(75);
constexpr absl::Duration short_fault_duration = absl::Seconds(30);

fleet_options options(std::uint64_t seed)
{
    fleet_options it;
    it.seed = seed;
    it.entries = 6;
    it.most_delay = absl::Milliseconds(4);
    return it;
}

example example_of(std::uint64_t seed)
{
    return seed % 2 == 0 ? cooperative(8, 8) : guarda_chuva(8, 6);
}

std::string join_violations(const schedule& it)
{
    std::string text;
    for (const auto& what : it.violations()) {
        text += what + "\n";
    }
    return text;
}

void print(const schedule& it)
{
    const auto& n = it.counts();
    std::printf(
        "requests %zu: ran %zu, not-run %zu, may-have-run %zu; with a hop %zu; changes: "
        "applied %zu, conflicts %zu; disks lost %zu; departures %zu; steps with "
        "ejections %zu\n",
        n.requests,
        n.answered,
        n.not_run,
        n.may_have_run,
        n.hops,
        n.accepted,
        n.conflicts,
        n.disk_losses,
        n.departures,
        n.steps_with_ejections);
}

/// The environment variable CUMINPITCH_SEED_OFFSET is added to the default seeds.
std::uint64_t seed_offset()
{
    const char* text = std::getenv("CUMINPITCH_SEED_OFFSET");
    return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

class fleet_schedule : public ::testing::TestWithParam<std::uint64_t>
{
};

// Guards against violations of guarantees that hold in each module alone but not in a
// whole fleet under combined faults.
TEST_P(fleet_schedule, guarantees_hold)
{
    const auto seed = GetParam() + seed_offset();
    schedule it(options(seed), example_of(seed));
    it.run(fault_duration);
    print(it);
    EXPECT_EQ(join_violations(it), "");
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_schedule, ::testing::Range<std::uint64_t>(1, 21));

// The following tests inject known errors and expect the checks to report them.

// Guards against a check of executions and verdicts that can't fail.
TEST(fleet_schedule_check, sees_a_wrong_verdict_of_the_client)
{
    auto broken = options(1);
    broken.report_resets_not_run = true;
    schedule it(broken, example_of(1));
    it.initial_faults.resets_after = 0.5;
    it.run(short_fault_duration);
    const auto found = join_violations(it);
    EXPECT_NE(found.find("times"), std::string::npos) << found;
    EXPECT_NE(found.find("was told not-run"), std::string::npos) << found;
}

// Guards against an entry that forwards a misrouted request a second time, and against a
// check of hops that can't fail.
TEST(fleet_schedule_check, sees_a_second_hop)
{
    for (const bool drops : {false, true}) {
        auto broken = options(1);
        broken.misroute_hops = true;
        broken.drop_hop_header = drops;
        schedule it(broken, example_of(1));
        it.run(short_fault_duration);
        const auto found = join_violations(it);
        EXPECT_GT(it.counts().hops, 0U);
        EXPECT_EQ(found.find("second hop") != std::string::npos, drops) << found;
    }
}

// Guards against a check of revisions that can't fail.
TEST(fleet_schedule_check, sees_a_lower_revision)
{
    schedule it(options(1), example_of(1));
    it.ignore_restarts = true;
    it.run(short_fault_duration);
    const auto found = join_violations(it);
    EXPECT_NE(found.find("has decreased"), std::string::npos) << found;
}

// Guards against a check of ejections that can't fail.
TEST(fleet_schedule_check, sees_too_many_ejections)
{
    schedule it(options(1), example_of(1));
    it.extra_minimum = 8;
    it.run(fault_duration);
    const auto found = join_violations(it);
    EXPECT_NE(found.find("below its minimum"), std::string::npos) << found;
}

} // namespace
} // namespace cuminpitch::testing
