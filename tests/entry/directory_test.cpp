#include "entry/control_link_priv.hpp"

#include "cuminpitch/config/compile.hpp"
#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

const core::endpoint control_at{"10.0.0.9", 7000};
const net::peer control_peer{core::instance_id("c1"), control_at};
const core::endpoint self_http{"10.0.0.1", 80};
const core::endpoint other_http{"10.0.0.2", 80};

node_options make_options()
{
    node_options it;
    it.self = {
        core::instance_id("e1"),
        self_http,
        {"10.0.0.1", 7000},
        core::failure_domain_id("a")};
    it.control = {control_at};
    return it;
}

class directory_test : public testing::Test
{
protected:
    directory_test() : entry(make_options(), control::make_compile_function(), metrics) {}

    std::vector<node_action> receive_named(std::vector<core::endpoint> named)
    {
        control::sync_response it;
        it.update = control::delta{};
        it.named = std::move(named);
        const net::frame frame{net::channel::control, wire::encode(control::message(it))};
        return entry.handle(now, event::frame_received{control_peer, frame});
    }

    /// The hash of the named entries in the next report to control.
    std::uint64_t next_named_hash()
    {
        now += absl::Seconds(1);
        for (auto& it : entry.handle(now, event::tick{})) {
            if (const auto* sent = std::get_if<action::send_frame>(&it)) {
                const auto message = wire::decode_control_message(sent->message.payload);
                if (const auto* report =
                        std::get_if<control::sync_request>(&message.value())) {
                    return report->named_hash;
                }
            }
        }
        ADD_FAILURE() << "no sync request was sent";
        return 0;
    }

    telemetry::metrics metrics;
    node entry;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against callers that get no entry address while no control instance can be
// reached: entries keep the list that they last received from control.
TEST_F(directory_test, names_entries_while_control_is_unreachable)
{
    EXPECT_TRUE(entry.named_entries().empty());
    receive_named({self_http, other_http});
    EXPECT_EQ(entry.named_entries().size(), 2U);
    now += absl::Seconds(60);
    entry.handle(now, event::tick{});
    EXPECT_EQ(entry.named_entries().size(), 2U);
}

// Guards against a list of entries that becomes empty when control sends no new list.
TEST_F(directory_test, keeps_the_entries_that_control_does_not_repeat)
{
    receive_named({other_http});
    EXPECT_EQ(next_named_hash(), control::endpoints_hash({other_http}));
    receive_named({});
    EXPECT_EQ(entry.named_entries(), std::vector{other_http});
}

// Guards against callers that are directed to an entry whose planned stop has begun.
TEST_F(directory_test, stopping_entry_no_longer_names_itself)
{
    receive_named({self_http, other_http});
    entry.handle(now, event::stop{});
    EXPECT_EQ(entry.named_entries(), std::vector{other_http});
}

// Guards against a lost connection to control that the log does not show.
TEST_F(directory_test, logs_loss_and_recovery_of_control)
{
    const auto logged = [&](const std::vector<node_action>& from) {
        std::vector<std::string> out;
        for (const auto& it : from) {
            if (const auto* line = std::get_if<action::write_log>(&it)) {
                out.push_back(line->event);
            }
        }
        return out;
    };
    entry.handle(now, event::tick{});
    now += absl::Seconds(2);
    EXPECT_EQ(
        logged(entry.handle(now, event::tick{})),
        std::vector<std::string>{"control instance lost"});
    EXPECT_EQ(
        logged(receive_named({})), std::vector<std::string>{"control instance found"});
    EXPECT_TRUE(logged(receive_named({})).empty());
}

// Guards against an entry that keeps using a control instance in another failure domain,
// because traffic between failure domains is expensive.
TEST_F(directory_test, asks_the_first_control_instance_of_a_new_list)
{
    const core::endpoint nearest{"10.0.0.7", 7000};
    control::sync_response it;
    it.update = control::delta{};
    it.control = {nearest, control_at};
    const net::frame frame{net::channel::control, wire::encode(control::message(it))};
    entry.handle(now, event::frame_received{control_peer, frame});
    now += absl::Seconds(1);
    const auto actions = entry.handle(now, event::tick{});
    ASSERT_FALSE(actions.empty());
    const auto* sent = std::get_if<action::send_frame>(&actions.front());
    ASSERT_NE(sent, nullptr);
    EXPECT_EQ(sent->to, nearest);
}

} // namespace
} // namespace cuminpitch::entry
