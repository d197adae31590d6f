// Requests after an attempt that ended before its response did.

#include "cuminpitch/http/client.hpp"

#include "raw_socket.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cuminpitch::http {
namespace {

const std::string ok = "HTTP/1.1 200 OK\r\nI: right\r\nContent-Length: 2\r\n\r\nok";
const std::string late = "HTTP/1.1 200 OK\r\nI: right\r\nContent-Length: 4\r\n\r\nlate";

struct abandoned_answer
{
    const char* name;
    std::string before_end; ///< Sent before the attempt ends.
    std::string after_end;  ///< Sent after it, in front of `late`.
    failure expected;
};

class abandoned : public testing::TestWithParam<abandoned_answer>
{
protected:
    client_request request() const
    {
        client_request it;
        it.to = server.at();
        it.method = "GET";
        it.target = "/";
        it.timeout = absl::Milliseconds(150);
        it.max_response_bytes = 100;
        it.expected.header = "I";
        it.expected.value = "right";
        return it;
    }
    client_result run()
    {
        std::promise<client_result> done;
        const auto id = calls->start(
            request(), [&](client_result out) { done.set_value(std::move(out)); });
        auto end = done.get_future();
        if (GetParam().expected == failure::cancelled && ++runs == 2) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            calls->cancel(id);
        }
        return end.get();
    }

    int runs = 0;
    raw_server server{[](unsigned n, const std::string&) {
        raw_server::reply it{n == 2 ? GetParam().before_end : ok};
        if (n == 2) {
            it.pause = std::chrono::milliseconds(200);
            it.after_pause = GetParam().after_end + late;
        }
        return it;
    }};
    const std::unique_ptr<client> calls = client::create();
};

// Guards against a client that goes on using the connection of an attempt that ended
// without its whole response.
TEST_P(abandoned, answer_is_not_taken_for_the_next_one)
{
    EXPECT_EQ(run().response.body, "ok");
    EXPECT_EQ(run().failure, GetParam().expected);
    for (int i = 0; i < 3; ++i) {
        const auto next = run();
        EXPECT_EQ(next.failure, failure::none) << i;
        EXPECT_EQ(next.response.body, "ok") << i;
        EXPECT_EQ(next.reused_connection, i > 0) << i;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(server.connections(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    ends,
    abandoned,
    testing::Values(
        abandoned_answer{"timeout", "", "", failure::timeout},
        abandoned_answer{"timeout_in_head", "HTTP/1.1 2", "00 OK\r\n", failure::timeout},
        abandoned_answer{
            "timeout_in_body", ok.substr(0, ok.size() - 1), "k", failure::timeout},
        abandoned_answer{"cancelled", "", "", failure::cancelled},
        abandoned_answer{
            "cancelled_in_body", ok.substr(0, ok.size() - 1), "k", failure::cancelled},
        abandoned_answer{
            "too_large",
            "HTTP/1.1 200 OK\r\nI: right\r\nContent-Length: 200\r\n\r\n",
            std::string(200, 'x'),
            failure::response_too_large},
        abandoned_answer{
            "endless",
            "HTTP/1.1 200 OK\r\nI: right\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" +
                std::string(200, 'x'),
            "\r\n0\r\n\r\n",
            failure::endless_response},
        abandoned_answer{
            "of_another_request",
            "HTTP/1.1 200 OK\r\nI: wrong\r\nContent-Length: 2\r\n\r\n",
            "ok",
            failure::malformed_response}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cuminpitch::http
