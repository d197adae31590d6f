#include "fixture.hpp"

#include "cuminpitch/control/declared_settings.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

const core::endpoint healthy{"10.0.0.1", 80};
const core::endpoint failing{"10.0.0.2", 80};

/// An entry that serves pool t/p, which has two servers.
class reported_failures_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    reported_failures_test()
    {
        auto options = entry_options();
        options.seed = GetParam();
        entry =
            std::make_unique<node>(options, control::make_compile_function(), metrics);
        const auto contents = make_contents();
        add_server(*contents, "well", healthy, "d", 4);
        add_server(*contents, "failing", failing, "d", 4);
        entry->handle(now, full_state(contents));
        entry->handle(now, event::tick{});
    }

    std::optional<core::endpoint> target_of_request()
    {
        for (const auto& it : entry->handle(now, make_request(1))) {
            if (const auto* call = std::get_if<action::start_call>(&it)) {
                return call->request.to;
            }
        }
        return std::nullopt;
    }

    telemetry::metrics metrics;
    std::unique_ptr<node> entry;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a request that is sent to a server which another entry has just reported
// as failing. Reports take effect at the next tick, because processing each one
// separately would be too much work: with 105 entries, 120 reports arrived per second.
TEST_P(reported_failures_test, apply_from_the_next_tick)
{
    control::pool_evidence it;
    it.pool = pool;
    it.failures.push_back({core::server_id("failing"), 1});
    entry->handle(now, frame_with(it));
    now += absl::Milliseconds(20);
    entry->handle(now, event::tick{});
    EXPECT_EQ(target_of_request(), healthy);
}

INSTANTIATE_TEST_SUITE_P(
    seeds, reported_failures_test, testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace cuminpitch::entry
