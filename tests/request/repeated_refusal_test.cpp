// Servers that write a refusal once more on a kept connection, with the real HTTP server
// and client.

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

#include <absl/strings/str_cat.h>

#include <map>
#include <mutex>

namespace cuminpitch::request {
namespace {

/// Refuses the first request of each connection, writes the same refusal again after
/// `delay`, and runs each later request of the connection for 30 ms.
class repeating_server
{
public:
    repeating_server(std::chrono::milliseconds delay, bool has_ids)
        : delay_(delay), has_ids_(has_ids), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = http::loopback(0);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(
            listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        ::listen(listener_, 64);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept(); });
    }
    ~repeating_server()
    {
        stopping_ = true;
        acceptor_.join();
        for (auto& it : workers_) {
            it.join();
        }
        ::close(listener_);
    }
    repeating_server(const repeating_server&) = delete;

    core::endpoint at() const { return {"127.0.0.1", port_}; }
    int runs_of(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }
    /// Requests that arrived on a connection after a refusal.
    int requests_after_refusal() const { return requests_after_refusal_; }
    /// Refusals that were written once more, later than the first time.
    int repetitions() const { return repetitions_; }
    /// Waits until the peers have closed all connections and their bytes were read.
    bool read_to_the_end() const
    {
        for (int n = 0; n < 500 && open_connections_ > 0; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return open_connections_ == 0;
    }

private:
    using clock = std::chrono::steady_clock;

    static bool readable(int socket, std::chrono::milliseconds limit)
    {
        pollfd it{socket, POLLIN, 0};
        return ::poll(&it, 1, static_cast<int>(limit.count())) > 0;
    }
    void accept()
    {
        while (!stopping_) {
            if (readable(listener_, std::chrono::milliseconds(10))) {
                const int socket = ::accept(listener_, nullptr, nullptr);
                ++open_connections_;
                workers_.emplace_back([this, socket] { serve(socket); });
            }
        }
    }
    std::string head_of(const std::string& status, const std::string& id) const
    {
        return "HTTP/1.1 " + status + "\r\n" +
               (has_ids_ ? "C: " + id + "\r\nP: proof\r\n" : "") +
               "Content-Length: 2\r\n";
    }
    /// Writes the repeated refusal when it is due.
    void repeat_if_due(int socket, std::string& refusal, clock::time_point when)
    {
        if (!refusal.empty() && clock::now() >= when) {
            ++repetitions_;
            http::send_all(socket, refusal);
            refusal.clear();
        }
    }
    void serve(int socket)
    {
        std::string buf;
        std::string refusal;
        clock::time_point when;
        bool is_first = true;
        char bytes[4096];
        while (!stopping_) {
            repeat_if_due(socket, refusal, when);
            if (!readable(socket, std::chrono::milliseconds(1))) {
                continue;
            }
            const auto n = ::recv(socket, bytes, sizeof bytes, 0);
            if (n <= 0) {
                break;
            }
            buf.append(bytes, static_cast<std::size_t>(n));
            const auto end = buf.find("\r\n\r\n");
            if (end == std::string::npos ||
                (buf.starts_with("POST") && buf.size() < end + 4 + 5)) {
                continue;
            }
            const auto at = buf.find("Id: ");
            const auto id = buf.substr(at + 4, buf.find("\r\n", at) - at - 4);
            buf.clear();
            if (is_first) {
                is_first = false;
                refusal = head_of("503 Busy", id) + "N: 1\r\n\r\nno";
                const bool at_once = delay_.count() == 0;
                http::send_all(socket, at_once ? refusal + refusal : refusal);
                when = clock::now() + delay_;
                if (at_once) {
                    refusal.clear();
                }
                continue;
            }
            ++requests_after_refusal_;
            {
                const std::lock_guard lock(mutex_);
                ++runs_[id];
            }
            const auto done = clock::now() + std::chrono::milliseconds(30);
            while (clock::now() < done) {
                repeat_if_due(socket, refusal, when);
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            http::send_all(socket, head_of("200 OK", id) + "\r\nok");
        }
        ::close(socket);
        --open_connections_;
    }

    const std::chrono::milliseconds delay_;
    const bool has_ids_;
    const int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_after_refusal_{0};
    std::atomic<int> repetitions_{0};
    std::atomic<int> open_connections_{0};
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::thread acceptor_;
    std::vector<std::thread> workers_;
};

struct repetition
{
    const char* name;
    int delay_ms;
    bool has_ids;
    const char* method;
    const char* path;
};

class repeated_refusal : public testing::TestWithParam<repetition>
{
protected:
    repeated_refusal()
    {
        options.explains = true;
        options.dialect.not_run = "N";
        options.dialect.not_run_value = "";
        options.dialect.unavailable_means_not_run = true;
        if (GetParam().has_ids) {
            options.dialect.correlation = "C";
            options.dialect.success_header = "P";
        }
        declared->pools[pool_p].every_entry = true;
    }
    pool_update served() const
    {
        pool_update out;
        out.pool = pool_p;
        out.settings = declared->pools.at(pool_p);
        out.is_assigned = true;
        out.servers.push_back({core::server_id("s"), server.at(), 4, false, false});
        return out;
    }
    static std::string id_of(int n) { return "id-" + std::to_string(n); }
    static std::string send(const live_entry& entry, const std::string& id)
    {
        const auto& param = GetParam();
        const http::raw_caller caller(entry.at().port);
        const bool has_body = std::string_view(param.method) == "POST";
        caller.send(absl::StrCat(
            param.method,
            " ",
            param.path,
            " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nC: ",
            id,
            "\r\nId: ",
            id,
            has_body ? "\r\nContent-Length: 5\r\n\r\nscan7" : "\r\n\r\n"));
        return caller.read_all();
    }
    /// Sends requests and keeps their answers. A refused request must not have run when
    /// its refusal arrives, an answered one must have run.
    void send_requests()
    {
        live_entry entry(served(), options, declared);
        for (int n = 0; n < requests; ++n) {
            const auto text = send(entry, id_of(n));
            const int runs = server.runs_of(id_of(n));
            answers.push_back(text);
            std::this_thread::sleep_for(std::chrono::milliseconds(n % 3 == 0 ? 5 : 0));
            EXPECT_TRUE(!is_status(text, 503) || runs == 0) << id_of(n) << text;
            EXPECT_TRUE(!is_status(text, 200) || runs == 1) << id_of(n) << text;
        }
        decisions = entry.decisions();
    }
    static bool is_status(const std::string& text, int status)
    {
        return text.starts_with(absl::StrCat("HTTP/1.1 ", status, " "));
    }
    /// Whether the entry took a copy of a refusal for the answer to the request.
    bool met_repetition(const std::string& id) const
    {
        const auto at = decisions.find("\n" + id + " attempt failed ");
        const auto line = decisions.substr(at + 1, decisions.find('\n', at + 1) - at - 1);
        return at != std::string::npos &&
               line.find(" reason=malformed-response ") != std::string::npos &&
               line.find(" new_connection=0 ") != std::string::npos &&
               line.find(" mismatch=other-request ") != std::string::npos;
    }
    /// The request must have run as often as its answer tells, now that all have ended.
    void expect_truth(const std::string& id, const std::string& text)
    {
        const int runs = server.runs_of(id);
        if (is_status(text, 503)) {
            EXPECT_EQ(runs, 0) << id << " " << text;
        } else if (is_status(text, 200)) {
            EXPECT_EQ(runs, 1) << id << " " << text;
            EXPECT_TRUE(text.ends_with("\r\n\r\nok")) << id << " " << text;
        } else {
            ++unknown_outcomes;
            EXPECT_TRUE(is_status(text, 502)) << id << " " << text;
            EXPECT_NE(
                text.find("Cuminpitch-Verdict: may-have-run\r\n"), std::string::npos)
                << id << " " << text;
            EXPECT_TRUE(met_repetition(id)) << id << " " << text;
            EXPECT_LE(runs, 1) << id << " " << text;
        }
    }

    static constexpr int requests = 12;
    dispatcher_options options;
    std::shared_ptr<config::declarations> declared = two_teams();
    repeating_server server{
        std::chrono::milliseconds(GetParam().delay_ms), GetParam().has_ids};
    std::vector<std::string> answers;
    std::string decisions;
    int unknown_outcomes = 0;
};

// Guards against a refusal that is taken for the answer to the next request of its
// connection, which the server runs.
TEST_P(repeated_refusal, refused_request_has_not_run)
{
    const auto& param = GetParam();
    const bool is_reused = param.has_ids && std::string_view(param.path) == "/read";
    send_requests();
    ASSERT_TRUE(server.read_to_the_end());
    for (int n = 0; n < requests; ++n) {
        expect_truth(id_of(n), answers.at(static_cast<std::size_t>(n)));
    }
    EXPECT_LE(unknown_outcomes, is_reused ? server.repetitions() : 0);
    EXPECT_TRUE(is_reused || server.requests_after_refusal() == 0);
    EXPECT_TRUE(
        !is_reused || param.delay_ms < 200 || server.requests_after_refusal() > 0);
    if (HasFailure()) {
        ADD_FAILURE() << decisions;
    }
}

std::vector<repetition> repetitions()
{
    std::vector<repetition> out;
    static const std::vector<std::pair<const char*, const char*>> kinds = {
        {"GET", "/read"}, {"POST", "/read"}, {"POST", "/order"}};
    static std::vector<std::string> names;
    names.reserve(64);
    for (const int delay_ms : {0, 1, 10, 50, 200}) {
        for (const bool has_ids : {true, false}) {
            for (const auto& [method, path] : kinds) {
                names.push_back(
                    std::string(method) + "_" + (path + 1) + "_after_" +
                    std::to_string(delay_ms) + (has_ids ? "" : "_without_id"));
                out.push_back({names.back().c_str(), delay_ms, has_ids, method, path});
            }
        }
    }
    return out;
}

INSTANTIATE_TEST_SUITE_P(
    kinds, repeated_refusal, testing::ValuesIn(repetitions()), [](const auto& it) {
        return std::string(it.param.name);
    });

} // namespace
} // namespace cuminpitch::request
