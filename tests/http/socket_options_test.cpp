#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"

#include "raw_socket.hpp"
#include "support/open_sockets.hpp"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <netinet/tcp.h>

namespace cuminpitch::http {
namespace {

void expect_no_timeout_of_the_kernel(const std::vector<int>& sockets)
{
    ASSERT_EQ(sockets.size(), 1U);
    EXPECT_EQ(testing::socket_option(sockets[0], IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
    EXPECT_EQ(testing::socket_option(sockets[0], SOL_SOCKET, SO_KEEPALIVE), 0);
}

class socket_options : public ::testing::TestWithParam<unsigned>
{
};

// Guards against a TCP_USER_TIMEOUT that libcurl or libmicrohttpd sets by itself, which
// would end an attempt or a caller's connection before its time limit.
TEST_P(socket_options, only_the_time_limits_of_requests_end_connections)
{
    server_options options;
    options.listen = {"127.0.0.1", 0};
    options.pipeline_depth = GetParam();
    auto created =
        server::create(options, [](const request&, const std::shared_ptr<exchange>& to) {
            to->respond({});
        });
    ASSERT_TRUE(created);
    const auto answering = std::move(created).value();
    const auto port = answering->listening().port;
    const auto it = client::create();
    client_request request;
    request.to = {"127.0.0.1", port};
    request.method = "GET";
    request.target = "/";
    absl::Notification done;
    it->start(request, [&](const client_result&) { done.Notify(); });
    done.WaitForNotification();
    expect_no_timeout_of_the_kernel(testing::connected_to(port));
    expect_no_timeout_of_the_kernel(testing::accepted_at(port));
}

INSTANTIATE_TEST_SUITE_P(
    pipeline_depth,
    socket_options,
    ::testing::Values(1U, 8U),
    ::testing::PrintToStringParamName());

} // namespace
} // namespace cuminpitch::http
