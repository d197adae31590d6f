#include "fixture.hpp"

namespace cuminpitch::testing {
namespace {

using partition_fault = fleet_test;

// Guards against requests that fail or run twice during a one-way partition between two
// assigned entries.
TEST_F(partition_fault, one_way_between_assigned_entries)
{
    const auto entries = assigned_entries();
    ASSERT_EQ(entries.size(), 3U);
    start_lender(8);
    absl::SleepFor(absl::Seconds(1));
    ASSERT_TRUE(fleet->block(entries[0], {entries[1]}));
    // The partition lasts longer than peer_timeout (3 s) and the pool lease.
    absl::SleepFor(absl::Seconds(5));
    ASSERT_TRUE(fleet->block(entries[0], {}));
    const auto it = finish_callers();
    EXPECT_EQ(it.answered, it.requests);
}

// Guards against an entry that misses changes because frames from control don't reach it.
TEST_F(partition_fault, control_cannot_send_to_an_entry)
{
    const auto cut_off = assigned_entries().front();
    for (const auto& name : fleet->control_names()) {
        ASSERT_TRUE(fleet->block(name, {cut_off}));
    }
    start_lender(8);
    const auto leader = fleet->leader();
    ASSERT_FALSE(leader.empty());
    const auto it = submit_change("unreached", revision_at(leader), 200);
    ASSERT_EQ(it.value("outcome", ""), "applied");
    // The change must be in force everywhere within 11 s. This entry gets it from a peer.
    EXPECT_TRUE(wait_for_revision(cut_off, it["revision"], absl::Seconds(11)));
    const auto seen = finish_callers();
    EXPECT_EQ(seen.answered, seen.requests);
}

// Guards against an entry whose frames don't reach control and which the status of the
// leader still reports as in contact.
TEST_F(partition_fault, entry_cannot_send_to_control)
{
    const auto cut_off = assigned_entries().front();
    ASSERT_TRUE(fleet->block(cut_off, fleet->control_names()));
    start_lender(8);
    const auto leader = fleet->leader();
    ASSERT_FALSE(leader.empty());
    EXPECT_TRUE(wait_until(
        [&] {
            const auto it = instance_status(leader, cut_off)["contact_in_ms"];
            return it.is_number() && it > 3000;
        },
        absl::Seconds(8)));
    const auto seen = finish_callers();
    EXPECT_EQ(seen.answered, seen.requests);
}

// Guards against fault injection in production: without --fault-injection the path must
// not exist.
TEST(partition_fault_flag, path_is_unknown_without_the_flag)
{
    fleet_options options;
    options.binaries = CUMINPITCH_BINARY_DIR;
    options.entries = 1;
    const auto fleet = process_fleet::start(options);
    ASSERT_NE(fleet, nullptr);
    EXPECT_EQ(
        fleet
            ->post(fleet->http("entry-1"), "/.cuminpitch/v1/fault", R"({"block_to": []})")
            .status,
        404);
    EXPECT_EQ(
        fleet->post(fleet->http("control-1"), "/v1/fault", R"({"block_to": []})").status,
        404);
}

} // namespace
} // namespace cuminpitch::testing
