#include "fixture.hpp"

namespace cuminpitch::testing {
namespace {

using operator_fault = fleet_test;

// Guards against lost updates: a change must not overwrite another one with the same base
// revision.
TEST_F(operator_fault, race_with_equal_base_revisions)
{
    const auto leader = fleet->leader();
    ASSERT_FALSE(leader.empty());
    const auto base = revision_at(leader);
    nlohmann::json outcomes[2];
    std::thread first([&] { outcomes[0] = submit_change("first", base, 201); });
    std::thread second([&] { outcomes[1] = submit_change("second", base, 202); });
    first.join();
    second.join();
    const std::multiset<std::string> seen = {
        outcomes[0].value("outcome", ""), outcomes[1].value("outcome", "")};
    EXPECT_EQ(seen, (std::multiset<std::string>{"applied", "conflict"}));
    // Sending the changes again returns the same outcomes.
    EXPECT_EQ(submit_change("first", base, 201)["outcome"], outcomes[0]["outcome"]);
    EXPECT_EQ(submit_change("second", base, 202)["outcome"], outcomes[1]["outcome"]);
}

} // namespace
} // namespace cuminpitch::testing
