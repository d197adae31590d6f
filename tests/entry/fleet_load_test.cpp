// Simulates the load of a large fleet whose entries were all started at the same time.
// The requests run at most once, so a request to a failing server is lost. The tests
// check how often entries detect the same failing server and how evenly the other servers
// are used.

#include "simulated_fleet.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cuminpitch::entry {
namespace {

constexpr std::uint16_t failing_port_divisor = 5;

class fleet_load_test : public testing::Test, public simulated_fleet
{
protected:
    fleet_load_test() : simulated_fleet(fleet_shape{}) {}

    http::client_result serve(const core::endpoint& server) override
    {
        ++requests_by_server_[server];
        if (!servers_fail_ || server.port % failing_port_divisor != 0) {
            return simulated_fleet::serve(server);
        }
        failures_by_server_[server].push_back(now());
        http::client_result out;
        out.verdict = core::verdict::may_have_run;
        out.failure = http::failure::reset;
        out.elapsed = 2 * network_delay;
        return out;
    }

    bool servers_fail_ = false;
    std::map<core::endpoint, std::vector<absl::Time>> failures_by_server_;
    std::map<core::endpoint, std::uint32_t> requests_by_server_;
};

// Guards against entries that each lose a request to the same failing server while they
// have handled only few requests.
TEST_F(fleet_load_test, failing_server_is_detected_once)
{
    servers_fail_ = true;
    run_load(620, absl::Seconds(1));
    ASSERT_FALSE(failures_by_server_.empty());
    // Time for the response to the failed request, the tick that sends the failure
    // report, the delivery of the report, and the tick that applies it.
    const auto report_delay = 3 * network_delay + 2 * tick_interval;
    std::size_t total = 0;
    for (const auto& [server, times] : failures_by_server_) {
        EXPECT_LE(times.back() - times.front(), report_delay) << server.str();
        total += times.size();
    }
    // During that time, 29 requests are sent to the 170 servers.
    EXPECT_LE(total, 2 * failures_by_server_.size());
}

// Guards against entries that choose the same servers in the same order because they were
// started at the same time, for example after a power failure.
TEST_F(fleet_load_test, entries_started_together_choose_differently)
{
    for (std::size_t n = 0; n < shape().entries; ++n) {
        send(n);
    }
    // 26 entries choose among the 85 servers of their domain. The probability that five
    // of them choose the same server is 1 in 500.
    for (const auto& [server, count] : requests_by_server_) {
        EXPECT_LE(count, 4U) << server.str();
    }
}

// Guards against equal random choices in a small fleet, where all entries prefer the same
// servers.
TEST(start_seed, differs_between_entries_started_together)
{
    EXPECT_NE(
        start_seed(core::instance_id("entry-1"), 7),
        start_seed(core::instance_id("entry-2"), 7));
}

// Guards against entries that all send requests to the servers with the lowest reported
// occupancy until the next report, which would fill more servers than a random choice.
TEST_F(fleet_load_test, rarely_sends_to_a_full_server)
{
    constexpr std::size_t requests = 6200;
    run_load(requests, absl::Seconds(10));
    // With 2.6 of 6 slots in use, a randomly chosen server is full in 6 of 100 cases
    // (Erlang C).
    constexpr double random_choice_rate = 0.06;
    EXPECT_LT(static_cast<double>(sent_to_full()) / requests, random_choice_rate);
}

} // namespace
} // namespace cuminpitch::entry
