// A part of a late response in front of the response to the next request on a kept
// connection, as the callers of an entry see it, with the real HTTP server and client.

#include "live_pair.hpp"

namespace cuminpitch::request {
namespace {

class joined_responses : public live_pair,
                         public testing::WithParamInterface<response_kind>
{
protected:
    /// Sends pairs for each `step`-th cut of the late response.
    void send_pairs(const live_entry& entry, arrival when, std::size_t step = 1)
    {
        const auto length = make_bytes(GetParam(), "s1", next_id()).size();
        for (const auto& real : real_kinds) {
            for (std::size_t cut = 0; cut <= length; cut += step) {
                send_pair(entry, {GetParam(), cut, when, real});
            }
        }
    }
};

// Guards against an answer that is put together from two responses, and against a request
// that fails although another server can run it.
TEST_P(joined_responses, are_replaced_by_the_response_of_another_server)
{
    const live_entry entry(pool_of_two(), platform_options(), declared);
    send_pairs(entry, arrival::with_response);
    send_pairs(entry, arrival::in_own_piece, 3);
    const auto on_kept = first.joined();
    EXPECT_GT(on_kept, seen.cases() * 9 / 10) << "of " << seen.cases();
    constexpr std::size_t step = 7;
    send_pairs(entry, arrival::before_request, step);
    expect_none_wrong();
}

// Guards against the same, and a promise that the request wasn't run, if there is no
// other server.
TEST_P(joined_responses, are_failures_without_another_server)
{
    is_second_used = false;
    auto pool = pool_of_two();
    pool.servers.pop_back();
    const live_entry entry(pool, platform_options(), declared);
    constexpr std::size_t step = 2;
    send_pairs(entry, arrival::with_response, step);
    expect_none_wrong();
}

// Guards against the same when the request goes by way of another entry.
TEST_P(joined_responses, are_replaced_by_way_of_another_entry)
{
    const live_entry serving(pool_of_two(), platform_options(), declared);
    auto remote = pool_of_two();
    remote.is_path_lost = true;
    remote.entries = {{core::instance_id("e"), serving.at(), true}};
    const live_entry forwarding(remote, platform_options(), declared);
    constexpr std::size_t step = 5;
    send_pairs(forwarding, arrival::with_response, step);
    send_pairs(forwarding, arrival::in_own_piece, step);
    EXPECT_GT(first.joined(), seen.cases() * 9 / 10) << "of " << seen.cases();
    expect_none_wrong();
}

// Guards against a request on a new connection that fails, or is sent twice, because of
// late bytes on another connection.
TEST_P(joined_responses, do_not_concern_a_request_on_a_new_connection)
{
    is_second_used = false;
    const live_entry entry(pool_of_two(), platform_options(), declared);
    const auto length = make_bytes(GetParam(), "s1", next_id()).size();
    constexpr std::size_t step = 11;
    for (const auto& real : real_kinds) {
        for (std::size_t cut = 0; cut <= length; cut += step) {
            const scenario it{GetParam(), cut, arrival::before_request, real};
            const auto before = first.connections();
            send_pair(entry, it, "POST", "/order");
            EXPECT_GT(first.connections(), before);
            EXPECT_EQ(last_answer.status, real.has_run ? real.status : 200) << cut;
            EXPECT_EQ(record.of(last_answer.fields.get("C")).size(), 1U) << cut;
        }
    }
    expect_none_wrong();
}

class quoted_status_line : public live_pair
{
};

// Guards against a rejected response on a new connection, where nothing can stand in
// front of it.
TEST_F(quoted_status_line, is_accepted_on_a_new_connection)
{
    constexpr const char* text =
        "HTTP/1.1 200 OK\r\nLink: HTTP/1.1 500 Failed\r\nC: $i\r\nP: $p\r\n"
        "Content-Length: 13\r\n\r\n$p";
    is_second_used = false;
    const live_entry entry(pool_of_two(), platform_options(), declared);
    const scenario it{ok_kind, 0, arrival::with_response, {"quote", 200, true, text}};
    send_pair(entry, it, "POST", "/order");
    expect_none_wrong();
    EXPECT_EQ(last_answer.fields.get("Link"), "HTTP/1.1 500 Failed");
}

INSTANTIATE_TEST_SUITE_P(
    late,
    joined_responses,
    testing::Values(
        response_kind{"id_first", 200, true, ok_kind.text},
        response_kind{
            "id_last",
            200,
            true,
            "HTTP/1.1 200 OK\r\nContent-Length: 13\r\nP: $p\r\nC: $i\r\n\r\n$p"},
        failure_kind,
        refusal_kind,
        response_kind{
            "refusal_without_id",
            503,
            false,
            "HTTP/1.1 503 Busy\r\nN: 1\r\nContent-Length: 0\r\n\r\n"},
        chunked_kind,
        response_kind{
            "after_interim",
            200,
            true,
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            "HTTP/1.1 200 OK\r\nC: $i\r\nP: $p\r\nContent-Length: 13\r\n\r\n$p"},
        response_kind{
            "http_1_0",
            200,
            true,
            "HTTP/1.0 200 OK\r\nC: $i\r\nP: $p\r\nContent-Length: 13\r\n\r\n$p"},
        response_kind{
            "without_id",
            200,
            true,
            "HTTP/1.1 200 OK\r\nP: $p\r\nContent-Length: 13\r\n\r\n$p"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cuminpitch::request
