// Servers of a simulated fleet say that they are leaving, or that they want no requests
// from an entry for a time. The tests count what reaches them.

#include "simulated_fleet.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cuminpitch::entry {
namespace {

constexpr absl::Duration warm_up = absl::Seconds(2);
constexpr int hold_off_s = 3;
constexpr absl::Duration hold_off = absl::Seconds(hold_off_s);
/// All entries know of a leaving server after this time.
constexpr absl::Duration spread_time = absl::Milliseconds(500);

class speaking_fleet : public simulated_fleet
{
public:
    explicit speaking_fleet(const fleet_shape& shape) : simulated_fleet(shape) {}

    void run(absl::Duration time)
    {
        constexpr double utilization = 0.4;
        run_random_load(utilization, time);
    }
    void leave(std::size_t server) { leaving_.insert(server_at(server)); }
    /// The server turns requests away until `end`, each with the same hold-off time.
    void turn_away(std::size_t server, absl::Time end)
    {
        turns_away_until_[server_at(server)] = end;
    }
    /// Disturbs random entries for this time, while requests go on.
    void run_disturbed(absl::Duration time)
    {
        const auto end = now() + time;
        while (now() < end) {
            const std::size_t entry = random_() % shape().entries;
            switch (random_() % 4) {
            case 0:
                restart(entry);
                forget(entry);
                break;
            case 1:
                cut_links(entry, link_fault::dropped);
                break;
            case 2:
                cut_links(entry, link_fault::refused);
                break;
            default:
                restore_links(entry);
            }
            run(absl::Milliseconds(100));
        }
    }

    using server_and_entry = std::pair<core::endpoint, std::size_t>;
    /// When an entry first got a response in which the server said that it is leaving.
    const std::map<server_and_entry, absl::Time>& told_leaving() const
    {
        return told_leaving_;
    }
    /// When the server first said to any entry that it is leaving.
    absl::Time first_told(const core::endpoint& server) const
    {
        const auto it = first_told_.find(server);
        return it == first_told_.end() ? absl::InfiniteFuture() : it->second;
    }
    /// Requests that an entry sent to a server between an answer with a hold-off time and
    /// the end of that time.
    const std::map<server_and_entry, std::size_t>& sent_in_hold_off() const
    {
        return sent_in_hold_off_;
    }
    std::size_t turned_away() const { return turned_away_; }
    /// Whether all servers have told the entry that they want nothing at that time.
    bool is_closed_to(std::size_t entry, absl::Time time) const
    {
        for (std::size_t n = 0; n < shape().servers; ++n) {
            const auto until = hold_off_.find({server_at(n), entry});
            if (until == hold_off_.end() || time <= until->second - hold_off ||
                time >= until->second) {
                return false;
            }
        }
        return true;
    }
    std::size_t arrivals_after(std::size_t server, absl::Time time)
    {
        const auto& all = arrivals_at(server_at(server));
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto& it) { return it.at > time; }));
    }

protected:
    http::client_result serve(const core::endpoint& server) override
    {
        const auto entry = arrivals_at(server).back().entry;
        const server_and_entry key(server, entry);
        if (const auto until = hold_off_.find(key); until != hold_off_.end() &&
                                                    now() > until->second - hold_off &&
                                                    now() < until->second) {
            ++sent_in_hold_off_[key];
        }
        auto out = simulated_fleet::serve(server);
        if (const auto end = turns_away_until_.find(server);
            end != turns_away_until_.end() && now() < end->second) {
            ++turned_away_;
            out.verdict = core::verdict::ran; // A whole response.
            out.response.status = 503;
            out.response.headers.set("Cuminpitch-Run", "not-run");
            out.response.headers.set("Retry-After", absl::StrCat(hold_off_s));
            out.elapsed = 2 * network_delay;
            auto& until = hold_off_[key];
            until = std::max(until, now() + out.elapsed + hold_off);
        }
        if (leaving_.contains(server)) {
            out.response.headers.set("Cuminpitch-Leaving", "1");
            const auto [it, is_new] = told_leaving_.try_emplace(key, now() + out.elapsed);
            it->second = std::min(it->second, now() + out.elapsed);
            auto& first =
                first_told_.try_emplace(server, now() + out.elapsed).first->second;
            first = std::min(first, now() + out.elapsed);
        }
        return out;
    }

private:
    /// A process that was restarted hasn't got the responses of the one before.
    void forget(std::size_t entry)
    {
        const auto is_of_entry = [&](const auto& it) { return it.first.second == entry; };
        std::erase_if(told_leaving_, is_of_entry);
        std::erase_if(hold_off_, is_of_entry);
    }

    std::set<core::endpoint> leaving_;
    std::map<core::endpoint, absl::Time> turns_away_until_;
    std::map<server_and_entry, absl::Time> told_leaving_;
    std::map<core::endpoint, absl::Time> first_told_;
    std::map<server_and_entry, absl::Time> hold_off_;
    std::map<server_and_entry, std::size_t> sent_in_hold_off_;
    std::size_t turned_away_ = 0;
};

