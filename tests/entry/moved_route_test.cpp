#include "fixture.hpp"

#include "cuminpitch/control/declared_settings.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpitch::entry {
namespace {

// Guards against a 404 for requests that wait when one change moves their route to
// another service and leaves the old one out: the new pool must be known before the old
// one goes.
TEST(moved_route, waiting_requests_are_sent_to_the_new_service)
{
    const core::endpoint old_server{"10.0.0.1", 80};
    const core::endpoint new_server{"10.0.0.2", 80};
    telemetry::metrics metrics;
    node entry(entry_options(), control::make_compile_function(), metrics);
    const absl::Time now = absl::FromUnixSeconds(1000);
    entry.handle(now, event::tick{});
    const auto before = make_contents();
    add_server(*before, "s", old_server, "d", 1);
    entry.handle(now, full_state(before));

    const auto after = std::make_shared<control::fleet_contents>(*before);
    after->revision = core::revision(2);
    after->settings.erase("teams/t/pools/p/every_entry");
    after->settings["teams/t/pools/a-new/every_entry"] = "true";
    after->settings["teams/t/routes/r/pool"] = "\"a-new\"";
    add_server(*after, "n", new_server, "d", 4);
    after->servers[core::server_id("n")].pool.name = "a-new";

    std::vector<core::endpoint> called;
    const auto count = [&](const std::vector<node_action>& from) {
        for (const auto& it : from) {
            EXPECT_FALSE(std::holds_alternative<action::http_respond>(it));
            if (const auto* call = std::get_if<action::start_call>(&it)) {
                called.push_back(call->request.to);
            }
        }
    };
    for (std::uint64_t id = 1; id <= 3; ++id) {
        count(entry.handle(now, make_request(id)));
    }
    count(entry.handle(
        now, frame_with(control::sync_response{after, core::revision(2), {}, true})));
    EXPECT_EQ(called, (std::vector<core::endpoint>{old_server, new_server, new_server}));
}

} // namespace
} // namespace cuminpitch::entry
