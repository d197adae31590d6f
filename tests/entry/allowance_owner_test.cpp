#include "entry/allowance_owner_priv.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

const core::customer_id shop{core::team_id("t"), "shop"};

/// One of the owners of a customer's permits.
class allowance_owner_test : public ::testing::Test
{
protected:
    void become(std::size_t position)
    {
        std::vector<control::entry_record> all;
        all.reserve(6);
        for (int n = 0; n < 6; ++n) {
            all.push_back(
                {core::instance_id(absl::StrCat("e", n)),
                 {"10.0.0.1", static_cast<std::uint16_t>(n + 1)},
                 {"10.0.0.2", static_cast<std::uint16_t>(n + 1)},
                 core::failure_domain_id("d")});
        }
        owners = permit_owners(shop.str(), all);
        self = std::make_unique<allowance_owner>(owners[position]);
        self->set_entries(now, all);
    }

    /// Ticks until `time` has passed, in contact with control and the third owner.
    void pass(absl::Duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now += absl::Milliseconds(20);
            self->set_confirmed(now);
            self->record_contact(now, owners[2].internal);
            self->tick(now);
        }
    }
    /// Takes all permits that are granted within `time`.
    std::uint32_t drain(absl::Duration time)
    {
        std::uint32_t out = 0;
        const auto end = now + time;
        while (now < end) {
            out += self->grant(now, shop, of, 1000).granted;
            pass(absl::Milliseconds(20));
        }
        return out;
    }

    const allowance of{core::request_rate(20), 100};
    /// Tokens of an owner that doesn't know what others have granted, for `of`.
    const std::uint32_t start_tokens = 7;
    std::vector<control::entry_record> owners;
    std::unique_ptr<allowance_owner> self;
    absl::Time now = absl::UnixEpoch() + absl::Seconds(1000);
};

// Guards against a second burst beside that of the first owner: the bucket of its
// successor has filled up since it replaced the first owner before.
TEST_F(allowance_owner_test, each_takeover_starts_with_few_tokens)
{
    become(1);
    drain(absl::Seconds(3));
    self->record_contact(now, owners[0].internal);
    EXPECT_TRUE(self->grant(now, shop, of, 1).is_redirect);
    pass(absl::Seconds(6));
    EXPECT_LE(drain(absl::Seconds(1)), start_tokens + 0.3 * 20 + 1);
}

// Guards against a successor that grants the whole rate at once, since it hasn't heard
// that the first owner was back meanwhile.
TEST_F(allowance_owner_test, takeover_after_a_pause_starts_anew)
{
    become(1);
    drain(absl::Seconds(3));
    pass(absl::Seconds(6));
    EXPECT_LE(drain(absl::Seconds(1)), start_tokens + 0.3 * 20 + 1);
    pass(absl::Milliseconds(600));
    EXPECT_GE(drain(absl::Seconds(2)), 0.9 * 20 * 2);
}

// Guards against a full bucket of an owner that was suspended, while another owner
// granted the rate, if it reads a message before its first tick.
TEST_F(allowance_owner_test, suspension_is_noticed_by_a_request_too)
{
    become(0);
    drain(absl::Seconds(1));
    now += absl::Seconds(6);
    self->record_contact(now, owners[1].internal);
    EXPECT_LE(self->grant(now, shop, of, 1000).granted, start_tokens);
}

// Guards against memory for each address that a permit message ever came from.
TEST_F(allowance_owner_test, contacts_are_forgotten)
{
    become(0);
    for (int n = 1; n <= 1000; ++n) {
        self->record_contact(now, {"10.0.0.3", static_cast<std::uint16_t>(n)});
    }
    pass(absl::Seconds(3));
    EXPECT_LE(self->contacts(), 1U);
}

} // namespace
} // namespace cuminpitch::entry
