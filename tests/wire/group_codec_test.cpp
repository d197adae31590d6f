#include "cuminpitch/wire/group_codec.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::wire {
namespace {

control::group_hello make_hello()
{
    control::group_hello it;
    it.identity = consensus::member_id("a1b2");
    it.id = core::instance_id("control-1");
    it.http = {"127.0.0.1", 8080};
    it.failure_domain = core::failure_domain_id("olinda");
    it.group = consensus::group_id(7);
    it.revision = core::revision(42);
    it.start = core::start_id(7);
    it.clock = absl::FromUnixMicros(1'000'000);
    return it;
}

// Guards against fields that are lost or swapped by encoding and decoding.
TEST(group_codec, keeps_every_field)
{
    auto hello = make_hello();
    for (const bool has_echo : {false, true}) {
        if (has_echo) {
            hello.echo = absl::FromUnixMicros(5);
        }
        const auto read = decode_group_message(encode(control::group_message(hello)));
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value(), control::group_message(hello));
    }
    control::relayed_report report;
    report.report.entry = {
        core::instance_id("entry-1"),
        {"127.0.0.1", 1},
        {"127.0.0.1", 2},
        core::failure_domain_id("olinda")};
    report.report.in_force = core::revision(3);
    const auto read = decode_group_message(encode(control::group_message(report)));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), control::group_message(report));
}

// Guards against a crash or a partly decoded message when a peer sends a truncated
// buffer.
TEST(group_codec, rejects_truncated_messages)
{
    const std::string whole = encode(control::group_message(make_hello()));
    for (std::size_t n = 0; n < whole.size() / 2; ++n) {
        EXPECT_FALSE(decode_group_message(std::string_view(whole).substr(0, n))) << n;
    }
}

} // namespace
} // namespace cuminpitch::wire
