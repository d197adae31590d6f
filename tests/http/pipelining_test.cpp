// Requests that a caller sends before the ones in front of them are answered.

#include "pipelining_fixture.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace cuminpitch::http {
namespace {

class pipelining : public pipelining_fixture
{
};

// Guards against requests that wait for the response to the one in front of them, and
// against responses in the order in which they are ready.
TEST_F(pipelining, runs_requests_at_once_and_answers_in_order)
{
    start();
    const raw_caller caller(port());
    const auto begin = absl::Now();
    caller.send(get("/0") + get("/1") + get("/2", "Connection: close\r\n"));
    ASSERT_TRUE(wait_for_requests(3));
    EXPECT_LT(at(2).at - begin, absl::Milliseconds(200));
    absl::SleepFor(begin + absl::Milliseconds(400) - absl::Now());
    for (const std::size_t i : {2, 0, 1}) {
        respond(i);
    }
    const auto text = caller.read_all();
    EXPECT_LT(absl::Now() - begin, absl::Milliseconds(800));
    EXPECT_EQ(occurrences(text, "HTTP/1.1 200 OK\r\n"), 3U) << text;
    EXPECT_LT(text.find("\r\n\r\n/0HTTP"), text.find("\r\n\r\n/1HTTP")) << text;
    EXPECT_TRUE(text.ends_with("\r\n\r\n/2")) << text;
    EXPECT_EQ(gone_, 0);
    EXPECT_TRUE(is_idle());
}

// Guards against work for responses that can't be sent any more, and against requests
// that run although the connection closes before their response.
TEST_F(pipelining, response_that_closes_cancels_those_behind_it)
{
    start();
    const raw_caller caller(port());
    std::string all;
    for (int i = 0; i < 6; ++i) {
        all += get("/" + std::to_string(i));
    }
    caller.send(all);
    ASSERT_TRUE(wait_for_requests(depth));
    respond(1, "close");
    EXPECT_TRUE(wait_for([&] { return gone_ == 2; })); // Before the first response.
    respond(2);
    respond(0);
    const auto text = caller.read_all();
    EXPECT_EQ(occurrences(text, "HTTP/1.1 "), 2U) << text;
    EXPECT_EQ(occurrences(text, "Connection: close\r\n"), 1U);
    EXPECT_TRUE(text.ends_with("\r\n\r\n/1")) << text;
    EXPECT_EQ(count(), depth);
    EXPECT_EQ(gone_, 2);
    EXPECT_TRUE(is_idle());
}

// Guards against a broken-off response that is followed by another one.
TEST_F(pipelining, breaks_off_in_order)
{
    for (const bool has_response : {true, false}) {
        start();
        open_.clear();
        gone_ = 0;
        const raw_caller caller(port());
        caller.send(get("/0") + get("/1") + get("/2"));
        ASSERT_TRUE(wait_for_requests(3));
        respond(2);
        at(1).to->break_off(
            has_response ? std::optional(json_response(200, "abcdef")) : std::nullopt, 3);
        respond(0);
        const auto text = caller.read_all();
        EXPECT_TRUE(text.ends_with(has_response ? "\r\n\r\nabc" : "\r\n\r\n/0")) << text;
        EXPECT_EQ(occurrences(text, "HTTP/1.1 "), has_response ? 2U : 1U);
        EXPECT_TRUE(is_idle());
    }
}

// Guards against work for a caller that has left, also while the server doesn't read
// because too many requests are open.
TEST_F(pipelining, caller_that_leaves_cancels_all)
{
    start();
    for (const unsigned n : {2U, depth, depth + 2}) {
        open_.clear();
        gone_ = 0;
        raw_caller caller(port());
        for (unsigned i = 0; i < n; ++i) {
            caller.send(get("/"));
        }
        const auto open = std::min(n, depth);
        ASSERT_TRUE(wait_for_requests(open));
        EXPECT_TRUE(stays_at(open));
        caller.close();
        EXPECT_TRUE(wait_for([&] { return gone_ == static_cast<int>(open); })) << n;
        EXPECT_TRUE(is_idle());
        EXPECT_EQ(count(), open);
        respond(0); // Without effect.
    }
}

// Guards against a caller that has any number of requests run at the same time.
TEST_F(pipelining, reads_no_more_than_the_depth)
{
    start();
    const raw_caller caller(port());
    constexpr std::size_t requests = std::size_t{3} * depth;
    std::string all;
    for (std::size_t i = 0; i < requests; ++i) {
        all += get("/" + std::to_string(i));
    }
    caller.send(all);
    for (std::size_t answered = 0; answered < requests; ++answered) {
        const auto expected = std::min(requests, answered + depth);
        ASSERT_TRUE(wait_for_requests(expected));
        EXPECT_EQ(at(answered).message.path, "/" + std::to_string(answered));
        if (answered % depth == 0) {
            EXPECT_TRUE(stays_at(expected));
        }
        respond(answered);
    }
    EXPECT_TRUE(is_idle());
}

// Guards against responses that fill the memory because their caller doesn't read them.
TEST_F(pipelining, reads_no_request_while_many_bytes_wait)
{
    constexpr std::size_t body_bytes = 8U << 20U;
    start();
    const raw_caller caller(port());
    caller.send(get("/0") + get("/1"));
    ASSERT_TRUE(wait_for_requests(2));
    at(1).to->respond(json_response(200, std::string(body_bytes, 'x')));
    caller.send(get("/2", "Connection: close\r\n"));
    EXPECT_TRUE(stays_at(2));
    respond(0);
    EXPECT_TRUE(stays_at(2));
    std::thread reader([&] {
        const auto text = caller.read_all();
        EXPECT_GT(text.size(), body_bytes);
        EXPECT_TRUE(text.ends_with("\r\n\r\n/2"));
    });
    EXPECT_TRUE(wait_for_requests(3));
    respond(2);
    reader.join();
}

// Guards against a status 100 that the caller takes for an answer to an earlier request,
// and against a refusal in front of earlier responses.
TEST_F(pipelining, interim_and_error_responses_keep_the_order)
{
    start();
    const raw_caller caller(port());
    caller.send(
        get("/0") + "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                    "Expect: 100-continue\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    absl::SleepFor(absl::Milliseconds(20));
    respond(0);
    EXPECT_TRUE(caller.read_to("Continue\r\n\r\n")
                    .ends_with("\r\n\r\n/0HTTP/1.1 100 Continue\r\n\r\n"));
    caller.send("ab" + get("/2") + "garbage\r\n\r\n" + get("/3"));
    ASSERT_TRUE(wait_for_requests(3));
    EXPECT_EQ(at(1).message.body, "ab");
    respond(2);
    respond(1);
    const auto text = caller.read_all();
    EXPECT_EQ(occurrences(text, "HTTP/1.1 "), 3U) << text;
    EXPECT_LT(text.find("\r\n\r\n/2"), text.find("HTTP/1.1 400 "));
    EXPECT_EQ(count(), 3U);
    EXPECT_TRUE(is_idle());
}

// Guards against idle connections that stay open, and against closing one whose request
// is still being handled.
TEST_F(pipelining, closes_idle_connections_only)
{
    server_options options;
    options.idle_timeout = absl::Milliseconds(100);
    start(options);
    const raw_caller idle(port());
    idle.send("GET / HT");
    const raw_caller caller(port());
    caller.send(get("/0"));
    EXPECT_EQ(idle.read_all(), "");
    absl::SleepFor(absl::Milliseconds(200));
    EXPECT_EQ(gone_, 0);
    respond(0);
    EXPECT_TRUE(caller.read_all().ends_with("/0"));
}

// Guards against callers that are refused, or never served, at the limit.
TEST_F(pipelining, callers_beyond_the_connection_limit_wait)
{
    server_options options;
    options.threads = 1;
    options.connection_limit = 1;
    start(options);
    raw_caller first(port());
    first.send(get("/first"));
    ASSERT_TRUE(wait_for_requests(1));
    const raw_caller second(port());
    second.send(get("/second"));
    EXPECT_TRUE(stays_at(1));
    first.close();
    EXPECT_TRUE(wait_for_requests(2));
    respond(1);
    EXPECT_TRUE(second.read_to("/second").ends_with("/second"));
}

// Guards against heads, trailers and lengths that the parser alone would let pass.
TEST_F(pipelining, refuses_what_the_parser_accepts)
{
    start();
    const std::string long_value(70000, 'x');
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string twice_as_long(140000, 'x');
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n0";
    for (const auto& [text, status] : std::vector<std::pair<std::string, std::string>>{
             {"GET / HTTP/1.1\r\n\r\n", "400"},
             {"GET / HTTP/1.1\nHost: h\n\n", "400"},
             {post + "Content-Length: 3, 3\r\n\r\nabc", "400"},
             {post + "Content-Length: +3\r\n\r\nabc", "400"},
             {post + "Content-Length : 3\r\n\r\nabc", "400"},
             {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
             {get("/", "A: " + long_value + "\r\n"), "431"},
             {get("/",
                  absl::StrCat(
                      "A: ",
                      long_value.substr(0, 40000),
                      "\r\nB: ",
                      long_value.substr(0, 40000),
                      "\r\n")),
              "431"},
             {get("/" + long_value), "431"},
             {absl::StrCat(chunked, "\r\nA: ", twice_as_long), "400"},
             {absl::StrCat(chunked, ";a=", twice_as_long), "400"}}) {
        const raw_caller caller(port());
        caller.send(text);
        EXPECT_EQ(caller.read_all().substr(9, 3), status) << text.substr(0, 90);
    }
    EXPECT_EQ(count(), 0U);
    EXPECT_TRUE(is_idle());
}

// Guards against a parser that loses or repeats bytes at the edges of what it reads, and
// against a response that reaches another request, while other threads respond in any
// order.
TEST_F(pipelining, reads_requests_split_anywhere)
{
    constexpr std::size_t rounds = 60;
    constexpr std::size_t requests = 12;
    start();
    for (std::size_t round = 0; round < rounds && !HasFailure(); ++round) {
        SCOPED_TRACE(round);
        std::mt19937 random(static_cast<std::mt19937::result_type>(round));
        open_.clear();
        std::string all;
        std::vector<std::string> bodies;
        for (std::size_t i = 0; i < requests; ++i) {
            const bool is_large = random() % 8 == 0;
            bodies.emplace_back(
                random() % (is_large ? 90000 : 40), static_cast<char>('a' + i));
            const auto& body = bodies.back();
            all += "POST /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n";
            if (random() % 2 == 0) {
                absl::StrAppend(&all, "Content-Length: ", body.size(), "\r\n\r\n", body);
            } else {
                all += "Transfer-Encoding: chunked\r\n\r\n";
                if (!body.empty()) {
                    absl::StrAppend(&all, absl::Hex(body.size()), "\r\n", body, "\r\n");
                }
                all += random() % 2 == 0 ? "0\r\n\r\n" : "0\r\nA: trailer\r\n\r\n";
            }
        }
        const raw_caller caller(port());
        std::thread responder([&] {
            std::vector<bool> is_answered(requests);
            const auto end = absl::Now() + absl::Seconds(5);
            for (std::size_t left = requests; left > 0 && absl::Now() < end;) {
                const std::size_t n = count();
                for (std::size_t i = n; i-- > 0;) { // The latest first.
                    if (!is_answered[i]) {
                        is_answered[i] = true;
                        --left;
                        auto it = at(i);
                        it.to->respond(
                            json_response(200, it.message.path + ":" + it.message.body));
                    }
                }
                std::this_thread::yield();
            }
        });
        for (std::size_t from = 0; from < all.size();) {
            const std::size_t n = 1 + random() % (random() % 3 == 0 ? 40000 : 50);
            caller.send(all.substr(from, n));
            from += n;
        }
        const std::string last = "/11:" + bodies.back();
        const auto text = caller.read_to(last);
        responder.join();
        std::size_t at = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            const auto wanted = absl::StrCat("\r\n\r\n/", i, ":", bodies[i]);
            at = text.find(wanted, at);
            ASSERT_NE(at, std::string::npos) << i << " of " << text.size();
            at += wanted.size();
        }
        EXPECT_EQ(at, text.size());
    }
    EXPECT_TRUE(is_idle());
}

} // namespace
} // namespace cuminpitch::http
