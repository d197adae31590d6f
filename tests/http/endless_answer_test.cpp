#include "cuminpitch/http/client.hpp"

#include "raw_socket.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cuminpitch::http {
namespace {

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t body_limit_bytes = 1U << 20U;

client_request request_to(const core::endpoint& to)
{
    client_request it;
    it.to = to;
    it.method = "POST";
    it.target = "/orders";
    it.body = "order";
    it.timeout = absl::Seconds(20);
    it.fresh_connection = true;
    it.accepts_close_delimited = true;
    it.max_response_bytes = body_limit_bytes;
    return it;
}

std::future<client_result> start(client& it, client_request request)
{
    auto done = std::make_shared<std::promise<client_result>>();
    it.start(std::move(request), [done](client_result out) {
        done->set_value(std::move(out));
    });
    return done->get_future();
}

/// Whether all connections with endless responses are closed within 2 s.
bool closes_connections(const raw_server& it)
{
    for (int n = 0; n < 200 && it.endless_answers() > 0; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return it.endless_answers() == 0;
}

struct endless_case
{
    const char* name;
    std::string bytes;
    std::string without_end;
};

class endless : public testing::TestWithParam<endless_case>
{
};

// Guards against an entry instance that reads endless data of a faulty server until the
// timeout, which takes bandwidth and memory from other requests.
TEST_P(endless, response_is_aborted_before_the_timeout)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{GetParam().bytes, false, false, GetParam().without_end};
    });
    const auto it = client::create();
    const auto out = start(*it, request_to(server.at())).get();
    EXPECT_NE(out.failure, failure::none);
    EXPECT_NE(out.failure, failure::timeout);
    EXPECT_EQ(out.verdict, core::verdict::may_have_run);
    EXPECT_TRUE(closes_connections(server));
}

const std::string block(4096, 'x');

INSTANTIATE_TEST_SUITE_P(
    kinds,
    endless,
    testing::Values(
        endless_case{"no_head", "", block},
        endless_case{"no_head_lines", "", "hello\r\n"},
        endless_case{"status_line", "HTTP/1.1 200 ", block},
        endless_case{"header_line", ok_head + "X-Long: ", block},
        endless_case{"header_lines", ok_head, "X-Field: value\r\n"},
        endless_case{"interim_heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        endless_case{"body_until_close", ok_head + "\r\n", block},
        endless_case{"body_of_chunks", chunked_head, "4\r\nabcd\r\n"},
        endless_case{
            "announced_body", ok_head + "Content-Length: 99999999999\r\n\r\n", block},
        endless_case{"chunk_size", chunked_head, "0"},
        endless_case{"chunk_extension", chunked_head + "4;", block},
        endless_case{"chunks_of_one_byte", chunked_head, "1;aaaaaaaaaaaaaaa\r\nx\r\n"},
        endless_case{"trailer_line", chunked_head + "0\r\nX-Long: ", block},
        endless_case{"trailer_lines", chunked_head + "0\r\n", "X-Field: value\r\n"}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against running out of memory although each single response is limited.
TEST(endless_answers, are_bounded_together)
{
    constexpr unsigned servers = 8;
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{ok_head + "\r\n", false, false, block};
    });
    const auto it = client::create({.max_held_response_bytes = 2 * body_limit_bytes});
    std::vector<std::future<client_result>> results;
    for (unsigned n = 0; n < servers; ++n) {
        auto request = request_to(server.at());
        request.max_response_bytes = 1U << 30U;
        results.push_back(start(*it, std::move(request)));
    }
    for (auto& each : results) {
        EXPECT_EQ(each.get().failure, failure::endless_response);
    }
    EXPECT_TRUE(closes_connections(server));
}

// Guards against aborting other responses because of one endless one: only the largest is
// aborted.
TEST(endless_answers, do_not_abort_others)
{
    const std::string whole(body_limit_bytes / 2, 'y');
    raw_server endless_server([](unsigned, const std::string&) {
        return raw_server::reply{ok_head + "\r\n", false, false, block};
    });
    raw_server good([&](unsigned, const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return raw_server::reply{
            ok_head + "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" +
            whole};
    });
    const auto it = client::create({.max_held_response_bytes = 4 * body_limit_bytes});
    auto bad = request_to(endless_server.at());
    bad.max_response_bytes = 1U << 30U;
    auto first = start(*it, bad);
    for (int n = 0; n < 10; ++n) {
        EXPECT_EQ(
            start(*it, request_to(good.at())).get().response.body.size(), whole.size());
    }
    EXPECT_EQ(first.get().failure, failure::endless_response);
}

client_request request_with_id(const core::endpoint& to)
{
    auto it = request_to(to);
    it.timeout = absl::Seconds(2);
    it.expected = {"X-Id", "id-7", "X-Proof"};
    return it;
}

struct foreign_case
{
    const char* name;
    std::string head;
};

class foreign : public testing::TestWithParam<foreign_case>
{
};

// Guards against reading on although the headers show that the response doesn't belong to
// this request. The body is never completed, so that no limit on its size applies.
TEST_P(foreign, response_is_aborted_after_its_headers)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{
            ok_head + GetParam().head + "Content-Length: 99\r\n\r\nabc", false};
    });
    const auto it = client::create();
    const auto out = start(*it, request_with_id(server.at())).get();
    EXPECT_EQ(out.failure, failure::malformed_response);
    EXPECT_EQ(out.verdict, core::verdict::may_have_run);
    EXPECT_LT(out.elapsed, absl::Seconds(1));
}

INSTANTIATE_TEST_SUITE_P(
    heads,
    foreign,
    testing::Values(
        foreign_case{"other_id", "X-Id: id-6\r\nX-Proof: p\r\n"},
        foreign_case{"no_id", "X-Proof: p\r\n"},
        foreign_case{"no_proof", "X-Id: id-7\r\n"},
        foreign_case{"second_id", "X-Id: id-7\r\nX-Id: id-6\r\nX-Proof: p\r\n"}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against rejecting a refusal by a server that read too little to return the id.
TEST(foreign_answers, refusal_without_id_is_read)
{
    raw_server server([](unsigned, const std::string&) {
        return raw_server::reply{
            "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    const auto it = client::create();
    const auto out = start(*it, request_with_id(server.at())).get();
    EXPECT_EQ(out.failure, failure::none);
    EXPECT_EQ(out.response.status, 503);
}

} // namespace
} // namespace cuminpitch::http
