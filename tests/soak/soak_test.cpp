#include "soak/soak_run.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace cuminpitch::testing {
namespace {

/// CUMINPITCH_SOAK_SEEDS=FIRST-LAST runs these seeds instead of the default ones;
/// CUMINPITCH_SOAK_SECONDS sets for how long faults are injected in each run.
std::vector<std::uint64_t> seeds()
{
    // Seeds that have failed stay in this list; docs/soak.md gives the cause of each.
    std::vector<std::uint64_t> out = {1, 2, 9004, 9006};
    if (const char* text = std::getenv("CUMINPITCH_SOAK_SEEDS")) {
        const std::string range = text;
        const auto dash = range.find('-');
        std::uint64_t first = 0;
        std::uint64_t last = 0;
        if (dash != std::string::npos &&
            absl::SimpleAtoi(range.substr(0, dash), &first) &&
            absl::SimpleAtoi(range.substr(dash + 1), &last)) {
            out.clear();
            for (auto seed = first; seed <= last; ++seed) {
                out.push_back(seed);
            }
        }
    }
    return out;
}

absl::Duration length()
{
    double seconds = 10;
    if (const char* text = std::getenv("CUMINPITCH_SOAK_SECONDS")) {
        EXPECT_TRUE(absl::SimpleAtod(text, &seconds)) << text;
    }
    return absl::Seconds(seconds);
}

class soak_test : public ::testing::TestWithParam<std::uint64_t>
{
};

// Guards against violated guarantees under series of faults that overlap.
TEST_P(soak_test, guarantees_hold)
{
    const auto it = run_soak({CUMINPITCH_BINARY_DIR, GetParam(), length()});
    std::cout << "seed " << GetParam() << ": " << it.requests << " requests, "
              << it.served << " served, " << it.served_at_end << " at the end, "
              << it.faults.size() << " faults, " << it.repetitions
              << " writes of second answers, ";
    if (it.has_customers) {
        std::cout << "customers, " << it.over_rate << " over their rate, "
                  << it.unauthorized << " without a valid key, ";
    }
    std::cout << "logs in " << it.folder << std::endl;
    EXPECT_GT(it.requests, 0U);
    EXPECT_GT(it.repetitions, 0U);
    if (it.has_customers) {
        EXPECT_GT(it.over_rate, 0U);
        EXPECT_GT(it.unauthorized, 0U);
    }
    EXPECT_TRUE(it.problems.empty()) << absl::StrJoin(it.problems, "\n") << "\nfaults:\n"
                                     << absl::StrJoin(it.faults, "\n");
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_test, ::testing::ValuesIn(seeds()));

} // namespace
} // namespace cuminpitch::testing
