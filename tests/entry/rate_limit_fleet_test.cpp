// A server names the requests per second that it accepts from all entries together. The
// tests count what the entries of a simulated fleet send to it.

#include "simulated_fleet.hpp"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace cuminpitch::entry {
namespace {

constexpr absl::Duration window = absl::Seconds(4);
/// A window counts from this time after the server first named its limit.
constexpr absl::Duration liveness = absl::Seconds(3);
/// All entries are to know a limit after this time.
constexpr absl::Duration spread_time = absl::Milliseconds(500);

/// A fleet of which one server has many slots, so that all entries prefer it.
class limited_fleet : public simulated_fleet
{
public:
    explicit limited_fleet(const fleet_shape& shape) : simulated_fleet(shape) {}

    void name_limit(const core::endpoint& server, double per_s)
    {
        limits_[server] = per_s;
    }
    void end_limit(const core::endpoint& server) { limits_.erase(server); }

    /// The largest number of requests in any window, without those sent before the
    /// entries could know the limit.
    std::size_t most_in_window(const core::endpoint& server)
    {
        std::vector<absl::Time> all;
        for (const auto& it : arrivals_at(server)) {
            if (it.at >= named_.at(server) + spread_time) {
                all.push_back(it.at);
            }
        }
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < all.size(); ++last) {
            while (all[last] - all[first] >= window) {
                ++first;
            }
            if (all[last] >= named_.at(server) + liveness) {
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }
    static std::size_t allowed(double per_s)
    {
        constexpr double factor = 1.5;
        constexpr double margin = 5;
        return static_cast<std::size_t>(
            std::floor(factor * per_s * absl::ToDoubleSeconds(window) + margin));
    }
    std::size_t arrived_since(const core::endpoint& server, absl::Time begin)
    {
        const auto& all = arrivals_at(server);
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto& it) { return it.at >= begin; }));
    }
    struct traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    /// Messages about limits that an entry has sent on average in a second since `begin`.
    traffic messages_since(const traffic& begin, absl::Duration time) const
    {
        const double n =
            static_cast<double>(shape().entries) * absl::ToDoubleSeconds(time);
        return {
            static_cast<std::uint64_t>(
                static_cast<double>(sent_.messages - begin.messages) / n),
            static_cast<std::uint64_t>(
                static_cast<double>(sent_.bytes - begin.bytes) / n)};
    }
    const traffic& messages() const { return sent_; }
    /// A limit between 0.5 and 50 requests per second.
    double random_limit()
    {
        constexpr double lowest = 0.5;
        constexpr double highest = 50;
        constexpr std::uint64_t steps = 1'000;
        const auto step = static_cast<double>(random_() % steps) / steps;
        return lowest * std::pow(highest / lowest, step);
    }

protected:
    http::client_result serve(const core::endpoint& server) override
    {
        auto out = simulated_fleet::serve(server);
        if (const auto it = limits_.find(server); it != limits_.end()) {
            out.response.headers.add("Cuminpitch-Max-Rate", absl::StrCat(it->second));
            const auto named = named_.try_emplace(server, absl::InfiniteFuture()).first;
            named->second = std::min(named->second, now() + out.elapsed);
        }
        return out;
    }

    void count_message(const net::frame& it) override
    {
        const auto decoded = wire::decode_control_message(it.payload);
        if (decoded &&
            (std::holds_alternative<control::permit_request>(decoded.value()) ||
             std::holds_alternative<control::permit_response>(decoded.value()) ||
             std::holds_alternative<control::rate_news>(decoded.value()))) {
            ++sent_.messages;
            sent_.bytes += it.payload.size();
        }
    }

private:
    traffic sent_;
    std::map<core::endpoint, double> limits_;
    /// Time of the first response with a limit.
    std::map<core::endpoint, absl::Time> named_;
};

/// The first server has so many slots that it would get most of the requests.
const core::endpoint limited_server = simulated_fleet::server_at(0);

fleet_shape shape_of(std::size_t entries, std::uint64_t seed)
{
    fleet_shape out;
    out.entries = entries;
    out.domains = seed % 2 == 0 ? 1 : 3;
    // So few servers for each domain that all entries prefer all of them.
    out.servers = entries > 100 ? 8 * out.domains : 21;
    out.slots = entries > 100 ? 60 : 6;
    out.first_server_slots = 32 * out.slots;
    out.seed = seed;
    out.mean_service_time = absl::Milliseconds(400);
    return out;
}

