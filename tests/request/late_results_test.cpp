// Results that come after their request was answered: the caller of an entry keeps its
// connection and must see one answer to each of its requests.

#include "live_pair.hpp"

namespace cuminpitch::request {
namespace {

/// A server that answers requests to a path that ends with /slow late.
class late_results : public live_pair
{
protected:
    static constexpr int late_ms = 150;

    /// Sends `early`, and `further` after the time of the late response, on one
    /// connection. Expects exactly one answer to each. Returns the status of the first.
    int send_both(
        const live_entry& entry,
        const std::string& method,
        const std::string& path,
        int deadline_ms,
        bool is_pipelined = false)
    {
        const auto early = next_id();
        const auto further = next_id();
        const raw_caller caller(entry.at().port);
        const auto last = message("GET", "/read", further, "Connection: close\r\n");
        caller.send(
            message(method, path, early, "", deadline_ms) + (is_pipelined ? last : ""));
        std::string text;
        if (!is_pipelined) {
            text = caller.read_to("\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(late_ms + 50));
            caller.send(last);
        }
        text += caller.read_all();
        EXPECT_EQ(fault_in_pair(text, early, further), "") << text;
        EXPECT_EQ(last_answer.fields.get("C"), further) << text;
        return std::atoi(text.c_str() + 9);
    }

    raw_server slow{[this](unsigned, const std::string& request) {
        const auto id = request_id_in(request);
        record.add(id, proof_of("s1", id, 200));
        if (request.find("/slow ") != std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(late_ms));
        }
        const auto bytes = make_bytes(ok_kind, "s1", id);
        const bool is_twice = request.find("/twice ") != std::string::npos;
        return raw_server::reply{bytes, false, false, "", is_twice ? bytes : ""};
    }};
};

// Guards against a late result that is written after the deadline has been answered.
TEST_F(late_results, are_not_written_after_the_deadline)
{
    is_second_used = false;
    auto pool = shared_pool(*declared);
    pool.servers = {server_at("s1", slow.at())};
    const live_entry serving(pool, platform_options(), declared);
    auto remote = pool;
    remote.is_path_lost = true;
    remote.entries = {{core::instance_id("e"), serving.at(), true}};
    const live_entry forwarding(remote, platform_options(), declared);
    constexpr int deadline_ms = 50;
    for (const bool is_pipelined : {false, true}) {
        for (const auto& [method, path] :
             {std::pair("GET", "/read/slow"), std::pair("POST", "/order/slow")}) {
            EXPECT_EQ(send_both(serving, method, path, deadline_ms, is_pipelined), 504);
            // The hop may reach its time limit first, which is a 502 that promises
            // nothing either.
            const int status =
                send_both(forwarding, method, path, deadline_ms, is_pipelined);
            EXPECT_TRUE(status == 504 || status == 502) << status;
        }
    }
}

// Guards against a late result that is written after the answer of another server.
TEST_F(late_results, are_not_written_after_the_attempt_was_given_up)
{
    auto pool = pool_of_two();
    pool.servers.front() = server_at("s1", slow.at());
    live_entry entry(pool, platform_options(), declared);
    for (int i = 0; i < 16; ++i) { // The usual duration has to be known.
        send_both(entry, "GET", "/read", 2000, true);
    }
    std::atomic<bool> is_done{false};
    std::thread timers([&] {
        while (!is_done) {
            entry.check_timers();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    });
    const auto before = second.executions();
    EXPECT_EQ(send_both(entry, "GET", "/read/slow", 2000), 200);
    EXPECT_EQ(send_both(entry, "GET", "/read/slow", 2000, true), 200);
    EXPECT_GE(second.executions(), before + 2);
    is_done = true;
    timers.join();
}

// Guards against a second answer to the caller when the server answers twice.
TEST_F(late_results, of_a_server_that_answers_twice_are_written_once)
{
    auto pool = pool_of_two();
    pool.servers.front() = server_at("s1", slow.at());
    const live_entry entry(pool, platform_options(), declared);
    for (const bool is_pipelined : {false, true}) {
        EXPECT_EQ(send_both(entry, "GET", "/read/twice", 2000, is_pipelined), 200);
        EXPECT_EQ(send_both(entry, "POST", "/order/twice", 2000, is_pipelined), 200);
    }
}

} // namespace
} // namespace cuminpitch::request
