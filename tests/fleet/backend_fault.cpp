#include "fixture.hpp"

namespace cuminpitch::testing {
namespace {

using backend_fault = fleet_test;

constexpr std::int64_t departure_ms = 2000; // As the example sets it for pool lending.
constexpr std::int64_t margin_ms = 1000;

// Guards against an entry that was frozen when a server announced its departure and keeps
// dispatching requests to that server after it resumes.
TEST_F(backend_fault, leaving_while_an_entry_is_frozen)
{
    const auto frozen = assigned_entries().front();
    start_lender(10, 30);
    absl::SleepFor(absl::Seconds(1));
    fleet->freeze(frozen);
    absl::SleepFor(absl::Milliseconds(200));
    const auto left_ms = absl::ToUnixMillis(absl::Now());
    ASSERT_EQ(
        fleet->post(fleet->http("lend-1"), "/_fake/faults", R"({"leaves": true})").status,
        200);
    absl::SleepFor(absl::Seconds(4));
    fleet->resume(frozen);
    finish_callers();
    ASSERT_FALSE(fleet->executions_of("lend-1").empty());
    for (const auto& it : fleet->executions_of("lend-1")) {
        EXPECT_LE(it.begin_ms, left_ms + departure_ms + margin_ms) << it.request_id;
    }
}

// Guards against servers that appear departed shortly before each renewal: the age of an
// announcement reaches two renewal intervals, because its echo is that of the previous
// announcement.
TEST_F(backend_fault, renewals_keep_a_present_server_fresh)
{
    const nlohmann::json announcement = {
        {"team", "guarda-chuva"},
        {"pool", "lending"},
        {"server", "extra"},
        {"incarnation", 1},
        {"sequence", 1},
        {"state", "active"},
        {"address", "127.0.0.1:9"},
        {"slots", 1}};
    const auto answer = fleet->post(
        fleet->http(assigned_entries().front()),
        "/.cuminpitch/v1/announce",
        announcement.dump());
    ASSERT_EQ(answer.status, 200);
    const auto body = nlohmann::json::parse(answer.body);
    EXPECT_LT(2 * body["renew_ms"].get<std::int64_t>(), departure_ms);
}

} // namespace
} // namespace cuminpitch::testing
