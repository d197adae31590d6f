#include "soak/stand_ins.hpp"

#include "http/raw_socket.hpp"
#include "support/child_process.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace cuminpitch::testing {
namespace {

std::uint64_t count(const std::string& text, const std::string& part)
{
    std::uint64_t out = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        ++out;
    }
    return out;
}

class second_answers_test : public ::testing::TestWithParam<server_fault>
{
};

// Guards against a fault that never happens: the soak would pass without having tried it.
TEST_P(second_answers_test, are_written_on_the_kept_connection)
{
    constexpr unsigned requests = 20;
    proxy_loop loop;
    const auto client = http::client::create();
    ledger records;
    soak_server server({"s-1", "soak", "d", 1}, loop, *client, records, {}, 1);
    server.set_fault(GetParam());
    const http::raw_caller caller(loop.listening(server.proxy()).port);
    for (unsigned i = 0; i < requests; ++i) {
        caller.send(absl::StrCat(
            "GET /read/x HTTP/1.1\r\nHost: soak.example\r\nX-Target-Instance: s-1\r\n",
            "X-Attempt-Id: q-",
            i,
            i + 1 == requests ? "\r\nConnection: close" : "",
            "\r\n\r\n"));
        // Longer than a server works, and than it delays the first part of an answer.
        absl::SleepFor(absl::Milliseconds(120));
    }
    const std::string received = caller.read_all();
    const auto seen = count(received, "HTTP/1.1 ");
    const auto written = loop.repetitions();
    if (GetParam() == server_fault::none) {
        EXPECT_EQ(written, 0U);
        EXPECT_EQ(seen, requests);
    } else {
        EXPECT_GE(written, requests / 4);
        EXPECT_GE(seen, requests + requests / 4);
    }
    if (GetParam() == server_fault::answers_twice) {
        EXPECT_EQ(seen, requests + written);
    }
}

// Guards against connections of the proxies that no reset ends, because a process that
// was started meanwhile has them open too: what is sent to them is lost without an error.
TEST(child_process, inherits_no_connection)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    const auto child = child_process::start({"/bin/sleep", "5"}, "/dev/null");
    ASSERT_TRUE(child.has_value());
    ::close(ends[0]);
    pollfd it{ends[1], POLLIN, 0};
    EXPECT_EQ(::poll(&it, 1, 1000), 1);
    EXPECT_NE(it.revents & POLLHUP, 0);
    ::close(ends[1]);
}

INSTANTIATE_TEST_SUITE_P(
    faults,
    second_answers_test,
    ::testing::Values(
        server_fault::none,
        server_fault::answers_twice,
        server_fault::answers_twice_cut,
        server_fault::answers_twice_in_pieces));

} // namespace
} // namespace cuminpitch::testing
