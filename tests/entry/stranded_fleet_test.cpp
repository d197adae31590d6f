// Some entries of a simulated fleet lose their links to all servers, while callers and
// the other entries still reach them. The tests judge what callers get.

#include "simulated_fleet.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <array>
#include <ostream>
#include <set>

namespace cuminpitch::entry {
namespace {

constexpr absl::Duration warm_up = absl::Seconds(3);
/// Callers have their responses after this time.
constexpr absl::Duration drain_time = absl::Seconds(3);
/// Callers are owed service again from this time after a cut.
constexpr absl::Duration liveness = absl::Seconds(3);

/// Share of the requests of callers that is to be served, relative to that of callers who
/// are not affected. The users ask for two thirds.
constexpr double served_ratio = 0.97;

/// Served and all requests.
struct tally
{
    std::size_t served = 0;
    std::size_t all = 0;

    double share() const
    {
        return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
    }
    tally& operator+=(const tally& it)
    {
        served += it.served;
        all += it.all;
        return *this;
    }
    friend std::ostream& operator<<(std::ostream& to, const tally& it)
    {
        return to << it.served << " of " << it.all;
    }
};

/// A fleet of which some servers have gray failures.
class stranded_fleet : public simulated_fleet
{
public:
    explicit stranded_fleet(const fleet_shape& shape) : simulated_fleet(shape) {}

    void run(absl::Duration time)
    {
        constexpr double utilization = 0.45;
        sent_ += run_random_load(utilization, time);
    }
    void
    cut(const std::set<std::size_t>& entries,
        link_fault fault,
        const std::set<core::endpoint>& servers = {})
    {
        for (const auto it : entries) {
            cut_links(it, fault, servers);
        }
    }
    /// Every `divisor`th server.
    std::set<core::endpoint> some_servers(std::size_t divisor) const
    {
        std::set<core::endpoint> out;
        for (std::size_t n = 0; n < shape().servers; n += divisor) {
            out.insert(server_at(n));
        }
        return out;
    }
    void restore(const std::set<std::size_t>& entries)
    {
        for (const auto it : entries) {
            restore_links(it);
        }
    }
    std::set<std::size_t> choose(double fraction)
    {
        const auto n =
            static_cast<std::size_t>(fraction * static_cast<double>(shape().entries));
        std::set<std::size_t> out;
        while (out.size() < n) {
            out.insert(random_() % shape().entries);
        }
        return out;
    }
    std::set<std::size_t> first_domain() const
    {
        std::set<std::size_t> out;
        for (std::size_t n = 0; n < shape().entries; n += shape().domains) {
            out.insert(n);
        }
        return out;
    }
    /// Requests sent in this time to the entries in `at`, or to the others.
    tally
    count(absl::Time begin, absl::Time end, const std::set<std::size_t>& at, bool others)
        const
    {
        tally out;
        for (const auto& it : responses()) {
            if (it.sent >= begin && it.sent < end && at.contains(it.entry) != others) {
                out.all += 1;
                out.served += it.status == 200 ? 1U : 0U;
            }
        }
        return out;
    }
    /// Checks that requests ran as often as their callers were told.
    void check_executions() const
    {
        EXPECT_EQ(responses().size() + lost_requests(), sent_)
            << "requests without a response";
        for (const auto& it : responses()) {
            const auto found = executions().find(it.request);
            const std::size_t n = found == executions().end() ? 0 : found->second;
            if (!it.is_idempotent) {
                EXPECT_LE(n, 1U) << "request " << it.request;
                if (it.verdict == "not-run") {
                    EXPECT_EQ(n, 0U) << "request " << it.request;
                }
            }
        }
    }

