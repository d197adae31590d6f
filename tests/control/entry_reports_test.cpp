#include "control/entry_reports_priv.hpp"

#include "sample.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

class entry_reports_test : public testing::Test
{
protected:
    void report(std::uint64_t incarnation, bool is_draining)
    {
        sync_request it;
        it.entry = make_entry("a1", "a");
        it.incarnation = incarnation;
        it.draining = is_draining;
        reports.add(it, now);
    }

    entry_reports reports{absl::Seconds(2)};
    core::instance_id id{"a1"};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a delayed report that undoes what the entry reported since.
TEST_F(entry_reports_test, ignores_an_earlier_incarnation)
{
    report(2, true);
    report(1, false);
    EXPECT_TRUE(reports.is_draining(id));
}

// Guards against an entry that counts as stopping after it has started again.
TEST_F(entry_reports_test, accepts_an_entry_that_starts_after_its_clock_was_set_back)
{
    report(2, true);
    now += absl::Seconds(4);
    report(1, false);
    EXPECT_FALSE(reports.is_draining(id));
    EXPECT_TRUE(reports.has_recent_report(id, absl::Seconds(1), now));
}

} // namespace
} // namespace cuminpitch::control
