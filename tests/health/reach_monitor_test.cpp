#include "cuminpitch/health/reach_monitor.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::health {
namespace {

core::server_id server(int n)
{
    return core::server_id(absl::StrCat("s", n));
}

class reach_monitor_test : public testing::Test
{
protected:
    reach_monitor_test()
    {
        tested.set_servers({server(1), server(2), server(3), server(4), server(5)});
    }

    /// An attempt at server `n` to connect that is refused.
    void refuse(int n)
    {
        now += step;
        tested.count_not_connected(now, now, server(n));
    }
    /// An attempt that connects.
    void connect()
    {
        now += step;
        tested.count_connected(now, now);
    }

    static constexpr absl::Duration step = absl::Milliseconds(10);
    reach_monitor tested;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against an entry that stops using its own path because some servers are down.
TEST_F(reach_monitor_test, servers_that_are_down_do_not_make_a_path_lost)
{
    for (int n = 0; n < 10; ++n) {
        for (int server = 1; server <= 4; ++server) {
            refuse(server);
        }
        EXPECT_FALSE(tested.is_lost());
        connect();
        refuse(5);
        EXPECT_FALSE(tested.is_lost());
        connect();
    }
}

// Guards against open connections that hide that no new ones can be made.
TEST_F(reach_monitor_test, responses_on_open_connections_do_not_hide_a_lost_path)
{
    for (int n = 1; n <= 5; ++n) {
        refuse(n);
        tested.count_answered(now);
    }
    EXPECT_TRUE(tested.is_lost());
}

// Guards against gray servers that reset or hang and are taken for a lost path.
TEST_F(reach_monitor_test, broken_connections_alone_do_not_make_a_path_lost)
{
    connect();
    for (int n = 1; n <= 5; ++n) {
        now += step;
        tested.count_broken(now, now, server(n));
    }
    EXPECT_EQ(tested.failures(), 5U) << "so that the path is probed";
    EXPECT_FALSE(tested.is_lost());
    for (int n = 1; n <= 5; ++n) {
        refuse(n);
    }
    EXPECT_TRUE(tested.is_lost());
}

// Guards against a late failure that counts although a later attempt has connected.
TEST_F(reach_monitor_test, failure_before_a_contact_does_not_count)
{
    const auto began = now;
    connect();
    for (int n = 1; n <= 4; ++n) {
        tested.count_not_connected(now, began, server(n));
    }
    EXPECT_FALSE(tested.is_lost());
}

// Guards against a fleet that follows each change of a link that comes and goes.
TEST_F(reach_monitor_test, link_that_comes_and_goes_is_not_used)
{
    for (int n = 1; n <= 5; ++n) {
        refuse(n);
    }
    for (int n = 0; n < 5; ++n) {
        connect();
        connect();
        EXPECT_TRUE(tested.is_lost());
        refuse(1);
    }
    connect();
    connect();
    EXPECT_TRUE(tested.is_lost());
    connect();
    EXPECT_FALSE(tested.is_lost());
}

// Guards against requests that are sent over a link each time that it returns for a
// second.
TEST_F(reach_monitor_test, path_that_is_lost_again_must_work_for_longer)
{
    const auto lose = [&] {
        for (int n = 1; n <= 5; ++n) {
            refuse(n);
        }
    };
    const auto time_to_recover = [&] {
        const auto begin = now;
        while (tested.is_lost() && now < begin + absl::Minutes(1)) {
            connect();
        }
        return now - begin;
    };
    const reach_monitor_options options;
    lose();
    EXPECT_LT(time_to_recover(), absl::Seconds(1));
    lose();
    EXPECT_EQ(time_to_recover(), options.min_relapse_hold);
    for (int n = 0; n < 3; ++n) {
        lose();
        EXPECT_LE(time_to_recover(), options.max_relapse_hold);
    }
    lose();
    EXPECT_EQ(time_to_recover(), options.max_relapse_hold);
    now += options.relapse_window;
    lose();
    EXPECT_LT(time_to_recover(), absl::Seconds(1));
}

// Guards against failures long ago that add up to a lost path at an entry with few
// requests.
TEST_F(reach_monitor_test, old_failures_are_forgotten)
{
    for (int n = 1; n <= 4; ++n) {
        refuse(n);
        now += 2 * reach_monitor_options().failure_memory;
        tested.tick(now);
    }
    EXPECT_FALSE(tested.is_lost());
    EXPECT_EQ(tested.failures(), 0U);
}

} // namespace
} // namespace cuminpitch::health
