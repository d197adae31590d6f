// Servers in trouble: answers to uploads that are still being written, and status lines
// that are none, as callers see them, with the real HTTP server and client.

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

namespace cuminpitch::request {
namespace {

using http::raw_server;

constexpr std::size_t upload_bytes = std::size_t{3} << 20U;
constexpr std::size_t read_bytes = std::size_t{64} << 10U;

class early_answers : public testing::Test
{
protected:
    early_answers() { declared->pools[pool_p].every_entry = true; }

    pool_update pool_of_one() const
    {
        pool_update out;
        out.pool = pool_p;
        out.settings = declared->pools.at(pool_p);
        out.is_assigned = true;
        out.servers.push_back({core::server_id("s"), server.at(), 4, false, false});
        return out;
    }
    pool_update pool_elsewhere(const live_entry& serving) const
    {
        auto out = pool_of_one();
        out.servers.clear();
        out.is_assigned = false;
        out.entries = {{core::instance_id("e"), serving.at(), true}};
        return out;
    }
    static std::string
    send(const live_entry& entry, const std::string& method, std::size_t body)
    {
        const http::raw_caller caller(entry.at().port);
        caller.send(absl::StrCat(
            method,
            method == "GET" ? " /read" : " /order",
            " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nC: i\r\nContent-Length: ",
            body,
            "\r\n\r\n",
            std::string(body, 'x')));
        return caller.read_all();
    }

    raw_server::reply reply;
    raw_server server{[this](unsigned, const std::string&) { return reply; }};
    std::shared_ptr<config::declarations> declared = two_teams();
};

// Guards against a part of a body that passes for a whole one, because the reset that
// ended it was seen while the upload was being written.
TEST_F(early_answers, that_are_reset_while_the_upload_is_written_are_no_success)
{
    constexpr int repetitions = 5;
    server.answer_after(read_bytes);
    const live_entry entry(pool_of_one(), platform_options(), declared);
    const live_entry forwarding(pool_elsewhere(entry), platform_options(), declared);
    for (const char* head :
         {"HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\n\r\n",
          "HTTP/1.0 200 OK\r\nC: i\r\nP: p\r\n\r\n",
          "HTTP/1.1 200 OK\r\nC: i\r\nP: p\r\nConnection: close"
          "\r\n\r\n"}) {
        for (const std::size_t part : {std::size_t{0}, std::size_t{4}, read_bytes}) {
            for (const int pause_ms : {0, 1, 20}) {
                reply = {};
                reply.reset = true;
                reply.bytes = head + std::string(part, 'y');
                reply.after_pause = pause_ms == 0 ? "" : "y";
                reply.pause = std::chrono::milliseconds(pause_ms);
                for (int n = 0; n < repetitions; ++n) {
                    for (const auto* to : {&entry, &forwarding}) {
                        const auto text = send(*to, "POST", upload_bytes);
                        EXPECT_FALSE(text.starts_with("HTTP/1.1 2"))
                            << head << part << " bytes, " << pause_ms << " ms\n"
                            << text.substr(0, 200);
                        EXPECT_FALSE(text.starts_with("HTTP/1.1 503"))
                            << text.substr(0, 200);
                    }
                }
            }
        }
    }
}

// Guards against a status that is none and reaches the caller as an answer.
TEST_F(early_answers, with_a_status_that_is_none_are_no_answer)
{
    const live_entry entry(pool_of_one(), platform_options(), declared);
    const live_entry forwarding(pool_elsewhere(entry), platform_options(), declared);
    for (const char* status :
         {"000",
          "001",
          "099",
          "0",
          "00",
          "20",
          "2000",
          "-20",
          "+200",
          " 200",
          "2 0",
          "600",
          "700",
          "999",
          "20x",
          ""}) {
        for (const char* method : {"GET", "POST"}) {
            for (const auto* to : {&entry, &forwarding}) {
                reply.bytes = absl::StrCat(
                    "HTTP/1.1 ",
                    status,
                    " OK\r\nC: i\r\nP: p\r\nContent-Length: 2\r\n\r\nok");
                const auto text = send(*to, method, 0);
                EXPECT_TRUE(text.starts_with("HTTP/1.1 502"))
                    << "'" << status << "' " << method << "\n"
                    << text.substr(0, 200);
            }
        }
    }
}

} // namespace
} // namespace cuminpitch::request
