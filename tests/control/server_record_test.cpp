#include "cuminpitch/control/server_record.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

using upstream::availability;

server_record make_server(
    const std::string& id,
    std::uint64_t incarnation,
    std::uint64_t sequence,
    availability state = availability::active,
    const std::string& host = "10.0.0.1")
{
    server_record it;
    it.pool = {core::team_id("t"), "p"};
    it.announcement.server = core::server_id(id);
    it.announcement.incarnation = incarnation;
    it.announcement.sequence = sequence;
    it.announcement.state = state;
    it.announcement.address = {host, 80};
    it.announcement.slots = 4;
    return it;
}

class server_record_test : public testing::Test
{
protected:
    announcement_effect announce(const server_record& it)
    {
        const auto effect = effect_of(known, it);
        if (effect == announcement_effect::changes) {
            apply_announcement(known, it);
        }
        return effect;
    }
    availability state_of(const std::string& id) const
    {
        return known.at(core::server_id(id)).announcement.state;
    }

    server_records known;
};

// Guards against a delayed announcement that makes a leaving server available again.
TEST_F(server_record_test, delayed_announcement_does_not_undo_leaving)
{
    announce(make_server("a", 100, 1));
    EXPECT_EQ(
        announce(make_server("a", 100, 3, availability::leaving)),
        announcement_effect::changes);
    EXPECT_EQ(announce(make_server("a", 100, 2)), announcement_effect::outdated);
    EXPECT_EQ(announce(make_server("a", 100, 4)), announcement_effect::outdated);
    EXPECT_EQ(state_of("a"), availability::leaving);
}

// Guards against a server that becomes available again after its departure was
// acknowledged.
TEST_F(server_record_test, departure_is_final_for_the_incarnation)
{
    announce(make_server("a", 100, 1));
    server_record gone = make_server("a", 100, 0, availability::gone);
    gone.announcement.address = {};
    EXPECT_EQ(announce(gone), announcement_effect::changes);
    EXPECT_EQ(announce(gone), announcement_effect::none);
    EXPECT_EQ(announce(make_server("a", 100, 9)), announcement_effect::outdated);
    EXPECT_EQ(state_of("a"), availability::gone);
    EXPECT_EQ(known.at(core::server_id("a")).announcement.address.host, "10.0.0.1");
}

// Guards against ignoring a restarted server because its sequence starts again.
TEST_F(server_record_test, later_start_with_the_same_id_is_applied)
{
    announce(make_server("a", 100, 50, availability::leaving));
    EXPECT_EQ(announce(make_server("a", 200, 1)), announcement_effect::changes);
    EXPECT_EQ(state_of("a"), availability::active);
    EXPECT_EQ(
        announce(make_server("a", 100, 51, availability::gone)),
        announcement_effect::outdated);
    EXPECT_EQ(state_of("a"), availability::active);
}

// Guards against sending requests for a crashed server to another server that now has its
// address.
TEST_F(server_record_test, later_start_at_an_address_replaces_the_earlier_server)
{
    announce(make_server("a", 100, 7));
    auto other = make_server("b", 200, 1);
    other.pool.name = "q";
    EXPECT_EQ(announce(other), announcement_effect::changes);
    EXPECT_EQ(state_of("a"), availability::gone);
    // These announcements were sent before the crash and delayed by a partition.
    EXPECT_EQ(announce(make_server("a", 100, 8)), announcement_effect::outdated);
    EXPECT_EQ(announce(make_server("c", 150, 1)), announcement_effect::outdated);
    EXPECT_EQ(state_of("b"), availability::active);
}

// Guards against a Raft log entry for each renewal of an announcement.
TEST_F(server_record_test, renewal_changes_nothing)
{
    announce(make_server("a", 100, 1));
    auto renewed = make_server("a", 100, 2);
    renewed.announcement.cold_start = absl::Seconds(1);
    EXPECT_EQ(announce(renewed), announcement_effect::none);
}

// Guards against a state that grows with every server that ever announced itself.
TEST_F(server_record_test, evicts_the_oldest_departed_servers)
{
    for (std::uint64_t i = 0; i <= departed_server_limit; ++i) {
        announce(make_server("s" + std::to_string(i), i + 1, 0, availability::gone));
    }
    EXPECT_EQ(known.size(), departed_server_limit);
    EXPECT_FALSE(known.contains(core::server_id("s0")));
    EXPECT_TRUE(known.contains(core::server_id("s1")));
}

} // namespace
} // namespace cuminpitch::control
