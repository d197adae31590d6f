#include "control/member_policy_priv.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
constexpr member_limits two_losses{absl::Seconds(15), absl::Seconds(2), 2};

struct group
{
    /// Voters that were heard this long ago.
    explicit group(const std::vector<absl::Duration>& ages)
    {
        for (const auto age : ages) {
            add(consensus::member_role::voter, age);
        }
    }

    void add(consensus::member_role role, absl::Duration age)
    {
        const std::string name = "m" + std::to_string(members.size());
        members.push_back(
            {consensus::member_id(name), core::instance_id(name), {}, role});
        last_heard.push_back(now - age);
    }

    std::vector<heard_member> heard() const
    {
        std::vector<heard_member> out;
        for (std::size_t i = 0; i < members.size(); ++i) {
            out.push_back({&members[i], last_heard[i]});
        }
        return out;
    }

    std::string removed(const member_limits& limits = two_losses) const
    {
        const auto it = member_to_remove(now, heard(), limits);
        return it ? it->name.str() : "";
    }

    std::vector<consensus::member> members;
    std::vector<absl::Time> last_heard;
};

std::vector<absl::Duration>
ages(std::size_t in_contact, std::size_t silent, absl::Duration silence)
{
    std::vector<absl::Duration> out(in_contact);
    out.insert(out.end(), silent, silence);
    return out;
}

// Guards against a group that is said to bear the loss of a majority, or of all disks
// that have a change.
TEST(member_policy, bearable_losses_leave_a_majority_and_every_change)
{
    const auto bearable = [](std::size_t in_contact, std::size_t silent) {
        return size_of(now, group(ages(in_contact, silent, absl::Seconds(3))).heard())
            .bearable_losses();
    };
    EXPECT_EQ(bearable(11, 0), 5U);
    EXPECT_EQ(bearable(9, 2), 3U);
    EXPECT_EQ(bearable(5, 0), 2U);
    EXPECT_EQ(bearable(4, 0), 1U);
    EXPECT_EQ(bearable(3, 0), 1U);
    EXPECT_EQ(bearable(3, 2), 0U);
    EXPECT_EQ(bearable(1, 2), 0U);
}

// Guards against removing a voter that the declared losses need.
TEST(member_policy, voters_for_the_declared_losses_are_kept)
{
    EXPECT_EQ(group(ages(5, 1, absl::Seconds(3))).removed(), "m5");
    EXPECT_EQ(group(ages(4, 1, absl::Minutes(1))).removed(), "");
    EXPECT_EQ(group(ages(4, 2, absl::Minutes(1))).removed(), "");
    auto one_loss = two_losses;
    one_loss.declared_losses = 1;
    EXPECT_EQ(group(ages(4, 1, absl::Minutes(1))).removed(one_loss), "m4");
    EXPECT_EQ(group(ages(3, 1, absl::Seconds(3))).removed(one_loss), "m3");
}

// Guards against removing a voter of an odd group, whose majority stays the same, as soon
// as it is silent.
TEST(member_policy, silent_voter_of_an_odd_group_has_more_time)
{
    EXPECT_EQ(group(ages(10, 1, absl::Seconds(14))).removed(), "");
    EXPECT_EQ(group(ages(10, 1, absl::Seconds(15))).removed(), "m10");
    EXPECT_EQ(group(ages(11, 1, absl::Seconds(2))).removed(), "m11");
}

// Guards against a learner that never returns and is kept.
TEST(member_policy, silent_learner_is_removed)
{
    group it(ages(3, 0, {}));
    it.add(consensus::member_role::learner, absl::Seconds(1));
    EXPECT_EQ(it.removed(), "");
    it.last_heard.back() = now - absl::Seconds(2);
    EXPECT_EQ(it.removed(), "m3");
}

} // namespace
} // namespace cuminpitch::control
