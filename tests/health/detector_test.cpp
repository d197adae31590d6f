#include "cuminpitch/health/detector.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <random>

namespace cuminpitch::health {
namespace {

const core::route_id search{core::team_id("cooperative"), "search"};
const core::route_id detail_route{core::team_id("cooperative"), "detail"};

/// Simulates a pool whose servers get requests in turn.
struct request_simulation
{
    std::size_t servers = 20;
    std::vector<double> failure_rate = std::vector<double>(20, 0.001);
    std::vector<double> slow_rate = std::vector<double>(20, 0.05);
    std::vector<double> detail_failure_rate = std::vector<double>(20, 0.001);
    std::mt19937_64 random{1};
    absl::Time now = absl::UnixEpoch();

    static core::server_id id(std::size_t i)
    {
        return core::server_id("s" + std::to_string(i));
    }
    bool draw(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < probability;
    }

    /// Sends one request to each server; every third round is for the detail route. 10
    /// rounds make a second.
    void round(detector& tested, int n)
    {
        now += absl::Milliseconds(100);
        for (std::size_t i = 0; i < servers; ++i) {
            const bool for_detail = n % 3 == 0;
            const bool failed =
                draw(for_detail ? detail_failure_rate[i] : failure_rate[i]);
            const bool is_slow = !failed && draw(slow_rate[i]);
            tested.add(
                now, id(i), for_detail ? detail_route : search, {1, failed, is_slow});
        }
    }

    /// Returns the number of rounds until the server counts as unhealthy.
    std::optional<int> detect(detector& tested, std::size_t server, int max_rounds)
    {
        for (int n = 1; n <= max_rounds; ++n) {
            round(tested, n);
            if (tested.score(id(server)) >= 1) {
                return n;
            }
        }
        return std::nullopt;
    }
};

// Guards against a threshold that gives more false alarms than declared, and against one
// so high that it delays detection. The alarms are counted at the rates of the lowest
// baselines, where the tests are most sensitive.
TEST(detector, false_alarms_match_the_declared_rate)
{
    constexpr double tolerated_between = 20000;
    constexpr int rounds = 40000;
    request_simulation pool;
    std::fill(pool.failure_rate.begin(), pool.failure_rate.end(), 0.005);
    pool.detail_failure_rate = pool.failure_rate;
    std::fill(pool.slow_rate.begin(), pool.slow_rate.end(), 0.1);
    detector tested({10 * 30 * 86400 / tolerated_between, 0.4});
    int alarms = 0;
    for (int n = 0; n < rounds; ++n) {
        pool.round(tested, n);
        for (std::size_t i = 0; i < pool.servers; ++i) {
            if (tested.score(pool.id(i)) >= 1) {
                ++alarms;
                tested.reset(pool.id(i));
            }
        }
    }
    const double between = static_cast<double>(rounds) * 20 / std::max(1, alarms);
    RecordProperty("alarms", alarms);
    EXPECT_GT(between, tolerated_between);
    EXPECT_LT(between, 10 * tolerated_between);
}

// Guards against a failure of one route that is hidden by the server's other requests.
TEST(detector, finds_a_failure_of_one_route)
{
    request_simulation pool;
    detector tested({1, 0.4});
    for (int n = 0; n < 300; ++n) {
        pool.round(tested, n);
    }
    pool.detail_failure_rate[3] = 0.6;
    const auto rounds = pool.detect(tested, 3, 200);
    ASSERT_TRUE(rounds.has_value());
    EXPECT_LT(*rounds, 90);
    for (std::size_t i = 0; i < pool.servers; ++i) {
        EXPECT_TRUE(i == 3 || tested.score(pool.id(i)) < 0.4) << i;
    }
}

// Guards against a slow server that isn't detected because its requests succeed.
TEST(detector, finds_a_slow_server)
{
    request_simulation pool;
    detector tested({1, 0.4});
    for (int n = 0; n < 300; ++n) {
        pool.round(tested, n);
    }
    pool.slow_rate[5] = 0.8;
    const auto rounds = pool.detect(tested, 5, 200);
    ASSERT_TRUE(rounds.has_value());
    EXPECT_LT(*rounds, 40);
}

// Guards against false ejections when a whole pool starts or stops failing or being slow.
TEST(detector, finds_no_unhealthy_server_when_the_whole_pool_changes)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        request_simulation pool;
        pool.random.seed(seed);
        detector tested({1, 0.4});
        int n = 0;
        for (const double rate : {0.001, 0.3, 0.001, 0.05, 0.9, 0.001}) {
            std::fill(pool.failure_rate.begin(), pool.failure_rate.end(), rate);
            pool.detail_failure_rate = pool.failure_rate;
            std::fill(pool.slow_rate.begin(), pool.slow_rate.end(), std::max(0.05, rate));
            for (int i = 0; i < 200; ++i) {
                pool.round(tested, ++n);
                for (const auto& it : tested.findings()) {
                    ASSERT_LT(it.score, 1)
                        << it.server << " at " << n << " seed " << seed;
                }
            }
        }
    }
}

// Guards against a server that stays suspected for ever because it gets no requests.
TEST(detector, suspicion_decays_without_requests)
{
    request_simulation pool;
    detector tested({1, 0.4});
    pool.failure_rate[2] = 1;
    ASSERT_TRUE(pool.detect(tested, 2, 100).has_value());
    for (int n = 0; n < 6; ++n) {
        tested.halve_idle();
    }
    EXPECT_LT(tested.score(pool.id(2)), 0.1);
}

} // namespace
} // namespace cuminpitch::health
