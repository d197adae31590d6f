#include "cli/control_client_priv.hpp"

#include "http/raw_socket.hpp"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

namespace cuminpitch::cli {
namespace {

// Guards against a command that takes a piece of an earlier answer for the answer to its
// call, from an instance that answers each call twice.
TEST(control_client, each_call_gets_its_own_answer)
{
    constexpr unsigned calls = 20;
    http::raw_server server([](unsigned n, const std::string&) {
        const auto body = R"({"call":)" + std::to_string(n) + "}";
        http::raw_server::reply it{
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body};
        it.after_pause = it.bytes;
        return it;
    });
    control_client client({server.at()}, core::random_source(1));
    client.set_deadline(absl::Now() + absl::Seconds(10));
    for (unsigned n = 1; n <= calls; ++n) {
        const auto it = client.call("GET", "/v1/status", "");
        ASSERT_TRUE(it.has_value()) << client.error();
        EXPECT_EQ(it->body.at("call"), n);
        std::this_thread::sleep_for(std::chrono::milliseconds(n % 3));
    }
    EXPECT_EQ(server.connections(), calls);
}

} // namespace
} // namespace cuminpitch::cli