constexpr double usual_utilization = 0.6;
/// More than the other servers have slots for, so that the first one is needed.
constexpr double high_utilization = 1.5;

/// Requests of the fleet in `time`, with which this part of the slots of the other
/// servers would be in use.
std::size_t load_in(
    absl::Duration time, const fleet_shape& shape, double utilization = usual_utilization)
{
    return static_cast<std::size_t>(
        utilization * shape.slots * (shape.servers - 1) *
        absl::FDivDuration(time, shape.mean_service_time));
}

void run(
    limited_fleet& fleet, absl::Duration time, double utilization = usual_utilization)
{
    fleet.run_load(load_in(time, fleet.shape(), utilization), time);
}

/// Names a limit, and checks the requests of all entries.
void check_limit(std::size_t entries, std::uint64_t seed)
{
    limited_fleet fleet(shape_of(entries, seed));
    const auto limit = fleet.random_limit();
    run(fleet, absl::Seconds(2));
    fleet.name_limit(limited_server, limit);
    run(fleet, absl::Seconds(8));
    EXPECT_LE(fleet.most_in_window(limited_server), limited_fleet::allowed(limit))
        << "limit " << limit << ", seed " << seed;
    for (const auto& it : fleet.responses()) {
        EXPECT_EQ(it.status, 200) << it.reason;
    }
}

// Guards against entries that each know only their own share of a server's requests, so
// that the server gets far more than it said it accepts.
TEST(rate_limit_fleet_test, limit_holds_over_32_entries)
{
    for (std::uint64_t seed = 0; seed < seeds(10); ++seed) {
        check_limit(32, seed);
    }
}

// Guards against a share that is too small to count, which each of many entries exceeds.
TEST(rate_limit_fleet_test, limit_holds_over_277_entries)
{
    for (std::uint64_t seed = 0; seed < seeds(2); ++seed) {
        check_limit(from_environment("CUMINPITCH_ENTRIES", 277), seed);
    }
}

// Guards against a limited server that gets much less than it accepts.
TEST(rate_limit_fleet_test, limit_is_used)
{
    for (const std::size_t entries : {32, 277}) {
        limited_fleet fleet(shape_of(entries, 0));
        constexpr double limit = 4;
        run(fleet, absl::Seconds(2));
        fleet.name_limit(limited_server, limit);
        run(fleet, absl::Seconds(4));
        const auto begin = fleet.now();
        run(fleet, absl::Seconds(10));
        constexpr double least = 0.7 * limit * 10;
        EXPECT_GE(fleet.arrived_since(limited_server, begin), least) << entries;
    }
}

// Guards against coordination whose cost for an entry grows with the fleet.
TEST(rate_limit_fleet_test, messages_of_an_entry_do_not_grow_with_the_fleet)
{
    for (const std::size_t entries : {32, 277}) {
        limited_fleet fleet(shape_of(entries, 0));
        const auto before_naming = fleet.messages();
        run(fleet, absl::Seconds(1));
        fleet.name_limit(limited_server, 2);
        run(fleet, absl::Seconds(5));
        const auto all = fleet.messages_since(before_naming, absl::Seconds(6));
        EXPECT_LE(all.messages, 4U) << entries;
        EXPECT_LE(all.bytes, 1000U) << entries;
    }
}

// Guards against entries that go on with a value that the server no longer names.
TEST(rate_limit_fleet_test, changed_limit_replaces_the_old_one)
{
    limited_fleet fleet(shape_of(32, 2));
    run(fleet, absl::Seconds(1));
    fleet.name_limit(limited_server, 20);
    run(fleet, absl::Seconds(6));
    fleet.name_limit(limited_server, 1);
    // The lower limit is known after the next response that a permit allows.
    run(fleet, absl::Seconds(2));
    auto begin = fleet.now();
    run(fleet, window);
    EXPECT_LE(fleet.arrived_since(limited_server, begin), limited_fleet::allowed(1));
    fleet.name_limit(limited_server, 20);
    run(fleet, absl::Seconds(4));
    begin = fleet.now();
    run(fleet, window);
    EXPECT_GE(fleet.arrived_since(limited_server, begin), 60U);
    EXPECT_LE(fleet.arrived_since(limited_server, begin), limited_fleet::allowed(20));
}

