// Servers that end in the middle of their answers, as the callers of an entry see it,
// with the real HTTP server and client.

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

namespace cuminpitch::request {
namespace {

using http::raw_server;

const std::string last_chunk = "0\r\n";

struct cut_answer
{
    const char* name;
    std::string head;
    std::string body;
    bool ends_with_connection = false;
};

pool_update shared_pool(const config::declarations& declared)
{
    pool_update out;
    out.pool = pool_p;
    out.settings = declared.pools.at(pool_p);
    out.is_assigned = true;
    return out;
}

class cut_answers : public testing::TestWithParam<cut_answer>
{
protected:
    cut_answers() { declared->pools[pool_p].every_entry = true; }

    std::string send(const live_entry& entry, const std::string& method)
    {
        const http::raw_caller caller(entry.at().port);
        caller.send(
            method + " /" + (method == "GET" ? "read" : "order") +
            " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nC: i\r\nContent-Length: 0"
            "\r\n\r\n");
        return caller.read_all();
    }

    /// Expects that no answer to a request that has run is a success or says that it
    /// wasn't run, for each cut.
    void expect_no_success(
        const live_entry& entry,
        const std::string& method,
        bool accepts_close_delimited = true)
    {
        const auto& it = GetParam();
        const auto length = it.head.size() + it.body.size();
        for (const bool resets : {false, true}) {
            reset = resets;
            for (cut = 0; cut < length; ++cut) {
                const auto before = server.executions();
                const auto text = send(entry, method);
                ASSERT_GT(server.executions(), before) << cut << "\n" << text;
                EXPECT_FALSE(text.starts_with("HTTP/1.1 503")) << cut << "\n" << text;
                const bool has_last_chunk =
                    it.body.ends_with(last_chunk + "\r\n") && cut + 2 >= length;
                if (has_last_chunk) {
                    continue; // The body is complete (RFC 9112, section 8).
                }
                const bool may_be_whole = accepts_close_delimited &&
                                          it.ends_with_connection &&
                                          cut >= it.head.size() && !resets;
                EXPECT_EQ(text.starts_with("HTTP/1.1 200"), may_be_whole) << cut << "\n"
                                                                          << text;
            }
        }
    }

    std::atomic<std::size_t> cut{0};
    std::atomic<bool> reset{false};
    raw_server server{[this](unsigned, const std::string&) {
        const auto whole = GetParam().head + GetParam().body;
        return raw_server::reply{whole.substr(0, cut), !reset, reset};
    }};
    std::shared_ptr<config::declarations> declared = two_teams();
};

// Guards against a caller that gets a success for an answer that was cut.
TEST_P(cut_answers, are_no_success_for_the_caller)
{
    auto pool = shared_pool(*declared);
    pool.servers.push_back({core::server_id("s"), server.at(), 4, false, false});
    const live_entry entry(pool, platform_options(), declared);
    expect_no_success(entry, "GET");
    expect_no_success(entry, "POST");
}

// Guards against the same when the request went by way of another entry.
TEST_P(cut_answers, are_no_success_by_way_of_another_entry)
{
    auto pool = shared_pool(*declared);
    pool.servers.push_back({core::server_id("s"), server.at(), 4, false, false});
    const live_entry serving(pool, platform_options(), declared);
    auto remote = shared_pool(*declared);
    remote.is_assigned = false;
    remote.entries = {{core::instance_id("e"), serving.at(), true}};
    const live_entry forwarding(remote, platform_options(), declared);
    expect_no_success(forwarding, "GET");
    expect_no_success(forwarding, "POST");
}

// Guards against an entry that ends in the middle of its answer to another entry.
TEST_P(cut_answers, of_another_entry_are_no_success)
{
    auto remote = shared_pool(*declared);
    remote.is_assigned = false;
    remote.entries = {{core::instance_id("e"), server.at(), true}};
    const live_entry forwarding(remote, platform_options(), declared);
    // An entry announces the length of each answer to another one.
    expect_no_success(forwarding, "POST", false);
}

INSTANTIATE_TEST_SUITE_P(
    answers,
    cut_answers,
    testing::Values(
        cut_answer{
            "length",
            "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\nContent-Length: 2\r\n\r\n",
            "ok"},
        cut_answer{
            "chunks",
            "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\nTransfer-Encoding: chunked\r\n\r\n",
            "2\r\nok\r\n0\r\n\r\n"},
        cut_answer{
            "until_close",
            "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\nConnection: close\r\n\r\n",
            "ok",
            true},
        cut_answer{
            "interim",
            "HTTP/1.1 103 Early Hints\r\nC: i\r\nP: p\r\n\r\n"
            "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\nContent-Length: 2\r\n\r\n",
            "ok"},
        cut_answer{
            "blanks",
            "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\n \t\r\nContent-Length: 2\r\n\r\n",
            "ok"}),
    [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace cuminpitch::request
