#include "entry/slot_share_priv.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cuminpitch::entry {
namespace {

std::vector<core::instance_id> entries(std::size_t n)
{
    std::vector<core::instance_id> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.emplace_back("entry-" + std::to_string(i));
    }
    return result;
}

// Guards against slots that are used by no entry or by two entries.
TEST(slot_share, assigns_each_slot_once)
{
    for (const std::size_t n : {1, 2, 3, 4, 7}) {
        const auto live = entries(n);
        for (std::uint32_t slots = 1; slots <= 12; ++slots) {
            std::uint32_t sum = 0;
            for (const auto& self : live) {
                const auto share = slot_share(slots, core::server_id("s"), live, self);
                EXPECT_LE(share, slots / n + 1);
                sum += share;
            }
            EXPECT_EQ(sum, slots) << n << " entries";
        }
    }
}

// Guards against an entry that gets the remainder of every server and thus the most load.
TEST(slot_share, spreads_remainders_evenly)
{
    const auto live = entries(3);
    std::map<std::string, std::uint32_t> total;
    constexpr std::uint32_t servers = 300;
    for (std::uint32_t i = 0; i < servers; ++i) {
        for (const auto& self : live) {
            total[self.str()] +=
                slot_share(4, core::server_id("s" + std::to_string(i)), live, self);
        }
    }
    for (const auto& [id, slots] : total) {
        EXPECT_NEAR(slots, 4.0 * servers / 3, 0.1 * servers) << id;
    }
}

// Guards against load from an entry that the others no longer count as live.
TEST(slot_share, is_zero_for_an_unlisted_entry)
{
    EXPECT_EQ(
        slot_share(4, core::server_id("s"), entries(3), core::instance_id("other")), 0U);
}

} // namespace
} // namespace cuminpitch::entry
