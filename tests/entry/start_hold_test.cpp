// After a stop of all processes, entries take requests before control has a leader again.

#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace cuminpitch::entry {
namespace {

const core::pool_id pool{core::team_id("t"), "p"};
const core::endpoint server_at{"10.0.0.1", 80};
constexpr int sent = 0; ///< Outcome of a request that went to the server.

class start_hold_test : public testing::Test
{
protected:
    start_hold_test()
    {
        node_options options;
        options.self = {
            core::instance_id("self"),
            {"10.0.0.8", 80},
            {"10.0.0.8", 7000},
            core::failure_domain_id("d")};
        options.start_window = absl::Milliseconds(2500);
        options.start_hold = absl::Milliseconds(1200);
        entry_ =
            std::make_unique<node>(options, control::make_compile_function(), metrics_);
        advance(absl::ZeroDuration());
    }

    /// Ticks until that much time has passed.
    void advance(absl::Duration time)
    {
        const auto end = now_ + time;
        do {
            handle(event::tick{});
            now_ = std::min(end, now_ + absl::Milliseconds(20));
        } while (now_ < end);
        handle(event::tick{});
    }

    void request(std::uint64_t id)
    {
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = message->path = "/x";
        message->headers.add("Host", "h");
        handle(event::http_request{core::request_id(id), message});
    }

    void receive_state()
    {
        auto contents = std::make_shared<control::fleet_contents>();
        contents->revision = core::revision(1);
        contents->settings = {
            {"teams/t/pools/p/every_entry", "true"},
            {"teams/t/routes/r/host", "\"h\""},
            {"teams/t/routes/r/path_prefix", "\"/\""},
            {"teams/t/routes/r/pool", "\"p\""},
            {"teams/t/routes/r/idempotent", "false"}};
        control::server_record server;
        server.pool = pool;
        server.announcement.server = core::server_id("s");
        server.announcement.address = server_at;
        server.announcement.failure_domain = core::failure_domain_id("d");
        server.announcement.slots = 4;
        contents->servers[server.announcement.server] = server;
        const std::shared_ptr<const control::fleet_contents> shared = contents;
        const control::message state =
            control::sync_response{shared, core::revision(1), {}, true};
        handle(event::frame_received{
            {core::instance_id("control"), {"10.0.0.9", 7000}},
            {net::channel::control, wire::encode(state)}});
    }

    std::map<std::uint64_t, int> outcomes;

private:
    void handle(node_event it)
    {
        for (const auto& out : entry_->handle(now_, std::move(it))) {
            if (const auto* response = std::get_if<action::http_respond>(&out)) {
                outcomes[response->id.value()] = response->response.status;
            } else if (const auto* call = std::get_if<action::start_call>(&out);
                       call != nullptr && call->request.to == server_at) {
                outcomes[++calls_] = sent;
            }
        }
    }

    telemetry::metrics metrics_;
    std::unique_ptr<node> entry_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::uint64_t calls_ = 0;
};

// Guards against refusing all that waited, a moment before the state is there: entries
// had it 1.5 to 1.9 s after their start and stopped waiting after 1.2 s.
TEST_F(start_hold_test, later_requests_wait_for_a_late_state)
{
    advance(absl::Milliseconds(1100));
    request(1);
    advance(absl::Milliseconds(700));
    EXPECT_TRUE(outcomes.empty());
    receive_state();
    advance(absl::Milliseconds(20));
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, sent}}));
}

// Guards against holding a request until its caller has no time left.
TEST_F(start_hold_test, no_request_waits_longer_than_the_limit)
{
    request(1);
    advance(absl::Milliseconds(1180));
    EXPECT_TRUE(outcomes.empty());
    advance(absl::Milliseconds(40));
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, 503}}));
}

// Guards against an entry that makes callers wait while control is away for long.
TEST_F(start_hold_test, refuses_at_once_when_the_start_is_over)
{
    advance(absl::Milliseconds(2600));
    request(1);
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, 503}}));
}

} // namespace
} // namespace cuminpitch::entry
