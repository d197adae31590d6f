#include "entry/permit_ledger_priv.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cuminpitch::entry {
namespace {

class permit_ledger_test : public testing::Test
{
protected:
    void request(std::uint16_t entry, std::uint32_t wanted)
    {
        ledger.add(now, {{"10.0.0.1", entry}, now, wanted});
    }
    std::uint32_t granted()
    {
        std::uint32_t out = 0;
        for (const auto& it : ledger.take_grants(now)) {
            out += it.count;
            ++grants[it.to.port];
        }
        return out;
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    permit_ledger ledger{now, core::random_source(1)};
    std::map<std::uint16_t, int> grants;
};

// Guards against a new owner that adds permits to those of its predecessor.
TEST_F(permit_ledger_test, starts_without_permits)
{
    ledger.set_rate(now, core::request_rate(2));
    request(1, 5);
    EXPECT_EQ(granted(), 0U);
    now += absl::Milliseconds(500);
    EXPECT_EQ(granted(), 1U);
}

// Guards against permits that add up while nobody wants them.
TEST_F(permit_ledger_test, unused_permits_do_not_add_up)
{
    ledger.set_rate(now, core::request_rate(8));
    now += absl::Minutes(1);
    request(1, 100);
    EXPECT_EQ(granted(), 2U);
    EXPECT_EQ(granted(), 0U);
}

// Guards against a lower rate that takes effect only after the permits of the higher one.
TEST_F(permit_ledger_test, lower_rate_takes_effect_at_once)
{
    ledger.set_rate(now, core::request_rate(100));
    now += absl::Seconds(1);
    ledger.set_rate(now, core::request_rate(1));
    request(1, 100);
    EXPECT_EQ(granted(), 1U);
}

// Guards against entries that get no permits because of the order of the requests.
TEST_F(permit_ledger_test, every_entry_gets_permits)
{
    ledger.set_rate(now, core::request_rate(10));
    for (int n = 0; n < 400; ++n) {
        for (const std::uint16_t entry : {1, 2, 3, 4}) {
            request(entry, 1);
        }
        now += absl::Milliseconds(100);
        EXPECT_EQ(granted(), 1U);
    }
    for (const std::uint16_t entry : {1, 2, 3, 4}) {
        EXPECT_GE(grants[entry], 60) << entry;
    }
}

// Guards against permits for entries that no longer want or exist.
TEST_F(permit_ledger_test, request_expires_unless_repeated)
{
    ledger.set_rate(now, core::request_rate(0.1));
    request(1, 1);
    EXPECT_EQ(ledger.requesters(), 1U);
    now += ledger.repeat_after();
    EXPECT_EQ(granted(), 0U);
    EXPECT_EQ(ledger.requesters(), 1U);
    now += absl::Seconds(20);
    EXPECT_EQ(granted(), 0U);
    EXPECT_EQ(ledger.requesters(), 0U);
}

// Guards against an owner that is flooded by the requests of a large fleet.
TEST_F(permit_ledger_test, large_fleet_repeats_its_requests_less_often)
{
    ledger.set_rate(now, core::request_rate(1));
    for (std::uint16_t entry = 1; entry <= 4000; ++entry) {
        request(entry, 1);
    }
    EXPECT_GE(ledger.repeat_after(), absl::Seconds(100));
}

} // namespace
} // namespace cuminpitch::entry
