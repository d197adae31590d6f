#include "http/lingering_closer_priv.hpp"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cuminpitch::http {
namespace {

using pair = std::array<int, 2>;

pair connected_sockets()
{
    pair out{-1, -1};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, out.data()), 0);
    return out;
}

bool is_open(int fd)
{
    return ::fcntl(fd, F_GETFD) >= 0;
}

void sleep_ms(int n)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

// Guards against reading the request of a new connection that has the descriptor of a
// lingering one, while the server has not closed its own descriptor of that one yet.
TEST(lingering_closer, leaves_a_reused_descriptor_alone)
{
    lingering_closer closer;
    const auto old = connected_sockets();
    const auto fresh = connected_sockets();
    const int kept = ::fcntl(old[0], F_DUPFD_CLOEXEC, 0); // The lowest free descriptor.
    ::close(kept);
    closer.linger(std::chrono::steady_clock::now(), old[0]);
    ASSERT_TRUE(is_open(kept));
    ::close(old[1]);
    for (int n = 0; n < 500 && is_open(kept); ++n) {
        sleep_ms(1);
    }
    ASSERT_FALSE(is_open(kept));

    ASSERT_EQ(::dup2(fresh[0], kept), kept);
    ASSERT_EQ(::send(fresh[1], "GET", 3, MSG_NOSIGNAL), 3);
    sleep_ms(50);
    std::array<char, 8> buf{};
    EXPECT_EQ(::recv(kept, buf.data(), buf.size(), MSG_DONTWAIT), 3);
    for (const int fd : {old[0], fresh[0], fresh[1], kept}) {
        ::close(fd);
    }
}

} // namespace
} // namespace cuminpitch::http
