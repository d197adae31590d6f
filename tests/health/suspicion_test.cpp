#include "cuminpitch/health/path_monitor.hpp"
#include "cuminpitch/health/suspicion.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::health {
namespace {

const core::server_id server_a("a");
const core::server_id server_b("b");

class suspicion_test : public testing::Test
{
protected:
    suspicion tested;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a second failed request before a server with a gray failure is avoided.
TEST_F(suspicion_test, first_failure_counts_at_once)
{
    EXPECT_EQ(tested.level(now, server_a), 0);
    tested.count_failure(now, server_a);
    EXPECT_GE(tested.level(now, server_a), 1);
    EXPECT_EQ(tested.level(now, server_b), 0);
}

// Guards against a server that is avoided for ever after it has recovered.
TEST_F(suspicion_test, decays_with_time_and_success)
{
    for (int i = 0; i < 100; ++i) {
        tested.count_failure(now, server_a);
    }
    const double highest = tested.level(now, server_a);
    EXPECT_LE(highest, suspicion_options().max_level);
    now += suspicion_options().half_life;
    EXPECT_NEAR(tested.level(now, server_a), highest / 2, 0.01);
    tested.count_success(server_a);
    EXPECT_LT(tested.level(now, server_a), highest / 2);
    now += absl::Minutes(1);
    EXPECT_EQ(tested.level(now, server_a), 0);
    EXPECT_FALSE(tested.any_suspected(now));
}

// Guards against load shedding that counts like a failure: it shows load, not poor
// health.
TEST_F(suspicion_test, shedding_counts_little_and_does_not_add_up)
{
    for (int i = 0; i < 20; ++i) {
        tested.count_shed(now, server_a);
    }
    EXPECT_LE(tested.level(now, server_a), 2 * suspicion_options().shed);
}

class path_monitor_test : public testing::Test
{
protected:
    void attempts(int n, bool timed_out, int servers)
    {
        for (int i = 0; i < n; ++i) {
            now += absl::Milliseconds(50);
            tested.count(now, core::server_id(std::to_string(i % servers)), timed_out);
        }
    }

    path_monitor tested;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against callers that keep using an entry whose path loses packets to all
// servers.
TEST_F(path_monitor_test, finds_paths_that_lose_connections)
{
    for (int i = 0; i < 4; ++i) {
        attempts(1, true, 1);
        attempts(1, false, 1);
        tested.count(now, core::server_id("x" + std::to_string(i)), true);
    }
    EXPECT_TRUE(tested.is_impaired(now));
    now += path_monitor_options().impaired_duration;
    EXPECT_FALSE(tested.is_impaired(now));
}

// Guards against an entry that sends its callers away because one server is down.
TEST_F(path_monitor_test, one_unreachable_server_is_no_impaired_path)
{
    attempts(10, true, 1);
    EXPECT_FALSE(tested.is_impaired(now));
}

// Guards against an entry that sends its callers away because several servers are down,
// which it then avoids.
TEST_F(path_monitor_test, few_timeouts_among_many_attempts_are_no_impaired_path)
{
    attempts(40, false, 20);
    attempts(4, true, 4);
    EXPECT_FALSE(tested.is_impaired(now));
}

} // namespace
} // namespace cuminpitch::health