fleet_shape shape_of(std::size_t entries, std::uint64_t seed)
{
    fleet_shape out;
    out.entries = entries;
    out.domains = 3;
    out.servers = entries > 100 ? 60 : 15;
    out.mean_service_time = absl::Milliseconds(300);
    out.deadline = absl::Milliseconds(2500);
    out.seed = seed;
    return out;
}

/// Checks that no entry sends to the leaving server after it was told, nor any entry
/// `spread_time` after the first one was.
void check_leaving(speaking_fleet& fleet, std::size_t server)
{
    const auto at = simulated_fleet::server_at(server);
    const auto first = fleet.first_told(at);
    ASSERT_LT(first, fleet.now()) << "the server got no request after it began to leave";
    std::size_t late = 0;
    std::size_t late_to_know = 0;
    for (const auto& it : fleet.arrivals_at(at)) {
        const auto told = fleet.told_leaving().find({at, it.entry});
        late += told != fleet.told_leaving().end() && it.at > told->second ? 1 : 0;
        late_to_know += it.at > first + spread_time ? 1 : 0;
    }
    EXPECT_EQ(late, 0U) << "from entries that were told";
    EXPECT_EQ(late_to_know, 0U) << "after all entries could know";
}

class server_notice_fleet : public testing::TestWithParam<std::size_t>
{
};

// Guards against requests to a server that has said that it is leaving.
TEST_P(server_notice_fleet, leaving_server_gets_no_more_requests)
{
    const auto n = GetParam() > 100 ? 1 : seeds(5);
    for (std::uint64_t seed = 0; seed < n; ++seed) {
        SCOPED_TRACE(absl::StrCat("seed ", seed));
        speaking_fleet fleet(shape_of(GetParam(), seed));
        fleet.run(warm_up);
        fleet.leave(1);
        fleet.run(absl::Seconds(5));
        check_leaving(fleet, 1);
    }
}

// Guards against requests to a server that wants none from this entry for a time.
TEST_P(server_notice_fleet, server_is_left_alone_for_as_long_as_it_asks)
{
    const auto n = GetParam() > 100 ? 1 : seeds(5);
    for (std::uint64_t seed = 0; seed < n; ++seed) {
        SCOPED_TRACE(absl::StrCat("seed ", seed));
        speaking_fleet fleet(shape_of(GetParam(), seed));
        fleet.run(warm_up);
        const auto end = fleet.now() + absl::Seconds(2);
        fleet.turn_away(1, end);
        fleet.turn_away(2, end);
        fleet.run(absl::Seconds(8));
        EXPECT_GT(fleet.turned_away(), 0U);
        EXPECT_TRUE(fleet.sent_in_hold_off().empty())
            << fleet.sent_in_hold_off().size() << " servers and entries";
        EXPECT_GT(fleet.arrivals_after(1, end + hold_off + absl::Seconds(1)), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(entries, server_notice_fleet, testing::Values(32, 277));

// Guards against notices that are lost when entries restart or lose their links.
TEST(server_notice_fleet_disturbed, notices_hold_while_entries_restart_and_lose_links)
{
    for (std::uint64_t seed = 0; seed < seeds(5); ++seed) {
        SCOPED_TRACE(absl::StrCat("seed ", seed));
        speaking_fleet fleet(shape_of(32, seed));
        fleet.run(warm_up);
        fleet.leave(1);
        fleet.turn_away(2, fleet.now() + absl::Seconds(2));
        fleet.run_disturbed(absl::Seconds(6));
        check_leaving(fleet, 1);
        EXPECT_TRUE(fleet.sent_in_hold_off().empty());
    }
}

// Guards against requests that wait although no server wants any.
TEST(server_notice_fleet_whole, pool_that_asks_to_be_left_alone_refuses_at_once)
{
    constexpr absl::Duration at_once = absl::Milliseconds(100);
    auto shape = shape_of(6, 0);
    shape.servers = 4;
    speaking_fleet fleet(shape);
    fleet.run(warm_up);
    const auto end = fleet.now() + absl::Seconds(2);
    for (std::size_t n = 0; n < shape.servers; ++n) {
        fleet.turn_away(n, end);
    }
    fleet.run(absl::Seconds(10));
    EXPECT_TRUE(fleet.sent_in_hold_off().empty());
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t late_served = 0;
    for (const auto& it : fleet.responses()) {
        if (fleet.is_closed_to(it.entry, it.sent)) {
            ++refused;
            EXPECT_EQ(it.status, 503);
            EXPECT_EQ(it.verdict, "not-run");
            EXPECT_LT(it.after, at_once);
            int retry_after_s = 0;
            EXPECT_TRUE(absl::SimpleAtoi(it.retry_after, &retry_after_s));
            EXPECT_FALSE(
                fleet.is_closed_to(it.entry, it.sent + absl::Seconds(retry_after_s)));
            EXPECT_LE(retry_after_s, 2 * hold_off_s);
        }
        if (it.sent > end + hold_off + absl::Seconds(1)) {
            ++late;
            late_served += it.status == 200 ? 1 : 0;
        }
    }
    EXPECT_GT(refused, 0U);
    EXPECT_EQ(late_served, late) << "after the end of the hold-off";
}

} // namespace
} // namespace cuminpitch::entry