    /// Changes the state of a random entry.
    void disturb()
    {
        constexpr std::array faults = {
            link_fault::dropped, link_fault::reset, link_fault::refused};
        const std::size_t entry = random_() % shape().entries;
        switch (random_() % 8) {
        case 0:
            restart(entry);
            break;
        case 1:
            freeze(entry);
            break;
        case 2:
            resume(entry);
            break;
        case 3:
        case 4:
            restore_links(entry);
            break;
        case 5:
            cut_links(entry, faults[random_() % faults.size()], some_servers(2));
            break;
        default:
            cut_links(entry, faults[random_() % faults.size()]);
        }
    }
    /// Each server whose port is a multiple of this has a gray failure.
    void set_gray_divisor(std::uint16_t it) { gray_divisor_ = it; }
    void end_disturbances()
    {
        for (std::size_t n = 0; n < shape().entries; ++n) {
            resume(n);
            restore_links(n);
        }
    }

protected:
    /// A gray server resets most of its connections after it has read a request.
    http::client_result serve(const core::endpoint& server) override
    {
        constexpr std::uint64_t failing_percent = 75;
        const bool fails =
            server.port % gray_divisor_ == 0 && random_() % 100 < failing_percent;
        if (!fails) {
            return simulated_fleet::serve(server);
        }
        http::client_result out;
        out.verdict = core::verdict::may_have_run;
        out.failure = http::failure::reset;
        out.elapsed = 2 * network_delay;
        return out;
    }

private:
    std::size_t sent_ = 0;
    std::uint16_t gray_divisor_ = 5;
};

fleet_shape shape_of(std::size_t entries, std::uint64_t seed)
{
    fleet_shape out;
    out.entries = entries;
    out.domains = 3;
    out.servers = entries > 100 ? 170 : 21;
    out.mean_service_time = absl::Milliseconds(400);
    out.deadline = absl::Milliseconds(2500);
    out.seed = seed;
    return out;
}

/// Requests of several plays, each with and without a cut.
struct outcome
{
    tally others;       ///< At the entries that keep their links, from `liveness` on.
    tally others_early; ///< The same, from 1 s after the cut.
    tally cut;
    tally cut_early;
    tally after;        ///< At all entries, from 2 s after the links return.
    tally uncut_others; ///< As `others`, without a cut.
    tally uncut_after;
    absl::Duration cut_time = absl::Seconds(12);

    void
    add(const stranded_fleet& fleet,
        const stranded_fleet& uncut,
        absl::Time cut_at,
        const std::set<std::size_t>& entries)
    {
        const auto end = cut_at + cut_time;
        const auto late = end + absl::Seconds(2);
        const auto last = end + absl::Seconds(4);
        others += fleet.count(cut_at + liveness, end, entries, true);
        others_early += fleet.count(cut_at + absl::Seconds(1), end, entries, true);
        cut += fleet.count(cut_at + liveness, end, entries, false);
        cut_early += fleet.count(cut_at + absl::Seconds(1), end, entries, false);
        after += fleet.count(late, last, {}, true);
        uncut_others += uncut.count(cut_at + liveness, end, entries, true);
        uncut_after += uncut.count(late, last, {}, true);
    }

