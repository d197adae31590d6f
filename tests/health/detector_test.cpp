#include "cuminpitch/health/detector.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <random>

namespace cuminpitch::health {
namespace {

const core::route_id search{core::team_id("cooperative"), "search"};
const core::route_id detail_route{core::team_id("cooperative"), "detail"};

/// Simulates a pool whose servers get requests in turn.
struct pool_evidence
{
    std::size_t servers = 20;
    std::vector<double> fail = std::vector<double>(20, 0.001);
    std::vector<double> slow = std::vector<double>(20, 0.05);
    std::vector<double> fail_detail = std::vector<double>(20, 0.001);
    std::mt19937_64 random{1};
    absl::Time now = absl::UnixEpoch();

    static core::server_id id(std::size_t i)
    {
        return core::server_id("s" + std::to_string(i));
    }
    bool draw(double part)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < part;
    }

    /// Sends one request to each server; every third round is for the detail route. 10
    /// rounds make a second.
    void round(detector& at, int n)
    {
        now += absl::Milliseconds(100);
        for (std::size_t i = 0; i < servers; ++i) {
            const bool detail = n % 3 == 0;
            const bool failed = draw(detail ? fail_detail[i] : fail[i]);
            const bool late = !failed && draw(slow[i]);
            at.add(now, id(i), detail ? detail_route : search, {1, failed, late});
        }
    }

    /// Returns the number of rounds until the server counts as unhealthy.
    std::optional<int> detect(detector& at, std::size_t server, int most)
    {
        for (int n = 1; n <= most; ++n) {
            round(at, n);
            if (at.score(id(server)) >= 1) {
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
    pool_evidence pool;
    std::fill(pool.fail.begin(), pool.fail.end(), 0.005);
    pool.fail_detail = pool.fail;
    std::fill(pool.slow.begin(), pool.slow.end(), 0.1);
    detector at({10 * 30 * 86400 / tolerated_between, 0.4});
    int alarms = 0;
    for (int n = 0; n < rounds; ++n) {
        pool.round(at, n);
        for (std::size_t i = 0; i < pool.servers; ++i) {
            if (at.score(pool.id(i)) >= 1) {
                ++alarms;
                at.reset(pool.id(i));
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
    pool_evidence pool;
    detector at({1, 0.4});
    for (int n = 0; n < 300; ++n) {
        pool.round(at, n);
    }
    pool.fail_detail[3] = 0.6;
    const auto rounds = pool.detect(at, 3, 200);
    ASSERT_TRUE(rounds.has_value());
    EXPECT_LT(*rounds, 90);
    for (std::size_t i = 0; i < pool.servers; ++i) {
        EXPECT_TRUE(i == 3 || at.score(pool.id(i)) < 0.4) << i;
    }
}

// Guards against a slow server that isn't detected because its requests succeed.
TEST(detector, finds_a_slow_server)
{
    pool_evidence pool;
    detector at({1, 0.4});
    for (int n = 0; n < 300; ++n) {
        pool.round(at, n);
    }
    pool.slow[5] = 0.8;
    const auto rounds = pool.detect(at, 5, 200);
    ASSERT_TRUE(rounds.has_value());
    EXPECT_LT(*rounds, 40);
}

// Guards against false ejections when a whole pool starts or stops failing or being slow.
TEST(detector, accuses_nobody_when_the_whole_pool_changes)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        pool_evidence pool;
        pool.random.seed(seed);
        detector at({1, 0.4});
        int n = 0;
        for (const double rate : {0.001, 0.3, 0.001, 0.05, 0.9, 0.001}) {
            std::fill(pool.fail.begin(), pool.fail.end(), rate);
            pool.fail_detail = pool.fail;
            std::fill(pool.slow.begin(), pool.slow.end(), std::max(0.05, rate));
            for (int i = 0; i < 200; ++i) {
                pool.round(at, ++n);
                for (const auto& it : at.findings()) {
                    ASSERT_LT(it.score, 1)
                        << it.server << " at " << n << " seed " << seed;
                }
            }
        }
    }
}

// Guards against a server that stays suspected for ever because it gets no requests.
TEST(detector, old_suspicion_fades)
{
    pool_evidence pool;
    detector at({1, 0.4});
    pool.fail[2] = 1;
    ASSERT_TRUE(pool.detect(at, 2, 100).has_value());
    for (int n = 0; n < 6; ++n) {
        at.fade();
    }
    EXPECT_LT(at.score(pool.id(2)), 0.1);
}

} // namespace
} // namespace cuminpitch::health
