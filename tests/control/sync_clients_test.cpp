#include "sample.hpp"

#include "control/sync_clients_priv.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace cuminpitch::control {
namespace {

/// Tests one control instance and an entry that reports to it.
class sync_clients_test : public testing::Test
{
protected:
    sync_clients_test()
    {
        report.entry.id = core::instance_id("e1");
        report.entry.internal = {"127.0.0.1", 9};
        report.incarnation = 1;
        change();
    }
    void change()
    {
        ++changes;
        state.apply(
            rev(changes),
            set_change(
                std::to_string(changes),
                changes - 1,
                "teams/t/x" + std::to_string(changes),
                "1"));
    }
    std::vector<net::frame> push()
    {
        std::vector<node_action> out;
        all_sent = clients.push(now, state, std::nullopt, absl::ZeroDuration(), out);
        std::vector<net::frame> frames;
        for (auto& it : out) {
            if (auto* sent = std::get_if<action::send_frame>(&it)) {
                frames.push_back(std::move(sent->message));
            }
        }
        return frames;
    }

    fleet_state state{compile_sample};
    sync_clients clients;
    sync_request report;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::uint64_t changes = 0;
    bool all_sent = false; ///< By the last push().
};

// Guards against sending a second copy of an update that is still in transit: on a link
// of 2.1 Mbit/s copies were queued faster than they were transmitted.
TEST_F(sync_clients_test, update_in_transit_is_not_sent_again)
{
    EXPECT_EQ(clients.record_report(now, report), rev(0));
    EXPECT_EQ(push().size(), 1U);
    EXPECT_TRUE(push().empty());
    now += absl::Milliseconds(500);
    EXPECT_EQ(clients.record_report(now, report), rev(1));
    EXPECT_TRUE(push().empty());
}

// Guards against never resending an update that was lost in transit.
TEST_F(sync_clients_test, lost_update_is_sent_again)
{
    clients.record_report(now, report);
    push();
    now += absl::Milliseconds(1200);
    EXPECT_EQ(clients.record_report(now, report), rev(0));
    EXPECT_EQ(push().size(), 1U);
}

// Guards against resending a large update before a slow link can transmit it, and against
// resending one that is queued behind it.
TEST_F(sync_clients_test, large_update_has_a_longer_delivery_time)
{
    constexpr std::size_t bytes = 256U << 10U;
    clients.record_report(now, report);
    clients.record_sent(now, report.entry.id, rev(1), bytes);
    now += absl::Milliseconds(1200);
    EXPECT_EQ(clients.record_report(now, report), rev(1));
    change();
    EXPECT_EQ(push().size(), 1U);
    now += absl::Milliseconds(1200);
    EXPECT_EQ(clients.record_report(now, report), rev(2));
    now += absl::Milliseconds(1200);
    EXPECT_EQ(clients.record_report(now, report), rev(0));
}

// Guards against one step that sends the state to hundreds of entries while messages
// between control instances wait.
TEST_F(sync_clients_test, large_updates_are_divided_into_steps)
{
    constexpr std::size_t clients_count = 100;
    for (int n = 0; n < 2000; ++n) {
        change();
    }
    for (std::size_t i = 0; i < clients_count; ++i) {
        report.entry.id = core::instance_id("e" + std::to_string(i));
        clients.record_report(now, report);
    }
    std::size_t sent = 0;
    std::size_t steps = 0;
    for (all_sent = false; !all_sent; ++steps) {
        const auto frames = push();
        std::size_t bytes = 0;
        for (const auto& it : frames) {
            bytes += it.payload.size();
        }
        EXPECT_LE(bytes, (256U << 10U) + frames.front().payload.size());
        sent += frames.size();
    }
    EXPECT_EQ(sent, clients_count);
    EXPECT_GT(steps, 1U);
}

// Guards against omitting updates for a restarted entry because they were sent to its
// earlier incarnation.
TEST_F(sync_clients_test, restarted_entry_gets_the_state_at_once)
{
    clients.record_report(now, report);
    push();
    report.incarnation = 2;
    EXPECT_EQ(clients.record_report(now, report), rev(0));
    EXPECT_EQ(push().size(), 1U);
}

// Guards against encoding and compressing an update once for each of hundreds of entries.
TEST_F(sync_clients_test, entries_with_the_same_revision_get_the_same_bytes)
{
    for (int i = 0; i < 300; ++i) {
        report.entry.id = core::instance_id("e" + std::to_string(i));
        report.in_force = rev(i == 7 ? 0 : 1);
        clients.record_report(now, report);
    }
    change();
    const auto frames = push();
    ASSERT_EQ(frames.size(), 300U);
    std::set<std::string> different;
    for (const auto& it : frames) {
        different.insert(it.payload);
    }
    EXPECT_EQ(different.size(), 2U);
}

} // namespace
} // namespace cuminpitch::control
