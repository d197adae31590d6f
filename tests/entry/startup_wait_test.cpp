// After a restart of the whole fleet, entries receive requests before control has elected
// a leader.

#include "fixture.hpp"

#include "cuminpitch/control/declared_settings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace cuminpitch::entry {
namespace {

const core::endpoint server_at{"10.0.0.1", 80};
constexpr int sent = 0; ///< Outcome of a request that was sent to the server.

class startup_wait_test : public testing::Test
{
protected:
    startup_wait_test()
    {
        auto options = entry_options();
        options.start_window = absl::Milliseconds(2500);
        options.max_start_wait = absl::Milliseconds(1200);
        options.stale_state_limit = absl::Milliseconds(700);
        entry_ =
            std::make_unique<node>(options, control::make_compile_function(), metrics_);
        advance(absl::ZeroDuration());
    }

    /// Advances the clock by `time` with a tick every 20 ms.
    void advance(absl::Duration time)
    {
        const auto end = now_ + time;
        do {
            handle(event::tick{});
            now_ = std::min(end, now_ + absl::Milliseconds(20));
        } while (now_ < end);
        handle(event::tick{});
    }

    bool is_idle() const { return entry_->is_idle(); }
    bool is_ready() const { return entry_->is_ready(); }
    void request(std::uint64_t id) { handle(make_request(id)); }

    void receive_state(std::uint64_t revision = 1)
    {
        const auto contents = make_contents();
        contents->revision = core::revision(revision);
        add_server(*contents, "s", server_at, "d", 4);
        handle(full_state(contents));
    }

    /// Delivers a state with another route only, from a control instance that has
    /// restarted and has no recent contact with a majority.
    void receive_old_state(std::uint64_t revision)
    {
        const auto contents = make_contents();
        contents->settings["teams/t/routes/r/host"] = "\"other\"";
        receive_from_restarted(contents, revision);
    }

    /// Delivers the state of a fleet before the first declarations.
    void receive_empty_state(std::uint64_t revision)
    {
        const auto contents = make_contents();
        contents->settings.clear();
        receive_from_restarted(contents, revision);
    }

    void receive_from_restarted(
        const std::shared_ptr<control::fleet_contents>& contents, std::uint64_t revision)
    {
        contents->revision = core::revision(revision);
        control::sync_response it{contents, contents->revision, {}, false};
        it.age = absl::Hours(1);
        handle(frame_with(it));
    }

    std::map<std::uint64_t, int> outcomes;

private:
    void handle(node_event input)
    {
        for (const auto& out : entry_->handle(now_, std::move(input))) {
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

// Guards against refusing all waiting requests shortly before the state arrives: entries
// received it 1.5 to 1.9 s after startup but stopped waiting after 1.2 s.
TEST_F(startup_wait_test, later_requests_wait_for_a_late_state)
{
    advance(absl::Milliseconds(1100));
    request(1);
    advance(absl::Milliseconds(700));
    EXPECT_TRUE(outcomes.empty());
    receive_state();
    advance(absl::Milliseconds(20));
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, sent}}));
}

// Guards against a request that waits until the deadline of its caller has passed.
TEST_F(startup_wait_test, no_request_exceeds_the_maximum_wait)
{
    request(1);
    advance(absl::Milliseconds(1180));
    EXPECT_TRUE(outcomes.empty());
    advance(absl::Milliseconds(40));
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, 503}}));
}

// Guards against an entry that starts with an outdated state and responds with 404 to
// routes that were acknowledged later: control instances that restart together know only
// their last snapshot until one of them becomes leader.
TEST_F(startup_wait_test, stale_state_is_not_used_immediately)
{
    receive_old_state(1);
    request(1);
    advance(absl::Milliseconds(500));
    EXPECT_TRUE(outcomes.empty());
    receive_state(2);
    advance(absl::Milliseconds(20));
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, sent}}));
}

// Guards against an entry that serves no requests because control remains without a
// leader: an outdated state is better than none.
TEST_F(startup_wait_test, old_state_is_used_after_the_start_window)
{
    receive_old_state(1);
    advance(absl::Milliseconds(2600));
    request(1);
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, 404}}));
}

// Guards against callers that get a final 404 from an entry before the first
// declarations.
TEST_F(startup_wait_test, entry_without_declarations_is_not_ready)
{
    receive_empty_state(3);
    advance(absl::Seconds(3));
    EXPECT_FALSE(is_ready());
    request(1);
    EXPECT_EQ(outcomes[1], 503);
    receive_state(4);
    advance(absl::Milliseconds(100));
    EXPECT_TRUE(is_ready());
    request(2);
    EXPECT_EQ(outcomes[2], sent);
}

// Guards against an entry that processes its requests only ten times per second.
TEST_F(startup_wait_test, entry_with_a_request_is_not_idle)
{
    EXPECT_FALSE(is_idle());
    receive_state();
    advance(absl::Milliseconds(20));
    EXPECT_TRUE(is_idle());
    request(1);
    EXPECT_FALSE(is_idle());
}

// Guards against callers that have to wait although control has been unreachable for
// long.
TEST_F(startup_wait_test, refuses_immediately_after_the_start_window)
{
    advance(absl::Milliseconds(2600));
    request(1);
    EXPECT_EQ(outcomes, (std::map<std::uint64_t, int>{{1, 503}}));
}

} // namespace
} // namespace cuminpitch::entry
