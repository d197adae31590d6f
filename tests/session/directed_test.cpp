#include "session/traffic.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace cuminpitch::testing {
namespace {

using json = nlohmann::json;

/// Forms the group, then restarts control instance 2 with an empty disk while messages
/// from the other instances to it are dropped.
void restart_wiped_and_isolated(memory_fleet& fleet)
{
    fleet.form_group();
    fleet.crash_control(2);
    fleet.wipe_disk(2);
    fleet.cut(fleet.control_http(0).host, fleet.control_http(2).host);
    fleet.cut(fleet.control_http(1).host, fleet.control_http(2).host);
    fleet.start_control(2);
    fleet.run_for(absl::Seconds(1));
}

// Guards against dispatch to a server that left while the entry was frozen: requests that
// arrived meanwhile are handled before the first tick after the resume.
TEST(fleet_directed, resumed_entry_gives_no_work_to_a_departed_server)
{
    memory_fleet fleet({.seed = 3, .entries = 3});
    traffic callers(fleet, guarda_chuva(2, 4));
    callers.start_fleet();
    const auto& route = callers.what().routes[1]; // POST /loans, pool lending.
    const auto entry = fleet.entry(0).http.str();
    callers.send(route, entry);
    fleet.run_for(absl::Seconds(1));
    ASSERT_EQ(fleet.executions().size(), 1U);

    fleet.freeze_entry(0);
    auto& server = fleet.backends().front();
    ASSERT_EQ(server.pool, "lending");
    fleet.leave(server);
    fleet.run_for(absl::Seconds(6));
    for (int i = 0; i < 8; ++i) {
        callers.send(route, entry);
    }
    fleet.run_for(absl::Milliseconds(100));
    fleet.thaw_entry(0);
    fleet.run_for(absl::Seconds(5));

    for (const auto& [id, runs] : fleet.executions()) {
        for (const auto& it : runs) {
            EXPECT_LE(it.sent - it.leaving_since, absl::Seconds(2))
                << "request " << id << " at " << it.server;
        }
    }
    for (const auto& it : callers.sent()) {
        EXPECT_EQ(it.results, 1);
        EXPECT_NE(it.verdict(), "may-have-run");
    }
    const auto& last = callers.send(route, entry);
    fleet.run_for(absl::Seconds(1));
    EXPECT_EQ(last.result.response.status, 200);
}

// Guards against a second group: an operator repeated init at an instance that had lost
// its disk, which formed a group of its own that it could never leave.
TEST(fleet_directed, init_at_an_emptied_instance_is_refused)
{
    memory_fleet fleet({.seed = 3, .entries = 1});
    restart_wiped_and_isolated(fleet);
    fleet.heal();

    json instances = json::array();
    for (std::size_t i = 0; i < fleet.controls(); ++i) {
        instances.push_back(fleet.control_http(i).host + ":9080");
    }
    http::client_request init;
    init.to = fleet.control_http(2);
    init.method = "POST";
    init.target = "/v1/init";
    init.body = json{{"instances", instances}}.dump();
    int formed = 0;
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.call("10.5.0.1", init, [&](const http::client_result& it) {
            formed += it.response.status == 200 ? 1 : 0;
            refused += it.response.status == 409 ? 1 : 0;
        });
        fleet.run_for(absl::Milliseconds(5));
    }
    EXPECT_EQ(formed, 0);
    EXPECT_GT(refused, 0);

    // The instance then joins the group of the others with its new identity.
    fleet.run_for(absl::Seconds(3));
    std::string status_body;
    fleet.stop_control(0);
    fleet.run_for(absl::Seconds(2));
    fleet.ask_control(
        "GET", "/v1/status", "", [&](const auto& it) { status_body = it.body; });
    fleet.run_for(absl::Seconds(2));
    EXPECT_FALSE(status_body.empty());
    fleet.call("10.5.0.1", init, [&](const http::client_result& it) {
        formed += it.response.status == 200 ? 1 : 0;
    });
    fleet.run_for(absl::Seconds(1));
    EXPECT_EQ(formed, 1);
}

// Guards against an instance without state that returns empty settings: an operator's
// tool would then apply all settings again or report them as deleted.
TEST(fleet_directed, instance_in_no_group_answers_no_settings)
{
    memory_fleet fleet({.seed = 3, .entries = 1});
    restart_wiped_and_isolated(fleet);
    http::client_request ask;
    ask.to = fleet.control_http(2);
    ask.method = "GET";
    ask.target = "/v1/settings";
    int status = 0;
    fleet.call("10.5.0.1", ask, [&](const http::client_result& it) {
        status = it.response.status;
    });
    fleet.run_for(absl::Seconds(1));
    EXPECT_EQ(status, 503);
}

} // namespace
} // namespace cuminpitch::testing
