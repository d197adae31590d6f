// Connections of a server that stops in order.

#include "pipelining_fixture.hpp"

namespace cuminpitch::http {
namespace {

const std::string close_field = "Connection: close\r\n";

class draining : public pipelining_fixture
{
protected:
    /// Expects the responses to the paths, in order, and that the last one alone says
    /// that it closes the connection.
    static void
    expect_closed_after(const std::string& text, const std::vector<std::string>& paths)
    {
        EXPECT_EQ(occurrences(text, "HTTP/1.1 "), paths.size()) << text;
        EXPECT_EQ(occurrences(text, close_field), 1U) << text;
        std::size_t at = 0;
        for (const auto& path : paths) {
            at = text.find("\r\n\r\n" + path, at);
            ASSERT_NE(at, std::string::npos) << path << " in " << text;
        }
        const auto last = text.rfind("HTTP/1.1 ");
        EXPECT_NE(text.find(close_field, last), std::string::npos) << text;
    }
};

// Guards against a stop that cuts requests which run behind the first response: review/6
// had them dropped by their servers.
TEST_F(draining, open_requests_are_answered_before_the_connection_closes)
{
    const std::vector<std::vector<std::size_t>> orders = {
        {0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {0, 2, 1}};
    for (std::size_t answered_before = 0; answered_before <= 2; ++answered_before) {
        for (const auto& order : orders) {
            open_.clear();
            start();
            const raw_caller caller(port());
            caller.send(get("/0") + get("/1") + get("/2"));
            ASSERT_TRUE(wait_for_requests(3));
            for (std::size_t i = 0; i < order.size(); ++i) {
                if (i == answered_before) {
                    server_->drain();
                }
                respond(order[i]);
            }
            expect_closed_after(caller.read_all(), {"/0", "/1", "/2"});
            EXPECT_EQ(gone_, 0);
            EXPECT_TRUE(is_idle());
        }
    }
}

// Guards against a connection that never ends because its caller always has a request
// behind the one that is answered, and against running one that the close promises not to
// have run.
TEST_F(draining, request_behind_open_ones_is_not_read)
{
    start();
    const raw_caller caller(port());
    caller.send(get("/0"));
    ASSERT_TRUE(wait_for_requests(1));
    server_->drain();
    caller.send(get("/1"));
    EXPECT_TRUE(stays_at(1));
    respond(0);
    expect_closed_after(caller.read_all(), {"/0"});
    EXPECT_EQ(count(), 1U);
    EXPECT_TRUE(is_idle());
}

// Guards against a request that crosses the close of an idle connection.
TEST_F(draining, idle_connection_serves_one_more_request)
{
    start();
    const raw_caller idle(port());
    const raw_caller half_sent(port());
    half_sent.send(get("/h").substr(0, 10));
    idle.send(get("/0"));
    ASSERT_TRUE(wait_for_requests(1));
    respond(0);
    EXPECT_TRUE(idle.read_to("\r\n\r\n/0").ends_with("/0"));
    server_->drain();
    idle.send(get("/1"));
    ASSERT_TRUE(wait_for_requests(2));
    respond(1);
    expect_closed_after(idle.read_all(), {"/1"});
    half_sent.send(get("/h").substr(10));
    ASSERT_TRUE(wait_for_requests(3));
    respond(2);
    expect_closed_after(half_sent.read_all(), {"/h"});
}

// Guards against a body that is no longer read once its connection is about to close.
TEST_F(draining, body_that_is_being_read_is_completed)
{
    start();
    const raw_caller caller(port());
    caller.send(get("/0") + "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    ASSERT_TRUE(wait_for_requests(1));
    absl::SleepFor(absl::Milliseconds(20));
    server_->drain();
    respond(0);
    caller.send("cd" + get("/2"));
    ASSERT_TRUE(wait_for_requests(2));
    EXPECT_EQ(at(1).message.body, "abcd");
    respond(1);
    expect_closed_after(caller.read_all(), {"/0", "/1"});
    EXPECT_EQ(gone_, 0);
}

// Guards against a refusal that ends the connection in front of open requests, and
// against a close that is announced twice.
TEST_F(draining, refusals_keep_their_place)
{
    start();
    const raw_caller caller(port());
    caller.send(get("/0") + get("/1") + "garbage\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(2));
    server_->drain();
    at(0).to->respond(json_response(404, "/none"));
    respond(1);
    const auto text = caller.read_all();
    EXPECT_LT(text.find("404"), text.find("\r\n\r\n/1")) << text;
    EXPECT_LT(text.find("\r\n\r\n/1"), text.find("HTTP/1.1 400 ")) << text;
    EXPECT_EQ(occurrences(text, close_field), 1U);
}

// Guards against a close field in the middle of a response that is partly written.
TEST_F(draining, response_that_is_partly_written_is_left_as_it_is)
{
    constexpr std::size_t body_bytes = 8U << 20U;
    start();
    const raw_caller caller(port());
    caller.send(get("/0"));
    ASSERT_TRUE(wait_for_requests(1));
    at(0).to->respond(json_response(200, std::string(body_bytes, 'x')));
    absl::SleepFor(absl::Milliseconds(50)); // The socket takes no more.
    server_->drain();
    std::thread reader([&] {
        const auto text = caller.read_all();
        EXPECT_EQ(text.find(close_field), text.rfind(close_field));
        EXPECT_TRUE(text.ends_with("\r\n\r\n/1"));
        EXPECT_EQ(
            text.find("\r\n\r\n" + std::string(body_bytes, 'x') + "HTTP/1.1 "),
            text.find("\r\n\r\n"));
    });
    caller.send(get("/1"));
    EXPECT_TRUE(wait_for_requests(2));
    respond(1);
    reader.join();
}

// Guards against a caller that closes its sending side during a stop and keeps the
// connection open, or gets no response that was ready.
TEST_F(draining, caller_that_closes_its_side_ends_the_connection)
{
    start();
    raw_caller caller(port());
    caller.send(get("/0") + get("/1"));
    ASSERT_TRUE(wait_for_requests(2));
    server_->drain();
    caller.close();
    EXPECT_TRUE(wait_for([&] { return gone_ == 2; }));
    EXPECT_TRUE(is_idle());
}

} // namespace
} // namespace cuminpitch::http
