#include "fixture.hpp"

namespace cuminpitch::testing {
namespace {

using entry_fault = fleet_test;

// Guards against a non-idempotent request that runs twice when its entry is killed.
TEST_F(entry_fault, killed_under_load)
{
    start_lender(7);
    absl::SleepFor(absl::Seconds(2));
    fleet->kill(assigned_entries().front());
    const auto it = finish_callers();
    // Two of three assigned entries are left, so more than half must be answered.
    EXPECT_GT(it.answered, it.requests / 2);
}

// Guards against an entry that acts on expired leases or answers when it resumes after a
// freeze.
TEST_F(entry_fault, frozen_and_resumed)
{
    const auto frozen = assigned_entries().front();
    start_lender(10, 30);
    absl::SleepFor(absl::Seconds(1));
    fleet->freeze(frozen);
    absl::SleepFor(absl::Seconds(6));
    fleet->resume(frozen);
    finish_callers();
    EXPECT_TRUE(wait_until([&] { return get_stock(frozen) == 200; }, absl::Seconds(5)));
}

// Guards against an entry that can't start while control is unreachable.
TEST_F(entry_fault, restarted_while_control_is_down)
{
    const auto revision = entry_status("entry-2")["revision"].get<std::uint64_t>();
    for (const auto& name : fleet->control_names()) {
        fleet->kill(name);
    }
    fleet->kill("entry-2");
    ASSERT_TRUE(fleet->launch("entry-2"));
    // The entry asks its peers after 2 s without contact with control.
    EXPECT_TRUE(wait_for_revision("entry-2", revision, absl::Seconds(10)));
    EXPECT_TRUE(
        wait_until([&] { return get_stock("entry-2") == 200; }, absl::Seconds(10)));
}

// Guards against a graceful shutdown that aborts requests in flight or refuses callers
// that still use a cached list of entries.
TEST_F(entry_fault, stopped_under_load)
{
    const auto stopped = assigned_entries().front();
    start_lender(12);
    absl::SleepFor(absl::Seconds(2));
    fleet->stop(stopped);
    // The shutdown takes at most keep_ms + 1 s, the route's deadline of 5 s and a flush
    // time of 5 s.
    EXPECT_EQ(fleet->wait_exit(stopped, absl::Seconds(17)), 0);
    const auto it = finish_callers();
    EXPECT_EQ(it.may_have_run, 0U);
    EXPECT_EQ(it.answered, it.requests);
}

} // namespace
} // namespace cuminpitch::testing
