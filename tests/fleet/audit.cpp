#include "fixture.hpp"

namespace cuminpitch::testing {
namespace {

using audit_test = fleet_test;

// Guards against an audit that misses lost or doubled requests: the demo and the tests of
// this folder would then pass despite such errors.
TEST_F(audit_test, sees_lost_and_doubled_requests)
{
    start_lender(1, 20);
    const auto good = finish_callers();
    ASSERT_EQ(good.answered, 20U);
    const auto runs = fleet->executions();
    ASSERT_EQ(runs.size(), 20U);
    auto changed = runs;
    changed.push_back(runs.front());
    EXPECT_EQ(audit(*fleet, callers, changed).doubled, 1U);
    changed = runs;
    changed.pop_back();
    EXPECT_EQ(audit(*fleet, callers, changed).lost, 1U);
    callers["lender"] = 21;
    EXPECT_EQ(audit(*fleet, callers, runs).lost, 1U);
}

} // namespace
} // namespace cuminpitch::testing
