// Judges a fleet by the rule that sound servers get requests while others reject them.

#include "rejecting_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cuminpitch::entry {
namespace {

/// Share of the sound servers that must get requests while requests aren't served, and of
/// the requests that must be served.
constexpr double floor_share = 0.7;
/// The rule applies while the share of requests that aren't served is between these.
constexpr double min_unserved = 0.1;
constexpr double max_unserved = 0.5;

rejecting_shape shape_of(std::uint64_t seed)
{
    rejecting_shape it;
    it.fleet.entries = 60;
    it.fleet.domains = 3;
    it.fleet.servers = 112;
    it.fleet.slots = 4;
    it.fleet.mean_service_time = absl::Milliseconds(650);
    it.fleet.deadline = absl::Seconds(5);
    it.fleet.seed = seed;
    it.queue = 16;
    it.requests_per_s = 330;
    return it;
}

/// Two of five servers, which a fifth of the entries can't reach.
std::set<core::endpoint> unreached_servers(std::uint32_t servers)
{
    std::set<core::endpoint> out;
    for (std::uint32_t n = 0; n < servers; ++n) {
        if (n % 5 < 2) {
            out.insert(simulated_fleet::server_at(n));
        }
    }
    return out;
}

class server_floor_test : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against entries that all avoid the servers which a few of them can't reach, and
// fill up the others, while requests double and a third of the servers resets by turns.
TEST_P(server_floor_test, sound_servers_share_a_burst_while_paths_fail)
{
    const auto shape = shape_of(GetParam());
    rejecting_servers fleet(shape);
    const auto begin = fleet.now();
    fleet.run(absl::Seconds(2), shape.requests_per_s);
    const auto unreached = unreached_servers(shape.fleet.servers);
    for (std::size_t n = 0; n < shape.fleet.entries; n += 5) {
        fleet.cut_links(n, link_fault::dropped, unreached);
    }
    fleet.run(absl::Seconds(4), shape.requests_per_s * 2);
    fleet.run(absl::Seconds(4), shape.requests_per_s);
    for (std::size_t n = 0; n < shape.fleet.entries; n += 5) {
        fleet.restore_links(n);
    }
    fleet.run(absl::Seconds(4), shape.requests_per_s);
    const auto end = fleet.now();
    fleet.advance(end + shape.fleet.deadline);
    for (auto it = begin + absl::Seconds(2); it <= end; it += absl::Seconds(1)) {
        const auto judged = fleet.judge(it);
        SCOPED_TRACE(
            testing::Message() << "until " << (it - begin) << ": " << judged.unserved
                               << " not served, " << judged.idle << " of " << judged.sound
                               << " sound servers idle, busiest " << judged.busiest);
        EXPECT_LE(judged.unserved, 1 - floor_share);
        EXPECT_TRUE(
            judged.idle <= 1 - floor_share || judged.unserved <= min_unserved ||
            judged.unserved >= max_unserved);
    }
}

INSTANTIATE_TEST_SUITE_P(
    seeds, server_floor_test, testing::Range<std::uint64_t>(0, seeds(2)));

} // namespace
} // namespace cuminpitch::entry