    void check() const
    {
        constexpr double early_served_ratio = 0.9;
        constexpr double margin = 0.03;
        EXPECT_GE(cut.share(), served_ratio * others.share()) << cut << ", " << others;
        EXPECT_GE(cut_early.share(), early_served_ratio * others_early.share())
            << cut_early << ", " << others_early;
        EXPECT_GE(others.share(), uncut_others.share() - margin)
            << others << ", " << uncut_others;
        EXPECT_GE(after.share(), uncut_after.share() - margin)
            << after << ", " << uncut_after;
    }
};

struct cut_plan
{
    link_fault fault = link_fault::dropped;
    /// Fraction of the entries that are cut off; if not set, a failure domain is.
    std::optional<double> fraction;
    /// Only each n-th server is cut off.
    std::size_t server_divisor = 1;
    /// The links fail and return in turn, each for this time.
    std::optional<absl::Duration> period;
};

void play(outcome& to, std::size_t entries, std::uint64_t seed, const cut_plan& plan)
{
    stranded_fleet fleet(shape_of(entries, seed));
    fleet.run(warm_up);
    const auto chosen =
        plan.fraction ? fleet.choose(*plan.fraction) : fleet.first_domain();
    const auto servers = plan.server_divisor > 1 ? fleet.some_servers(plan.server_divisor)
                                                 : std::set<core::endpoint>();
    const auto cut_at = fleet.now();
    const auto end = cut_at + to.cut_time;
    while (fleet.now() < end) {
        fleet.cut(chosen, plan.fault, servers);
        fleet.run(plan.period.value_or(to.cut_time));
        fleet.restore(chosen);
        if (fleet.now() < end) {
            fleet.run(*plan.period);
        }
    }
    fleet.run(absl::Seconds(4));
    fleet.advance(fleet.now() + drain_time);
    fleet.check_executions();

    stranded_fleet uncut(shape_of(entries, seed));
    uncut.run(warm_up + to.cut_time + absl::Seconds(4));
    uncut.advance(uncut.now() + drain_time);
    to.add(fleet, uncut, cut_at, chosen);
}

class stranded_fleet_test : public testing::TestWithParam<link_fault>
{
};

// Guards against entries that fail the requests of their callers because they have lost
// their links to the servers, and against false reports of failures by them.
TEST_P(stranded_fleet_test, callers_of_entries_without_links_are_served)
{
    for (const double fraction : {0.1, 0.6, 0.9}) {
        outcome sum;
        for (std::uint64_t seed = 0; seed < seeds(3); ++seed) {
            play(sum, 32, seed, {GetParam(), fraction});
        }
        SCOPED_TRACE(absl::StrCat("fraction ", fraction));
        sum.check();
    }
}

// The same for all entries of a failure domain.
TEST_P(stranded_fleet_test, callers_of_a_domain_without_links_are_served)
{
    outcome sum;
    for (std::uint64_t seed = 0; seed < seeds(3); ++seed) {
        play(sum, 32, seed, {GetParam(), std::nullopt});
    }
    sum.check();
}

// Guards against entries that report servers as failing because they have lost their
// links to these alone.
TEST_P(stranded_fleet_test, entries_without_links_to_some_servers_mislead_nobody)
{
    outcome sum;
    for (std::uint64_t seed = 0; seed < seeds(3); ++seed) {
        play(sum, 32, seed, {GetParam(), 0.6, 3});
    }
    sum.check();
}

// Guards against a fleet that swings between direct and forwarded requests.
TEST_P(stranded_fleet_test, links_that_come_and_go_are_tolerated)
{
    outcome sum;
    for (std::uint64_t seed = 0; seed < seeds(3); ++seed) {
        play(sum, 32, seed, {GetParam(), 0.6, 1, absl::Seconds(1)});
    }
    sum.check();
}

// The same for a large fleet, in which an entry knows few of the others.
TEST_P(stranded_fleet_test, callers_of_a_large_fleet_are_served)
{
    outcome sum;
    sum.cut_time = absl::Seconds(5);
    play(sum, 277, 0, {GetParam(), 0.6});
    sum.check();
}

// Guards against a second execution of a request that is forwarded while either entry
// loses its links, freezes or is restarted, and against one that is called not run.
TEST(stranded_fleet_changes, requests_run_as_often_as_callers_are_told)
{
    for (std::uint64_t seed = 0; seed < seeds(5); ++seed) {
        SCOPED_TRACE(absl::StrCat("seed ", seed));
        stranded_fleet fleet(shape_of(12, seed));
        fleet.run(warm_up);
        for (int n = 0; n < 100; ++n) {
            fleet.disturb();
            fleet.run(absl::Milliseconds(100));
        }
        fleet.end_disturbances();
        const auto end = fleet.now();
        fleet.run(absl::Seconds(12));
        fleet.advance(fleet.now() + drain_time);
        EXPECT_GT(fleet.hops(), 0U);
        fleet.check_executions();
        const auto late =
            fleet.count(end + absl::Seconds(10), end + absl::Seconds(12), {}, true);
        EXPECT_GE(late.share(), served_ratio) << late;
    }
}

// Guards against servers with gray failures that are taken for a lost path.
TEST(stranded_fleet_uncut, no_path_is_lost_while_links_work)
{
    for (std::uint64_t seed = 0; seed < seeds(5); ++seed) {
        stranded_fleet fleet(shape_of(32, seed));
        fleet.set_gray_divisor(2);
        fleet.run(absl::Seconds(12));
        EXPECT_EQ(
            fleet.metrics().counter(
                "cuminpitch_paths_lost_total", {{"pool", pool.str()}}),
            0U)
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    faults,
    stranded_fleet_test,
    testing::Values(link_fault::dropped, link_fault::reset, link_fault::refused),
    [](const auto& it) {
        switch (it.param) {
        case link_fault::dropped:
            return "dropped";
        case link_fault::reset:
            return "reset";
        case link_fault::refused:
            break;
        }
        return "refused";
    });

} // namespace
} // namespace cuminpitch::entry