// Guards against all entries sending to an idle server at the moment when its limit ends,
// and against a limit that binds after its end.
TEST(rate_limit_fleet_test, ended_limit_is_lifted_gradually)
{
    limited_fleet fleet(shape_of(32, 2));
    run(fleet, absl::Seconds(1));
    fleet.name_limit(limited_server, 4);
    run(fleet, absl::Seconds(6));
    fleet.end_limit(limited_server);
    auto begin = fleet.now();
    run(fleet, absl::Seconds(1));
    EXPECT_LE(fleet.arrived_since(limited_server, begin), 16U);
    run(fleet, absl::Seconds(7), high_utilization);
    begin = fleet.now();
    run(fleet, absl::Seconds(2), high_utilization);
    EXPECT_GE(
        fleet.arrived_since(limited_server, begin),
        load_in(absl::Seconds(2), fleet.shape(), high_utilization) / 4);
}

// Guards against a limit of 0 that is never lifted, as only responses can end it.
TEST(rate_limit_fleet_test, limit_of_zero_leaves_few_trial_requests)
{
    limited_fleet fleet(shape_of(32, 2));
    run(fleet, absl::Seconds(1));
    fleet.name_limit(limited_server, 0);
    run(fleet, absl::Seconds(20));
    EXPECT_LE(fleet.most_in_window(limited_server), limited_fleet::allowed(0));
    fleet.end_limit(limited_server);
    run(fleet, absl::Seconds(25), high_utilization);
    const auto begin = fleet.now();
    run(fleet, absl::Seconds(1), high_utilization);
    EXPECT_GE(fleet.arrived_since(limited_server, begin), 50U);
}

// Guards against a sum that only holds while the entry that grants permits is there.
TEST(rate_limit_fleet_test, limit_holds_while_entries_restart_freeze_and_are_cut)
{
    for (std::uint64_t seed = 0; seed < seeds(6); ++seed) {
        limited_fleet fleet(shape_of(32, 2 * seed));
        const auto limit = fleet.random_limit();
        run(fleet, absl::Seconds(2));
        fleet.name_limit(limited_server, limit);
        run(fleet, absl::Seconds(2));
        core::random_source random(seed);
        for (int round = 0; round < 24; ++round) {
            const std::size_t entry = random() % fleet.shape().entries;
            switch (random() % 4) {
            case 0:
                fleet.restart(entry);
                break;
            case 1:
                fleet.freeze(entry);
                break;
            case 2:
                fleet.cut(entry);
                break;
            default:
                for (std::size_t n = 0; n < fleet.shape().entries; ++n) {
                    fleet.resume(n);
                    fleet.heal(n);
                }
            }
            run(fleet, absl::Milliseconds(500));
        }
        EXPECT_LE(fleet.most_in_window(limited_server), limited_fleet::allowed(limit))
            << "limit " << limit << ", seed " << seed;
    }
}

void check_limited_pool(std::uint64_t seed)
{
    limited_fleet fleet(shape_of(32, seed));
    constexpr double limit = 2;
    run(fleet, absl::Seconds(2));
    for (std::size_t n = 0; n < fleet.shape().servers; ++n) {
        fleet.name_limit(simulated_fleet::server_at(n), limit);
    }
    // Requests that were accepted before the limits were known have 10 s.
    run(fleet, absl::Seconds(11));
    const auto begin = fleet.responses().size();
    constexpr double time_s = 10;
    run(fleet, absl::Seconds(time_s));
    std::size_t served = 0;
    std::size_t late = 0;
    std::map<std::string, int> refusals;
    for (std::size_t n = begin; n < fleet.responses().size(); ++n) {
        const auto& it = fleet.responses()[n];
        if (it.status == 200) {
            ++served;
            continue;
        }
        EXPECT_FALSE(it.retry_after.empty());
        ++refusals[it.reason];
        late += it.after > absl::Milliseconds(100) ? 1 : 0;
    }
    EXPECT_THAT(refusals, testing::ElementsAre(testing::Key("rate-limited")));
    EXPECT_EQ(late, 0U);
    constexpr double least = 0.7;
    EXPECT_GE(served, least * limit * fleet.shape().servers * time_s);
    for (std::size_t n = 0; n < fleet.shape().servers; ++n) {
        const auto at = simulated_fleet::server_at(n);
        EXPECT_LE(fleet.most_in_window(at), limited_fleet::allowed(limit)) << n;
    }
}

// Guards against requests that wait for servers whose limits can't serve them in time.
TEST(rate_limit_fleet_test, pool_limited_as_a_whole_refuses_the_rest_at_once)
{
    for (std::uint64_t seed = 0; seed < seeds(2); ++seed) {
        check_limited_pool(seed);
    }
}

} // namespace
} // namespace cuminpitch::entry
