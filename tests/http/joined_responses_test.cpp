// Parts of a late response in front of the response to the next request of a kept
// connection.

#include "cuminpitch/http/client.hpp"

#include "raw_socket.hpp"

#include <gtest/gtest.h>

#include <future>
#include <random>

namespace cuminpitch::http {
namespace {

struct message
{
    const char* name;
    int status;
    std::string head; ///< With the empty line at its end.
    std::string body; ///< As sent.
    std::string content;
    std::size_t final_head_at = 0; ///< Where the head after interim ones begins.

    std::string bytes() const { return head + body; }
    http::headers fields() const;
};

http::headers message::fields() const
{
    http::headers out;
    std::size_t at = head.find('\n', final_head_at) + 1;
    for (std::size_t end = 0; (end = head.find("\r\n", at)) != at; at = end + 2) {
        const auto colon = head.find(": ", at);
        out.add(head.substr(at, colon - at), head.substr(colon + 2, end - colon - 2));
    }
    return out;
}

const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";

/// Responses of all kinds to the request with this id.
std::vector<message> responses_to(const std::string& id)
{
    const std::string proof = "P: proof." + id + "\r\n";
    const std::string named = "C: " + id + "\r\n" + proof;
    return {
        {"ok",
         200,
         "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 5\r\n\r\n",
         "right",
         "right"},
        {"id_last",
         200,
         "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 02:11:00 GMT\r\n" + proof +
             "Content-Length: 5\r\nC: " + id + "\r\n\r\n",
         "fifth",
         "fifth"},
        {"error",
         500,
         "HTTP/1.1 500 Internal Server Error\r\n" + named + "Content-Length: 3\r\n\r\n",
         "bad",
         "bad"},
        {"error_with_colon",
         500,
         "HTTP/1.1 500 Error: disk\r\n" + named + "Content-Length: 3\r\n\r\n",
         "bad",
         "bad"},
        {"refusal",
         503,
         "HTTP/1.1 503 Busy\r\n" + named +
             "N: 1\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n",
         "no",
         "no"},
        {"chunks",
         200,
         "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n",
         "3\r\nsix\r\n3\r\nfor\r\n0\r\n\r\n",
         "sixfor"},
        {"after_interim",
         200,
         interim + "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 2\r\n\r\n",
         "ok",
         "ok",
         interim.size()},
        {"no_content", 204, "HTTP/1.1 204 No Content\r\n" + named + "\r\n", "", ""},
    };
}

/// Responses that only occur as the late one.
std::vector<message> late_responses()
{
    auto out = responses_to("first");
    out.push_back(
        {"without_id",
         200,
         "HTTP/1.1 200 OK\r\nP: x\r\nContent-Length: 4\r\n\r\n",
         "late",
         "late"});
    out.push_back(
        {"refusal_without_id",
         503,
         "HTTP/1.1 503 Busy\r\nN: 1\r\nContent-Length: 0\r\n\r\n",
         "",
         ""});
    out.push_back(
        {"old_protocol",
         200,
         "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nC: first\r\nContent-Length: 4\r\n"
         "\r\n",
         "late",
         "late"});
    return out;
}

client_request request_to(const core::endpoint& to, const std::string& id)
{
    client_request it;
    it.to = to;
    it.method = "GET";
    it.target = "/";
    it.headers.add("C", id);
    it.timeout = absl::Milliseconds(500);
    it.expected = {"C", id, "P", "N", true};
    return it;
}

client_result run(client& it, client_request request)
{
    std::promise<client_result> done;
    it.start(
        std::move(request), [&](client_result out) { done.set_value(std::move(out)); });
    return done.get_future().get();
}

/// Sends two requests on one connection. The second response is what `script` returns.
class joined_responses : public testing::TestWithParam<message>
{
protected:
    joined_responses()
        : server_([this](unsigned, const std::string& request) {
              const bool is_first = request.find("C: first\r\n") != std::string::npos;
              return is_first ? raw_server::reply{responses_to("first")[0].bytes()}
                              : second_;
          })
    {
    }

    client_result run_second(raw_server::reply it)
    {
        second_ = std::move(it);
        const auto calls = client::create();
        EXPECT_EQ(run(*calls, request_to(server_.at(), "first")).verdict, verdict::ran);
        auto out = run(*calls, request_to(server_.at(), "second"));
        EXPECT_TRUE(out.reused_connection);
        return out;
    }

    /// A response that is reported as complete is `real` in all its parts.
    static void expect_only(const message& real, const client_result& out)
    {
        if (out.failure != failure::none) {
            EXPECT_NE(out.verdict, verdict::not_run);
            return;
        }
        EXPECT_EQ(out.response.status, real.status);
        EXPECT_EQ(out.response.headers.fields(), real.fields().fields());
        EXPECT_EQ(out.response.body, real.content);
    }

    using verdict = core::verdict;

private:
    raw_server::reply second_;
    raw_server server_;
};

// Guards against rejecting a response that has nothing in front of it.
TEST_P(joined_responses, proper_response_is_complete)
{
    const message& real = GetParam();
    const auto out = run_second({real.bytes()});
    ASSERT_EQ(out.failure, failure::none);
    expect_only(real, out);
}

// Guards against a response with the status of one message and the fields of another.
TEST_P(joined_responses, parts_of_two_messages_are_no_response)
{
    const message& real = GetParam();
    for (const auto& late : late_responses()) {
        const auto bytes = late.bytes();
        for (std::size_t n = 1; n <= bytes.size() && !HasFailure(); ++n) {
            SCOPED_TRACE(
                std::string(late.name) + ", " + std::to_string(n) + " of " +
                std::to_string(bytes.size()) + " bytes");
            expect_only(real, run_second({bytes.substr(0, n) + real.bytes()}));
        }
    }
}

// Guards against the same if the late response arrives in a segment of its own.
TEST_P(joined_responses, parts_that_arrive_apart_are_no_response)
{
    const message& real = GetParam();
    for (const auto& late : late_responses()) {
        const auto bytes = late.bytes();
        for (std::size_t n = 1; n <= bytes.size() && !HasFailure(); n += 3) {
            SCOPED_TRACE(
                std::string(late.name) + ", " + std::to_string(n) + " of " +
                std::to_string(bytes.size()) + " bytes");
            raw_server::reply it{bytes.substr(0, n)};
            it.after_pause = real.bytes();
            expect_only(real, run_second(std::move(it)));
        }
    }
}

// Guards against a mixture of messages for a late response with some bytes changed.
TEST_P(joined_responses, changed_bytes_make_no_other_response)
{
    constexpr int changes = 400;
    const message& real = GetParam();
    std::mt19937 random(static_cast<std::mt19937::result_type>(real.bytes().size()));
    const auto late = late_responses();
    static const std::string inserted = std::string("\r\n \t:H/1.0a5") + '\0';
    for (int i = 0; i < changes && !HasFailure(); ++i) {
        auto bytes = late[random() % late.size()].bytes();
        bytes.resize(1 + random() % bytes.size());
        for (unsigned n = 1 + random() % 3; n > 0; --n) {
            bytes[random() % bytes.size()] = inserted[random() % inserted.size()];
        }
        SCOPED_TRACE(testing::PrintToString(bytes));
        expect_only(real, run_second({bytes + real.bytes()}));
    }
}

INSTANTIATE_TEST_SUITE_P(
    real,
    joined_responses,
    testing::ValuesIn(responses_to("second")),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cuminpitch::http
