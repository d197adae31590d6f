#include "cuminpitch/customers/directory.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::customers {
namespace {

const core::team_id team("t");

std::shared_ptr<config::declarations> declare(std::size_t count)
{
    auto out = std::make_shared<config::declarations>();
    out->limits[team].requires_key = true;
    for (std::size_t n = 0; n < count; ++n) {
        config::customer_settings it;
        it.id = {team, absl::StrCat("c", n)};
        it.keys = {absl::StrCat("first-", n), absl::StrCat("second-", n)};
        out->customers[it.id] = it;
    }
    return out;
}

// Guards against a key that finds no customer, another customer, or one of another team.
TEST(customer_directory, finds_each_key_of_its_team)
{
    constexpr std::size_t count = 10'000;
    const directory all(declare(count));
    for (std::size_t n = 0; n < count; ++n) {
        const core::customer_id id{team, absl::StrCat("c", n)};
        for (const char* prefix : {"first-", "second-"}) {
            const auto* found = all.find(team, absl::StrCat(prefix, n));
            ASSERT_NE(found, nullptr);
            EXPECT_EQ(found->id, id);
        }
    }
    EXPECT_EQ(all.find(team, ""), nullptr);
    EXPECT_EQ(all.find(team, "first-"), nullptr);
    EXPECT_EQ(all.find(core::team_id("u"), "first-1"), nullptr);
    EXPECT_TRUE(all.requires_key(team));
    EXPECT_FALSE(all.requires_key(core::team_id("u")));
}

} // namespace
} // namespace cuminpitch::customers
