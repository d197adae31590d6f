#include "cuminpitch/upstream/registry.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::upstream {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const absl::Duration departure = absl::Seconds(3);

absl::Time at(double seconds)
{
    return start + absl::Seconds(seconds);
}

announcement make_announcement(
    std::uint64_t sequence,
    availability state = availability::active,
    int incarnation = 1)
{
    announcement it;
    it.server = core::server_id("a");
    it.incarnation = static_cast<std::uint64_t>(incarnation);
    it.sequence = sequence;
    it.state = state;
    it.address = {"127.0.0.1", 80};
    it.slots = 4;
    return it;
}

// Guards against a delayed announcement that makes a server look alive.
TEST(registry, age_counts_from_the_echo)
{
    registry it(start, departure);
    EXPECT_TRUE(it.announce(at(1), make_announcement(1), std::nullopt));
    EXPECT_TRUE(it.eligible(at(1)).empty());
    it.announce(at(3), make_announcement(2), at(1));
    EXPECT_EQ(it.eligible(at(3.9)).size(), 1);
    EXPECT_TRUE(it.eligible(at(4)).empty());
    it.announce(at(5), make_announcement(3), at(1.5));
    EXPECT_TRUE(it.eligible(at(5)).empty());
}

// Guards against echoes from an earlier process or from the future.
TEST(registry, ignores_echoes_of_another_clock)
{
    registry it(start, departure);
    it.announce(at(1), make_announcement(1), start - absl::Seconds(1));
    it.announce(at(1), make_announcement(2), at(2));
    EXPECT_TRUE(it.eligible(at(1)).empty());
}

// Guards against a delayed `active` announcement that makes a server eligible again after
// it has announced its departure.
TEST(registry, departure_is_final_for_the_incarnation)
{
    for (const auto state : {availability::leaving, availability::gone}) {
        registry it(start, departure);
        it.announce(at(1), make_announcement(1), at(1));
        it.announce(at(1.1), make_announcement(3, state), std::nullopt);
        EXPECT_TRUE(it.eligible(at(1.1)).empty());
        EXPECT_FALSE(it.announce(at(1.2), make_announcement(2), at(1.2)));
        it.announce(at(1.3), make_announcement(4), at(1.3));
        EXPECT_TRUE(it.eligible(at(1.3)).empty());
        it.announce(at(1.4), make_announcement(1, availability::active, 2), at(1.4));
        EXPECT_EQ(it.eligible(at(1.4)).size(), 1);
        EXPECT_FALSE(it.announce(at(1.5), make_announcement(9, state, 1), at(1.5)));
        EXPECT_EQ(it.eligible(at(1.5)).size(), 1);
    }
}

// Guards against relayed announcements that look younger than they are.
TEST(registry, relays_keep_the_age)
{
    registry a(start, departure);
    registry b(start, departure);
    a.announce(at(2), make_announcement(1), at(1));
    const auto relayed = a.to_relay(at(3));
    ASSERT_EQ(relayed.size(), 1);
    EXPECT_EQ(relayed[0].age, absl::Seconds(2));
    b.relay(at(3.5), relayed[0]);
    EXPECT_EQ(b.eligible(at(4.4)).size(), 1);
    EXPECT_TRUE(b.eligible(at(4.5)).empty());
    a.announce(at(4), make_announcement(2, availability::leaving), at(3));
    ASSERT_EQ(a.to_relay(at(10)).size(), 1);
    b.announce(at(5), make_announcement(1), at(5));
    b.relay(at(10), a.to_relay(at(10))[0]);
    EXPECT_TRUE(b.eligible(at(10)).empty());
}

// Guards against full load on a server during its cold start, whether its announcement
// was received directly or relayed.
TEST(registry, capacity_grows_during_a_cold_start)
{
    registry it(start, departure);
    auto cold = make_announcement(1);
    cold.cold_start = absl::Seconds(10);
    it.announce(at(0), cold, at(0));
    cold.sequence = 2;
    it.announce(at(4), cold, at(4));
    EXPECT_NEAR(it.eligible(at(5))[0].capacity(), 2, 1e-9);
    // Another entry has known the server for longer.
    it.relay(at(5), {cold, absl::ZeroDuration(), absl::Seconds(9)});
    EXPECT_NEAR(it.eligible(at(5))[0].ramp, 0.9, 1e-9);
    cold.incarnation = 2;
    it.announce(at(6), cold, at(6));
    EXPECT_NEAR(it.eligible(at(6))[0].ramp, 0, 1e-9);
}

} // namespace
} // namespace cuminpitch::upstream
