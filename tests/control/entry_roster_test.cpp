#include "control/entry_roster_priv.hpp"

#include "sample.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

class entry_roster_test : public testing::Test
{
protected:
    void receive_presence(
        const std::string& id,
        const std::string& domain,
        bool ready = true,
        bool impaired = false,
        std::uint64_t incarnation = 1)
    {
        roster.receive(now, {make_entry(id, domain), incarnation, ready, impaired});
    }
    std::vector<std::string>
    choose(const std::string& domain, std::size_t max_count = 8) const
    {
        std::vector<std::string> out;
        for (const auto& it : roster.choose(
                 now, core::failure_domain_id(domain), max_count, absl::Seconds(2))) {
            out.push_back(it.id.str());
        }
        std::sort(out.begin(), out.end());
        return out;
    }
    using names = std::vector<std::string>;

    entry_roster roster;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against directing callers to another failure domain without need, or to none.
TEST_F(entry_roster_test, prefers_entries_of_the_caller_domain)
{
    receive_presence("a1", "a");
    receive_presence("a2", "a");
    receive_presence("b1", "b");
    EXPECT_EQ(choose("a"), (names{"a1", "a2"}));
    EXPECT_EQ(choose("c"), (names{"a1", "a2", "b1"}));
    EXPECT_EQ(choose("a", 1).size(), 1U);
}

// Guards against naming entries for more work than they can do, and against a figure of
// entries that callers can't use.
TEST_F(entry_roster_test, knows_what_entries_can_keep_busy)
{
    receive_presence("a1", "a");
    EXPECT_EQ(roster.slots_per_entry(now, absl::Seconds(2)), std::nullopt);
    roster.receive(now, {make_entry("a1", "a"), 1, true, false, 6});
    roster.receive(now, {make_entry("a2", "a"), 1, true, false, 8});
    roster.receive(now, {make_entry("a3", "a"), 1, false, false, 90});
    EXPECT_EQ(roster.slots_per_entry(now, absl::Seconds(2)), 7U);
}

// Guards against directing callers to an entry that is stopping, frozen or killed.
TEST_F(entry_roster_test, omits_silent_and_stopping_entries)
{
    receive_presence("a1", "a");
    receive_presence("a2", "a");
    now += absl::Milliseconds(1500);
    receive_presence("a2", "a", false);
    EXPECT_EQ(choose("a"), names{"a1"});
    now += absl::Milliseconds(600);
    EXPECT_EQ(choose("a"), names{});
}

// Guards against applying a delayed presence message of an earlier incarnation.
TEST_F(entry_roster_test, ignores_an_earlier_incarnation)
{
    receive_presence("a1", "a", true, false, 2);
    receive_presence("a1", "a", false, false, 1);
    EXPECT_EQ(choose("a"), names{"a1"});
}

// Guards against an entry that no caller is named until control starts again.
TEST_F(entry_roster_test, names_an_entry_that_starts_after_its_clock_was_set_back)
{
    receive_presence("a1", "a", true, false, 2);
    now += absl::Seconds(4);
    receive_presence("a1", "a", true, false, 1);
    EXPECT_EQ(choose("a"), names{"a1"});
}

// Guards against directing callers to an entry whose connections to servers fail, and
// against an empty answer if this is so for all entries.
TEST_F(entry_roster_test, names_impaired_entries_only_without_others)
{
    receive_presence("a1", "a", true, true);
    receive_presence("a2", "a");
    EXPECT_EQ(choose("a"), names{"a2"});
    receive_presence("a2", "a", true, true);
    EXPECT_EQ(choose("a"), (names{"a1", "a2"}));
}

// Guards against moving the load of a domain to other entries when an entry that isn't
// chosen leaves.
TEST_F(entry_roster_test, keeps_its_choice_when_another_entry_leaves)
{
    for (int i = 0; i < 12; ++i) {
        receive_presence("a" + std::to_string(i), "a");
    }
    const auto before = choose("a", 2);
    for (int i = 0; i < 12; ++i) {
        const std::string id = "a" + std::to_string(i);
        if (std::find(before.begin(), before.end(), id) == before.end()) {
            receive_presence(id, "a", false);
        }
    }
    EXPECT_EQ(choose("a", 2), before);
}

// Guards against naming too few entries to carry the requests for many servers.
TEST_F(entry_roster_test, names_more_entries_for_more_servers)
{
    entry_demand demand{2, 64, 144, 18};
    EXPECT_EQ(entries_to_name(demand, 4), 2U);
    demand.slots = 1008;
    EXPECT_EQ(entries_to_name(demand, 4), 14U);
    EXPECT_EQ(entries_to_name(demand, 2), 28U);
    demand.slots = 100'000;
    EXPECT_EQ(entries_to_name(demand, 4), 64U);
    demand.slots_per_entry = 0;
    EXPECT_EQ(entries_to_name(demand, 4), 2U);
}

// Guards against counting failure domains without a ready entry when the slots are
// divided among domains.
TEST_F(entry_roster_test, counts_domains_with_ready_entries)
{
    receive_presence("a1", "a");
    receive_presence("a2", "a");
    receive_presence("b1", "b", false);
    EXPECT_EQ(roster.domains(now, absl::Seconds(2)), 1U);
    EXPECT_EQ(roster.domains(now + absl::Seconds(3), absl::Seconds(2)), 0U);
}

} // namespace
} // namespace cuminpitch::control
