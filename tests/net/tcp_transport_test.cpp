#include "cuminpitch/net/tcp_transport.hpp"

#include "net/frame_codec_priv.hpp"
#include "support/open_sockets.hpp"
#include "support/time_of_day.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <random>
#include <thread>
#include <vector>

namespace cuminpitch::net {
namespace {

constexpr absl::Duration receive_timeout = absl::Seconds(5);

/// A process of the fleet that records the frames it receives.
class node
{
public:
    node(const std::string& id, std::uint16_t port)
        : self_{core::instance_id(id), {"127.0.0.1", port}}
    {
        start();
    }

    void start()
    {
        tcp_transport_options options;
        options.self = self_;
        auto created = tcp_transport::create(options, [this](const peer& from, frame it) {
            const absl::MutexLock lock(&mutex_);
            senders_.push_back(from);
            frames_.push_back(std::move(it));
        });
        ASSERT_TRUE(created) << created.error().message();
        transport_ = std::move(created).value();
    }

    void stop() { transport_.reset(); }

    void send(const node& to, const std::string& payload)
    {
        transport_->send(to.self_.internal, frame{channel::pool, payload});
    }

    void block(const node& to, bool blocked)
    {
        transport_->set_blocked(to.self_.internal, blocked);
    }

    bool wait_for(std::size_t n)
    {
        const absl::MutexLock lock(&mutex_);
        auto enough = [&] { return frames_.size() >= n; };
        return mutex_.AwaitWithTimeout(absl::Condition(&enough), receive_timeout);
    }

    std::string payload(std::size_t i)
    {
        const absl::MutexLock lock(&mutex_);
        return frames_.at(i).payload;
    }

    std::string sender(std::size_t i)
    {
        const absl::MutexLock lock(&mutex_);
        return senders_.at(i).id.str();
    }

    std::size_t received()
    {
        const absl::MutexLock lock(&mutex_);
        return frames_.size();
    }

private:
    peer self_;
    absl::Mutex mutex_;
    std::vector<peer> senders_;
    std::vector<frame> frames_;
    std::unique_ptr<tcp_transport> transport_;
};

TEST(tcp_transport, frames_arrive_complete_in_order_with_sender)
{
    node a("a", 21401);
    node b("b", 21402);
    const std::string large(300'000, 'x');
    a.send(b, "first");
    a.send(b, large);
    a.send(b, "last");
    ASSERT_TRUE(b.wait_for(3));
    EXPECT_EQ(b.payload(0), "first");
    EXPECT_EQ(b.payload(1), large);
    EXPECT_EQ(b.payload(2), "last");
    EXPECT_EQ(b.sender(0), "a");
}

// Guards against a fleet state that is longer than the queue limit and therefore never
// reaches a starting entry.
TEST(tcp_transport, a_frame_longer_than_the_queue_arrives)
{
    node a("a", 21407);
    node b("b", 21408);
    const std::string snapshot(std::size_t{20} << 20U, 'x');
    a.send(b, snapshot);
    ASSERT_TRUE(b.wait_for(1));
    EXPECT_EQ(b.payload(0).size(), snapshot.size());
}

// Guards against a sender that never reconnects after its peer restarted.
TEST(tcp_transport, sends_again_after_the_peer_restarted)
{
    node a("a", 21403);
    node b("b", 21404);
    a.send(b, "before");
    ASSERT_TRUE(b.wait_for(1));
    b.stop();
    b.start();
    const absl::Time end = absl::Now() + receive_timeout;
    while (b.received() < 2 && absl::Now() < end) {
        a.send(b, "after");
        absl::SleepFor(absl::Milliseconds(20));
    }
    ASSERT_GE(b.received(), 2U);
    EXPECT_EQ(b.payload(1), "after");
}

// Guards against frames that are dropped until a time of day that was set back has
// passed.
TEST(tcp_transport, reconnects_after_the_time_of_day_was_set_back)
{
    constexpr std::chrono::seconds limit{5};
    constexpr std::chrono::milliseconds interval{20};
    node a("a", 21411);
    node b("b", 21412);
    b.stop();
    a.send(b, "refused");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    testing::move_time_of_day(-absl::Minutes(1));
    b.start();
    const auto end = std::chrono::steady_clock::now() + limit;
    while (b.received() == 0 && std::chrono::steady_clock::now() < end) {
        a.send(b, "after");
        std::this_thread::sleep_for(interval);
    }
    EXPECT_GT(b.received(), 0U);
    testing::move_time_of_day(absl::ZeroDuration());
}

// Guards against a simulated one-way partition that also drops frames in the other
// direction.
TEST(tcp_transport, blocking_one_direction_keeps_the_other)
{
    node a("a", 21405);
    node b("b", 21406);
    a.block(b, true);
    a.send(b, "lost");
    b.send(a, "arrives");
    ASSERT_TRUE(a.wait_for(1));
    EXPECT_EQ(b.received(), 0U);
    a.block(b, false);
    a.send(b, "arrives");
    ASSERT_TRUE(b.wait_for(1));
    EXPECT_EQ(b.payload(0), "arrives");
}

// Guards against connections of peers that vanished, which stay open for two hours.
TEST(tcp_transport, gives_up_connections_of_peers_that_vanished)
{
    constexpr int max_silence_ms = 30'000;
    constexpr std::uint16_t port = 21410;
    node a("a", 21409);
    node b("b", port);
    a.send(b, "x");
    ASSERT_TRUE(b.wait_for(1));
    const auto accepted = testing::accepted_at(port);
    ASSERT_EQ(accepted.size(), 1U);
    const int fd = accepted.front();
    const auto timeout_ms = testing::socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT);
    EXPECT_EQ(testing::socket_option(fd, SOL_SOCKET, SO_KEEPALIVE), 1);
    EXPECT_GT(timeout_ms, 0);
    EXPECT_LE(timeout_ms, max_silence_ms);
    // At least two probes are sent before the user timeout ends.
    const auto idle_s = testing::socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE);
    const auto interval_s = testing::socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL);
    EXPECT_LE(1000 * (idle_s + 2 * interval_s), timeout_ms);
}

