// Answers of an entry on the kept connection of a caller whose earlier requests ended
// early.

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

#include <absl/strings/str_cat.h>

namespace cuminpitch::request {
namespace {

using http::raw_server;

/// Answers after the time that the header `Wait` names, in ms.
raw_server::reply answer_late(unsigned /*n*/, const std::string& request)
{
    const auto value_of = [&](const std::string& name) {
        const auto at = request.find(name) + name.size();
        return request.substr(at, request.find("\r\n", at) - at);
    };
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(value_of("Wait: "))));
    const auto body = "body of " + value_of("Id: ") + ".";
    return raw_server::reply{absl::StrCat(
        "HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body)};
}

class kept_connection : public testing::TestWithParam<const char*>
{
protected:
    kept_connection() { declared->pools[pool_p].every_entry = true; }

    pool_update served() const
    {
        pool_update out;
        out.pool = pool_p;
        out.settings = declared->pools.at(pool_p);
        out.is_assigned = true;
        out.servers.push_back({core::server_id("s"), server.at(), 32, false, false});
        return out;
    }
    static std::string request(const std::string& id, int wait_ms, int deadline_ms)
    {
        return absl::StrCat(
            GetParam(),
            " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nCuminpitch-Deadline-Ms: ",
            deadline_ms,
            "\r\nId: ",
            id,
            "\r\nWait: ",
            wait_ms,
            "\r\n\r\n");
    }
    /// Sends requests that end early in several ways, and in between some that are
    /// answered. Each caller expects one answer for each request, its own.
    static void call(std::uint16_t port, int caller)
    {
        const http::raw_caller kept(port);
        for (int n = 0; n < 8; ++n) {
            {
                const http::raw_caller leaving(port);
                leaving.send(request(absl::StrCat("left-", caller, "-", n), 60, 500));
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            kept.send(request(absl::StrCat("late-", caller, "-", n), 80, 40));
            const auto refusal = kept.read_to("may-have-run\"}");
            // If the time ends first at the entry between, it reports a failed hop.
            EXPECT_TRUE(
                refusal.starts_with("HTTP/1.1 504") ||
                refusal.find("Cuminpitch-Reason: hop-failed") != std::string::npos)
                << refusal;
            EXPECT_EQ(refusal.find("HTTP/1.1", 1), std::string::npos) << refusal;
            std::this_thread::sleep_for(std::chrono::milliseconds(n % 2 * 60));
            const auto id = absl::StrCat("own-", caller, "-", n);
            kept.send(request(id, n % 3, 1000));
            const auto text = kept.read_to(".");
            EXPECT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
            const auto rest = text.ends_with("body of " + id + ".")
                                  ? std::string()
                                  : kept.read_to("body of " + id + ".");
            EXPECT_EQ((text + rest).find("HTTP/1.1", 1), std::string::npos)
                << text << rest;
            EXPECT_TRUE((text + rest).ends_with("\r\n\r\nbody of " + id + "."))
                << text << rest;
        }
    }
    static void call_all(const live_entry& entry)
    {
        constexpr int callers = 4;
        std::vector<std::thread> all;
        all.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            all.emplace_back([&entry, i] { call(entry.at().port, i); });
        }
        for (auto& it : all) {
            it.join();
        }
    }

    raw_server server{answer_late};
    std::shared_ptr<config::declarations> declared = two_teams();
};

// Guards against a late answer, or a piece of it, that the entry writes in front of the
// answer to the caller's next request.
TEST_P(kept_connection, has_one_answer_for_each_request)
{
    const live_entry entry(served(), {}, declared);
    call_all(entry);
}

// Guards against the same on the connections between two entries.
TEST_P(kept_connection, has_one_answer_for_each_request_by_way_of_another_entry)
{
    const live_entry serving(served(), {}, declared);
    auto remote = served();
    remote.is_assigned = false;
    remote.servers.clear();
    remote.entries = {{core::instance_id("e"), serving.at(), true}};
    const live_entry forwarding(remote, {}, declared);
    call_all(forwarding);
}

INSTANTIATE_TEST_SUITE_P(
    methods,
    kept_connection,
    testing::Values("GET /read", "POST /order"),
    [](const auto& it) {
        return std::string(it.param).substr(0, it.param[0] == 'G' ? 3 : 4);
    });

} // namespace
} // namespace cuminpitch::request
