#include "http/response_head_priv.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpitch::http {
namespace {

/// Takes the lines until one is rejected, or all of them.
mismatch read(response_head& it, const std::vector<std::string>& lines)
{
    for (const auto& line : lines) {
        if (const auto why = it.add(line); why != mismatch::none) {
            return why;
        }
    }
    return mismatch::none;
}

struct proper_head
{
    const char* name;
    std::vector<std::string> lines;
    int status;
    std::size_t fields;
};

class proper : public testing::TestWithParam<proper_head>
{
};

// Guards against rejecting a head that is unusual but proper, also on a kept connection.
TEST_P(proper, head_is_accepted)
{
    for (const bool is_first_response : {true, false}) {
        response_head it(is_first_response);
        EXPECT_EQ(read(it, GetParam().lines), mismatch::none);
        EXPECT_TRUE(it.is_final());
        EXPECT_EQ(it.status(), GetParam().status);
        EXPECT_EQ(it.fields().fields().size(), GetParam().fields);
    }
}

INSTANTIATE_TEST_SUITE_P(
    heads,
    proper,
    testing::Values(
        proper_head{"plain", {"HTTP/1.1 200 OK\r\n", "A: b\r\n", "\r\n"}, 200, 1},
        proper_head{"no_reason", {"HTTP/1.1 200 \r\n", "\r\n"}, 200, 0},
        proper_head{"no_blank_behind_status", {"HTTP/1.1 204\r\n", "\r\n"}, 204, 0},
        proper_head{"colon_in_reason", {"HTTP/1.1 500 Error: disk\r\n", "\r\n"}, 500, 0},
        proper_head{"old_protocol", {"HTTP/1.0 200 OK\r\n", "\r\n"}, 200, 0},
        proper_head{"bare_line_ends", {"HTTP/1.1 200 OK\n", "A: b\n", "\n"}, 200, 1},
        proper_head{
            "equal_lengths",
            {"HTTP/1.1 200 OK\r\n",
             "Content-Length: 2\r\n",
             "Content-Length: 2\r\n",
             "\r\n"},
            200,
            2},
        proper_head{"empty_value", {"HTTP/1.1 200 OK\r\n", "A:\r\n", "\r\n"}, 200, 1},
        proper_head{
            "names_protocol",
            {"HTTP/1.1 200 OK\r\n", "Via: HTTP/1.1 proxy\r\n", "U: HTTP/1.1\r\n", "\r\n"},
            200,
            2},
        proper_head{
            "interim",
            {"HTTP/1.1 103 Early Hints\r\n",
             "Link: x\r\n",
             "\r\n",
             "HTTP/1.1 200 OK\r\n",
             "A: b\r\n",
             "\r\n"},
            200,
            1},
        proper_head{
            "trailers",
            {"HTTP/1.1 200 OK\r\n",
             "Transfer-Encoding: chunked\r\n",
             "\r\n",
             "A: b\r\n",
             "\r\n"},
            200,
            1},
        proper_head{
            "other_bytes",
            {"HTTP/1.1 200 OK\r\n", "A: \xc3\xa9\t!\r\n", "\r\n"},
            200,
            1}),
    [](const auto& it) { return std::string(it.param.name); });

struct improper_head
{
    const char* name;
    std::vector<std::string> lines;
    mismatch why;
};

class improper : public testing::TestWithParam<improper_head>
{
};

// Guards against accepting a head of which a part is missing, strange or ambiguous.
TEST_P(improper, head_is_rejected)
{
    for (const bool is_first_response : {true, false}) {
        response_head it(is_first_response);
        EXPECT_EQ(read(it, GetParam().lines), GetParam().why);
    }
}

const std::string ok = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    heads,
    improper,
    testing::Values(
        improper_head{"protocol_only", {"HTTP/\r\n"}, mismatch::status_line},
        improper_head{"two_begins", {"HTTP/HTTP/1.1 200 OK\r\n"}, mismatch::status_line},
        improper_head{"long_status", {"HTTP/1.1 2000 OK\r\n"}, mismatch::status_line},
        improper_head{"no_status", {"HTTP/1.1 OK\r\n"}, mismatch::status_line},
        improper_head{"empty_line", {"\r\n"}, mismatch::status_line},
        improper_head{"second_status_line", {ok, ok}, mismatch::field_line},
        improper_head{
            "second_status_line_with_colon",
            {ok, "HTTP/1.1 500 Error: disk\r\n"},
            mismatch::field_line},
        improper_head{"no_colon", {ok, "abc\r\n"}, mismatch::field_line},
        improper_head{"no_name", {ok, ": abc\r\n"}, mismatch::field_line},
        improper_head{"blank_in_name", {ok, "A : b\r\n"}, mismatch::field_line},
        improper_head{"continued_line", {ok, "A: b\r\n", " c\r\n"}, mismatch::field_line},
        improper_head{"line_end_inside", {ok, "A: b\rC: d\r\n"}, mismatch::field_line},
        improper_head{
            "two_lengths",
            {ok, "Content-Length: 1\r\n", "content-length: 2\r\n", "\r\n"},
            mismatch::framing},
        improper_head{
            "length_and_chunks",
            {ok, "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n"},
            mismatch::framing},
        improper_head{
            "two_codings",
            {ok,
             "Transfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\n",
             "\r\n"},
            mismatch::framing},
        improper_head{
            "identity", {ok, "Transfer-Encoding: identity\r\n"}, mismatch::framing},
        improper_head{"no_coding", {ok, "Transfer-Encoding:\r\n"}, mismatch::framing},
        improper_head{
            "zipped", {ok, "Transfer-Encoding: gzip, chunked\r\n"}, mismatch::framing},
        improper_head{"no_number", {ok, "Content-Length: 1x\r\n"}, mismatch::framing},
        improper_head{
            "long",
            {ok, "A: " + std::string(response_head::limit_bytes, 'b') + "\r\n"},
            mismatch::head_too_long}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against joining the begin of one message with another on a kept connection, and
// against rejecting the same bytes where they can only be one message.
TEST(response_head, status_line_inside_a_line_is_rejected_on_a_kept_connection)
{
    for (const std::string line :
         {"A: HTTP/1.1 500 Error\r\n",
          "Date: SunHTTP/1.0 503\r\n",
          "A: bHTTP/1.1  500 Error\r\n",
          "A: bHTTP/1.1\t500\r\n",
          "A: bhttp/2 500Error\r\n",
          "A: bHTTP 50\r\n"}) {
        response_head kept(false);
        EXPECT_EQ(read(kept, {ok, line}), mismatch::joined_messages);
        response_head first(true);
        EXPECT_EQ(read(first, {ok, line, "\r\n"}), mismatch::none);
    }
    response_head kept(false);
    EXPECT_EQ(
        read(kept, {"HTTP/1.1 200 OHTTP/1.1 500 Error\r\n"}), mismatch::joined_messages);
}

} // namespace
} // namespace cuminpitch::http
