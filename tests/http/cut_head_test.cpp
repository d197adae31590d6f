// Responses that end in the middle of their heads.

#include "cuminpitch/http/client.hpp"

#include "raw_socket.hpp"

#include <gtest/gtest.h>

#include <future>

namespace cuminpitch::http {
namespace {

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const std::string last_chunk = "0\r\n";

struct cut_response
{
    const char* name;
    std::string head; ///< With the empty line at its end.
    std::string body;
    /// The body ends with the connection, so each part of it counts as whole.
    bool ends_with_connection = false;
};

class cut_head : public testing::TestWithParam<cut_response>
{
protected:
    /// Makes a request whose response is cut after n bytes.
    client_result run(std::size_t n, bool reset, bool kept)
    {
        const auto whole = GetParam().head + GetParam().body;
        raw_server server([&](unsigned i, const std::string&) {
            return kept && i == 1 ? raw_server::reply{ok}
                                  : raw_server::reply{whole.substr(0, n), !reset, reset};
        });
        const auto it = client::create();
        client_request request;
        request.to = server.at();
        request.method = "GET";
        request.target = "/";
        request.timeout = absl::Seconds(5);
        request.accepts_close_delimited = true;
        client_result out;
        for (int i = kept ? 0 : 1; i < 2; ++i) {
            std::promise<client_result> done;
            it->start(request, [&](client_result r) { done.set_value(std::move(r)); });
            out = done.get_future().get();
        }
        EXPECT_EQ(server.executions(), kept ? 2U : 1U) << n;
        EXPECT_TRUE(n < GetParam().head.size() || out.reused_connection == kept) << n;
        return out;
    }

    void expect_no_success(bool reset, bool kept)
    {
        const auto& it = GetParam();
        const auto length = it.head.size() + it.body.size();
        for (std::size_t n = 0; n < length; ++n) {
            const bool may_be_whole =
                it.ends_with_connection && n >= it.head.size() && !reset;
            const auto out = run(n, reset, kept);
            if (n >= it.head.size() + it.body.rfind(last_chunk) + last_chunk.size() &&
                it.body.ends_with(last_chunk + "\r\n")) {
                continue; // The body is complete (RFC 9112, section 8).
            }
            EXPECT_EQ(out.failure == failure::none, may_be_whole)
                << n << " of " << length << " bytes";
            EXPECT_NE(out.verdict, core::verdict::not_run) << n;
        }
    }
};

// Guards against a success without the whole response, on a new connection.
TEST_P(cut_head, is_no_success_on_a_new_connection)
{
    expect_no_success(false, false);
    expect_no_success(true, false);
}

// Guards against the same on a connection that has been used before.
TEST_P(cut_head, is_no_success_on_a_kept_connection)
{
    expect_no_success(false, true);
    expect_no_success(true, true);
}

INSTANTIATE_TEST_SUITE_P(
    heads,
    cut_head,
    testing::Values(
        cut_response{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok"},
        cut_response{"empty_body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
        cut_response{
            "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n",
            "2\r\nok\r\n0\r\n\r\n"},
        cut_response{
            "until_close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "ok", true},
        cut_response{
            "interim",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
            "ok"},
        cut_response{
            "interim_until_close",
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
            "ok",
            true},
        cut_response{"no_body", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", ""},
        cut_response{
            "blanks",
            "HTTP/1.1 200 OK\r\nA: b\r\n  \t \r\nContent-Length: 2\r\n\r\n",
            "ok"},
        cut_response{"bare_line_ends", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", "ok"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cuminpitch::http
