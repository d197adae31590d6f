#include "sample.hpp"

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

const std::vector<command> sample_commands = {
    change{
        core::change_id("c"),
        rev(3),
        {{"teams/t/x", ""}, {"teams/t/y", std::nullopt}, {"teams/t/z", "1"}},
        -5},
    entry_joined{make_entry("e1", "d1"), 77},
    entry_removed{core::instance_id("e1")},
    set_assignment{pool_a, ids({"e1", "e2"}), rev(9), true}};

std::vector<message> sample_messages()
{
    fleet_contents contents;
    contents.revision = rev(4);
    contents.settings["teams/t/x"] = "1";
    contents.entries[core::instance_id("e1")] = {make_entry("e1", "d1"), 6};
    contents.assignments[pool_a] = {rev(2), ids({"e1"})};
    const auto shared = std::make_shared<const fleet_contents>(contents);
    delta changes{rev(1), rev(4), {}};
    for (const auto& it : sample_commands) {
        changes.commands.push_back({rev(2), it});
    }
    const core::customer_id customer{core::team_id("t"), "shop"};
    const rate_state limit{
        pool_a,
        core::server_id("s1"),
        12,
        core::request_rate(2.5),
        rate_phase::ending,
        absl::Milliseconds(40)};
    const leader_address leader{core::instance_id("c1"), {"127.0.0.1", 1}};
    return {
        sync_request{
            make_entry("e1", "d1"),
            5,
            rev(8),
            true,
            {{core::instance_id("e2"), absl::Milliseconds(250)}},
            7,
            9},
        sync_response{
            changes,
            rev(4),
            leader,
            true,
            absl::Milliseconds(3),
            {{"127.0.0.1", 11}},
            {{"127.0.0.1", 21}, {"127.0.0.1", 22}}},
        sync_response{shared, rev(4), std::nullopt, false},
        state_request{rev(3)},
        state_response{rev(4), shared},
        state_response{rev(4), nullptr},
        permit_request{limit, 3, absl::FromUnixMicros(123'456)},
        permit_response{
            limit,
            absl::FromUnixMicros(123'456),
            absl::Milliseconds(5),
            2,
            absl::Milliseconds(700),
            absl::Seconds(1),
            9,
            true},
        rate_news{{limit, limit}, true},
        reach_query{
            {core::team_id("t"), "p"}, {core::server_id("s1"), core::server_id("s2")}},
        reach_report{
            {core::team_id("t"), "p"},
            true,
            7,
            {core::instance_id("e1"), core::instance_id("e2")}},
        leaving_news{{{{core::team_id("t"), "p"}, core::server_id("s1"), 7}}},
        permit_request{{}, 3, absl::FromUnixMicros(123'456), customer},
        permit_response{
            {},
            absl::FromUnixMicros(123'456),
            absl::ZeroDuration(),
            2,
            absl::Milliseconds(700),
            absl::ZeroDuration(),
            0,
            true,
            customer},
        pool_evidence{pool_a, {}, std::nullopt, {{core::server_id("s1"), 2}}},
        pool_evidence{
            pool_a,
            {{core::server_id("s1"), 1}},
            {{{core::server_id("s2"), 4}}},
            {{core::server_id("s3"), 2}}}};
}

// Guards against fields that are lost or swapped by encoding and decoding.
TEST(control_codec, commands_and_messages_round_trip)
{
    for (const auto& it : sample_commands) {
        const auto back = wire::decode_command(wire::encode(it));
        ASSERT_TRUE(back.has_value());
        EXPECT_EQ(back.value(), it);
    }
    const auto messages = sample_messages();
    std::vector<message> back;
    for (const auto& it : messages) {
        auto decoded = wire::decode_control_message(wire::encode(it));
        ASSERT_TRUE(decoded.has_value());
        back.push_back(std::move(decoded.value()));
    }
    EXPECT_EQ(std::get<sync_request>(back[0]), std::get<sync_request>(messages[0]));
    const auto& pushed = std::get<sync_response>(back[1]);
    const auto& sent = std::get<sync_response>(messages[1]);
    EXPECT_EQ(std::get<delta>(pushed.update), std::get<delta>(sent.update));
    EXPECT_EQ(pushed.current, sent.current);
    EXPECT_EQ(pushed.leader, sent.leader);
    EXPECT_TRUE(pushed.confirmed);
    EXPECT_EQ(pushed.age, sent.age);
    EXPECT_EQ(pushed.control, sent.control);
    EXPECT_EQ(pushed.named, sent.named);
    using contents_ptr = std::shared_ptr<const fleet_contents>;
    const auto& expected = *std::get<state_response>(messages[4]).contents;
    EXPECT_EQ(*std::get<contents_ptr>(std::get<sync_response>(back[2]).update), expected);
    EXPECT_EQ(std::get<state_request>(back[3]), std::get<state_request>(messages[3]));
    EXPECT_EQ(*std::get<state_response>(back[4]).contents, expected);
    EXPECT_EQ(std::get<state_response>(back[5]).contents, nullptr);
    EXPECT_EQ(std::get<permit_request>(back[6]), std::get<permit_request>(messages[6]));
    EXPECT_EQ(std::get<permit_response>(back[7]), std::get<permit_response>(messages[7]));
    EXPECT_EQ(std::get<rate_news>(back[8]), std::get<rate_news>(messages[8]));
    EXPECT_EQ(std::get<reach_query>(back[9]), std::get<reach_query>(messages[9]));
    EXPECT_EQ(std::get<reach_report>(back[10]), std::get<reach_report>(messages[10]));
    EXPECT_EQ(std::get<leaving_news>(back[11]), std::get<leaving_news>(messages[11]));
    EXPECT_EQ(std::get<permit_request>(back[12]), std::get<permit_request>(messages[12]));
    EXPECT_EQ(
        std::get<permit_response>(back[13]), std::get<permit_response>(messages[13]));
    EXPECT_EQ(std::get<pool_evidence>(back[14]), std::get<pool_evidence>(messages[14]));
    EXPECT_EQ(std::get<pool_evidence>(back[15]), std::get<pool_evidence>(messages[15]));
}

// Guards against reads outside a damaged buffer. Decoding may fail or return any value.
TEST(control_codec, damaged_buffers_are_safe)
{
    core::random_source random(11);
    std::size_t refused = 0;
    for (const auto& it : sample_messages()) {
        const auto good = wire::encode(it);
        for (std::size_t n = 0; n < good.size(); ++n) {
            EXPECT_FALSE(n < 8 && wire::decode_control_message(good.substr(0, n)));
            // The copy has the exact length, so that a sanitizer detects reads past its
            // end.
            const std::vector<char> cut(
                good.begin(), good.begin() + static_cast<long>(n));
            (void)wire::decode_control_message({cut.data(), cut.size()});
        }
        for (int i = 0; i < 2000; ++i) {
            auto bad = good;
            bad[random() % bad.size()] = static_cast<char>(random());
            refused += wire::decode_control_message(bad) ? 0 : 1;
            (void)wire::decode_command(bad);
            (void)wire::decode_snapshot(bad, bad.size());
        }
    }
    EXPECT_GT(refused, 0U);
}

/// Returns a change that sets the given number of routes.
command large_change(int routes)
{
    change it;
    it.id = core::change_id("c");
    for (int n = 0; n < routes; ++n) {
        const auto route = "teams/t/routes/r-" + std::to_string(n);
        const auto prefix = "/p" + std::to_string(n) + "/";
        it.operations.push_back({route + "/path_prefix", prefix});
        it.operations.push_back({route + "/deadline_ms", "2500"});
        it.operations.push_back({route + "/pool", "lookup"});
    }
    return it;
}

// Guards against compressing a command once for each member. With a change of 1,400
// routes and 14 members this delayed the heartbeats of the leader until it lost its role.
TEST(control_codec, long_command_is_packed_once)
{
    const command it = large_change(1400);
    const auto bytes = wire::encode(it);
    EXPECT_TRUE(wire::is_packed_command(bytes));
    EXPECT_LT(bytes.size(), 100'000U);
    const auto back = wire::decode_command(bytes);
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back.value(), it);
    auto damaged = bytes;
    damaged[damaged.size() / 2] = static_cast<char>(~damaged[damaged.size() / 2]);
    EXPECT_FALSE(wire::decode_command(damaged).has_value());
    EXPECT_FALSE(wire::decode_command(bytes.substr(0, 5)).has_value());
    EXPECT_FALSE(wire::is_packed_command(wire::encode(large_change(1))));
}

// Guards against accepting an empty instance id, which would match every
// default-constructed one, and against rejecting buffers that are not aligned in memory.
TEST(control_codec, refuses_empty_ids_and_accepts_unaligned_buffers)
{
    EXPECT_FALSE(wire::decode_command(wire::encode(entry_removed{})).has_value());
    EXPECT_FALSE(wire::decode_command(wire::encode(entry_joined{})).has_value());
    EXPECT_FALSE(wire::decode_command("").has_value());
    const auto good = "x" + wire::encode(sample_commands[0]);
    const auto back = wire::decode_command(std::string_view(good).substr(1));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back.value(), sample_commands[0]);
    fleet_state state(compile_sample);
    EXPECT_EQ(state.restore("no snapshot").error(), core::errc::malformed_message);
}

} // namespace
} // namespace cuminpitch::control
