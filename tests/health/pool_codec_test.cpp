#include "cuminpitch/wire/pool_codec.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cuminpitch::wire {
namespace {

health::pool_heartbeat example()
{
    const core::server_id server("s1");
    health::pool_heartbeat it;
    it.pool = {core::team_id("cooperative"), "archive"};
    it.incarnation = 5;
    it.list_revision = core::revision(6);
    it.fleet_revision = core::revision(7);
    it.clock = absl::UnixEpoch() + absl::Seconds(8);
    it.echo = absl::UnixEpoch() + absl::Seconds(9);
    it.echo_incarnation = 10;
    it.draining = true;
    it.evidence_stream = 11;
    it.evidence_sequence = 12;
    it.evidence = {{server, {core::team_id("cooperative"), "scan"}, {9, 3, 2}}};
    it.evidence_ack_stream = 13;
    it.evidence_ack = 14;
    upstream::announcement announced;
    announced.server = server;
    announced.incarnation = 15;
    announced.state = upstream::availability::leaving;
    announced.address = {"127.0.0.1", 80};
    announced.cold_start = absl::Milliseconds(1500);
    it.announcements = {{announced, absl::Seconds(1), absl::Seconds(2)}};
    it.capacity = {{absl::Seconds(3), 32.5, 8}};
    it.lease_request = {absl::UnixEpoch() + absl::Seconds(16)};
    it.lease_grant = {17, absl::UnixEpoch() + absl::Seconds(18)};
    it.ejections = {
        absl::Seconds(1), {server}, {server}, {server}, {{server, absl::Seconds(2)}}};
    return it;
}

// Guards against a field that is lost or exchanged for another when encoded and decoded.
TEST(pool_codec, keeps_every_field)
{
    const auto sent = example();
    const auto text = encode(sent);
    const auto got = decode_pool_heartbeat(text).value();
    EXPECT_EQ(encode(got).size(), text.size());
    EXPECT_EQ(got.pool, sent.pool);
    EXPECT_EQ(got.clock, sent.clock);
    EXPECT_EQ(got.echo, sent.echo);
    EXPECT_EQ(got.echo_incarnation, 10);
    EXPECT_EQ(got.evidence.at(0).route, sent.evidence[0].route);
    EXPECT_EQ(got.evidence.at(0).counts, sent.evidence[0].counts);
    EXPECT_EQ(got.announcements.at(0).it, sent.announcements[0].it);
    EXPECT_GE(got.announcements.at(0).age, sent.announcements[0].age);
    EXPECT_EQ(got.lease_request->sent, sent.lease_request->sent);
    EXPECT_EQ(got.lease_grant->request_sent, sent.lease_grant->request_sent);
    EXPECT_EQ(got.ejections->servers, sent.ejections->servers);
    EXPECT_EQ(got.ejections->valid_for, absl::Seconds(1));
    EXPECT_EQ(got.ejections->slow_starts.at(0).age, absl::Seconds(2));
}

// Guards against a corrupted or malicious message that crashes an entry or is accepted.
TEST(pool_codec, rejects_malformed_messages)
{
    const auto text = encode(example());
    EXPECT_FALSE(decode_pool_heartbeat(""));
    for (std::size_t n = 0; n < text.size(); n += 7) {
        EXPECT_FALSE(decode_pool_heartbeat(std::string_view(text).substr(0, n)));
    }
    std::mt19937 random(1);
    for (int n = 0; n < 20000; ++n) {
        auto damaged = text;
        for (int i = 0; i < 3; ++i) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        (void)decode_pool_heartbeat(damaged).has_value();
    }
    auto impossible = example();
    impossible.evidence[0].counts.failures = 10;
    EXPECT_FALSE(decode_pool_heartbeat(encode(impossible)));
    impossible = example();
    impossible.announcements[0].it.address.port = 0;
    EXPECT_FALSE(decode_pool_heartbeat(encode(impossible)));
}

} // namespace
} // namespace cuminpitch::wire
