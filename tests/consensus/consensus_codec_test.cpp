#include "cuminpitch/wire/consensus_codec.hpp"

#include "cuminpitch/core/random.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

envelope make_envelope(message it)
{
    return {group_id(9), member_id("from"), member_id("to"), std::move(it)};
}

member_set two_members()
{
    return member_set(
        {{member_id("a"), core::instance_id("c-1"), {"127.0.0.1", 1}, member_role::voter},
         {member_id("b"),
          core::instance_id("c-2"),
          {"127.0.0.2", 2},
          member_role::learner}});
}

append_request three_entries()
{
    append_request out;
    out.term = core::term(5);
    out.previous_index = core::log_index(10);
    out.previous_term = core::term(3);
    out.commit = core::log_index(8);
    out.sent_us = -7;
    out.majority_age_us = 9;
    out.entries = {
        {core::log_index(11), core::term(3), command{std::string("a\0b", 3)}},
        {core::log_index(12), core::term(5), no_operation{}},
        {core::log_index(13), core::term(5), two_members()}};
    return out;
}

snapshot_request snapshot_part()
{
    return {
        core::term(5),
        {core::log_index(7), core::term(4), two_members()},
        3,
        6,
        "xyz",
        99};
}

bool is_accepted(const message& it)
{
    return wire::decode_envelope(wire::encode(make_envelope(it))).has_value();
}

// Guards against fields that are lost or swapped by encoding and decoding.
TEST(consensus_codec, keeps_all_fields)
{
    const std::vector<message> all = {
        vote_request{core::term(1), core::log_index(2), core::term(3), true, false},
        vote_request{core::term(1), core::log_index(2), core::term(3), false, true},
        vote_response{core::term(1), true, false},
        vote_response{core::term(1), false, true},
        three_entries(),
        append_response{core::term(1), true, core::log_index(2), core::log_index(3), 4},
        snapshot_part(),
        snapshot_response{core::term(1), core::log_index(2), 3, 4},
        timeout_now{core::term(1)}};
    for (const auto& it : all) {
        const auto decoded = wire::decode_envelope(wire::encode(make_envelope(it)));
        ASSERT_TRUE(decoded) << it.index();
        EXPECT_EQ(decoded.value(), make_envelope(it)) << it.index();
    }
}

// Guards against messages that pass verification but would make the log inconsistent.
TEST(consensus_codec, rejects_inconsistent_messages)
{
    auto gap = three_entries();
    gap.entries[1].index = core::log_index(20);
    auto term_falls = three_entries();
    term_falls.entries[2].term = core::term(3);
    auto future_term = three_entries();
    future_term.entries[2].term = core::term(6);
    auto bad_endpoint = three_entries();
    bad_endpoint.entries[2].payload = member_set(
        {{member_id("a"), core::instance_id("c"), {"name", 1}, member_role::voter}});
    auto beyond_end = snapshot_part();
    beyond_end.offset = 4;
    for (const message& it :
         std::vector<message>{gap, term_falls, future_term, bad_endpoint, beyond_end}) {
        EXPECT_FALSE(is_accepted(it));
    }
    envelope no_sender = make_envelope(timeout_now{});
    no_sender.from = {};
    EXPECT_EQ(
        wire::decode_envelope(wire::encode(no_sender)).error(),
        core::errc::malformed_message);
}

// Guards against reads outside of a damaged or truncated buffer.
TEST(consensus_codec, survives_damaged_buffers)
{
    core::random_source random(3);
    const std::string whole = wire::encode(make_envelope(three_entries()));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const std::vector<char> part(
            whole.begin(), whole.begin() + static_cast<long>(size));
        const auto decoded = wire::decode_envelope({part.data(), part.size()});
        const bool lacks_only_padding = whole.size() - size < sizeof(std::uint32_t);
        EXPECT_TRUE(!decoded || lacks_only_padding) << size;
    }
    const std::string shifted = "x" + whole;
    EXPECT_TRUE(wire::decode_envelope(std::string_view(shifted).substr(1)));
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = whole;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto decoded = wire::decode_envelope(damaged);
        if (decoded) {
            ASSERT_EQ(
                wire::decode_envelope(wire::encode(decoded.value())).value(),
                decoded.value());
        }
    }
    EXPECT_FALSE(wire::decode_envelope(""));
    EXPECT_FALSE(wire::decode_envelope(std::string(64, '\xff')));
}

} // namespace
} // namespace cuminpitch::consensus