// Guards against a connection that keeps the bytes of all frames that ever arrived whole.
TEST(frame_reader, gives_back_the_memory_of_whole_frames)
{
    constexpr std::size_t limit = 1U << 20U;
    frame_reader reader(limit);
    const std::string small = encode_frame(2, "payload");
    for (int i = 0; i < 100'000; ++i) {
        reader.append(small.data(), small.size());
        ASSERT_TRUE(reader.next().has_value());
        ASSERT_FALSE(reader.next().has_value());
    }
    EXPECT_LT(reader.held_bytes(), 1U << 10U);
    std::string incompressible(limit / 2, '\0');
    std::mt19937 random(1);
    for (auto& it : incompressible) {
        it = static_cast<char>(random());
    }
    const std::string large = encode_frame(2, incompressible);
    reader.append(large.data(), large.size());
    ASSERT_TRUE(reader.next().has_value());
    ASSERT_FALSE(reader.next().has_value());
    EXPECT_LT(reader.held_bytes(), limit / 8);
}

TEST(frame_reader, waits_for_whole_frames_and_rejects_too_long_ones)
{
    frame_reader reader(8);
    const std::string bytes = encode_frame(2, "payload");
    reader.append(bytes.data(), 6);
    EXPECT_FALSE(reader.next().has_value());
    reader.append(bytes.data() + 6, bytes.size() - 6);
    const auto it = reader.next();
    ASSERT_TRUE(it.has_value());
    EXPECT_EQ(it->channel, 2);
    EXPECT_EQ(it->payload, "payload");
    const std::string too_long = encode_frame(2, "payloads!");
    reader.append(too_long.data(), too_long.size());
    EXPECT_FALSE(reader.next().has_value());
    EXPECT_TRUE(reader.is_malformed());
}

} // namespace
} // namespace cuminpitch::net
