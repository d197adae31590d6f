#include "fixture.hpp"

#include "cuminpitch/control/declared_settings.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

constexpr absl::Duration grace = absl::Seconds(6);

class planned_stop : public testing::Test
{
protected:
    planned_stop()
    {
        auto options = entry_options();
        options.stop_grace = grace / 2;
        options.stop_timeout = grace;
        options.closes_when_stopping = true;
        entry =
            std::make_unique<node>(options, control::make_compile_function(), metrics);
        entry->handle(now, event::tick{});
        const auto contents = make_contents();
        contents->settings["teams/t/routes/r/deadline_ms"] = "60000";
        add_server(*contents, "s", {"10.0.0.1", 80}, "d", 40);
        entry->handle(now, full_state(contents));
    }

    void advance(absl::Duration time)
    {
        const absl::Time end = now + time;
        for (; now < end; now += absl::Milliseconds(20)) {
            entry->handle(now, event::tick{});
        }
    }

    /// Status with which a request is refused, or 0 if it is sent to the server.
    int outcome_of_request(absl::Duration deadline)
    {
        auto it = make_request(++last_id);
        auto message = std::make_shared<http::request>(*it.message);
        message->headers.set(
            "Cuminpitch-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(deadline)));
        int out = -1;
        for (const auto& action :
             entry->handle(now, event::http_request{it.id, message})) {
            if (const auto* refused = std::get_if<action::http_respond>(&action)) {
                out = refused->response.status;
            } else if (std::holds_alternative<action::start_call>(action)) {
                out = 0;
            }
        }
        return out;
    }

    /// The action of this type; null if there is none or more than one.
    template <class T>
    static const T* only(const std::vector<node_action>& from)
    {
        const T* out = nullptr;
        for (const auto& it : from) {
            if (const T* found = std::get_if<T>(&it)) {
                if (out != nullptr) {
                    return nullptr;
                }
                out = found;
            }
        }
        return out;
    }

    telemetry::metrics metrics;
    std::unique_ptr<node> entry;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::uint64_t last_id = 0;
};

// Guards against a request that is passed on late in the grace period and cut without an
// answer when the process is killed.
TEST_F(planned_stop, refuses_requests_that_may_outlast_it)
{
    EXPECT_EQ(outcome_of_request(absl::Seconds(20)), 0);
    entry->handle(now, event::stop{});
    EXPECT_EQ(outcome_of_request(absl::Seconds(20)), 503);
    EXPECT_EQ(outcome_of_request(absl::Seconds(5)), 0);
    advance(absl::Seconds(2));
    EXPECT_EQ(outcome_of_request(absl::Seconds(5)), 503);
    EXPECT_EQ(outcome_of_request(absl::Milliseconds(3500)), 0);
    advance(absl::Milliseconds(1100));
    EXPECT_EQ(outcome_of_request(absl::Milliseconds(100)), 503);
}

// Guards against a response that closes its connection although requests behind it run at
// servers: only the server that has the connection knows which response is the last.
TEST_F(planned_stop, leaves_the_end_of_connections_to_the_server)
{
    const auto sent = entry->handle(now, make_request(++last_id));
    const auto* call = only<action::start_call>(sent);
    ASSERT_NE(call, nullptr);
    EXPECT_NE(
        only<action::drain_connections>(entry->handle(now, event::stop{})), nullptr);
    EXPECT_EQ(
        only<action::drain_connections>(entry->handle(now, event::stop{})), nullptr);
    http::client_result result;
    result.verdict = core::verdict::ran;
    const auto answered =
        entry->handle(now, event::call_finished{call->call, std::move(result)});
    const auto* answer = only<action::http_respond>(answered);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->response.status, 200);
    EXPECT_FALSE(answer->response.headers.has("Connection"));
}

} // namespace
} // namespace cuminpitch::entry
