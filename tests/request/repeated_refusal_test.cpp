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
    void repeat_if_due(int socket, std::string& refusal, clock::time_point when) const
    {
        if (!refusal.empty() && clock::now() >= when) {
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
    }

    const std::chrono::milliseconds delay_;
    const bool has_ids_;
    const int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_after_refusal_{0};
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
};

// Guards against a refusal that is taken for the answer to the next request of its
// connection, which the server runs.
TEST_P(repeated_refusal, refused_request_has_not_run)
{
    const auto& param = GetParam();
    repeating_server server(std::chrono::milliseconds(param.delay_ms), param.has_ids);
    dispatcher_options options;
    options.dialect.not_run = "N";
    options.dialect.not_run_value = "";
    options.dialect.unavailable_means_not_run = true;
    if (param.has_ids) {
        options.dialect.correlation = "C";
        options.dialect.success_header = "P";
    }
    auto declared = two_teams();
    declared->pools[pool_p].every_entry = true;
    pool_update pool;
    pool.pool = pool_p;
    pool.settings = declared->pools.at(pool_p);
    pool.is_assigned = true;
    pool.servers.push_back({core::server_id("s"), server.at(), 4, false, false});
    const live_entry entry(pool, options, declared);
    constexpr int requests = 12;
    for (int n = 0; n < requests; ++n) {
        const std::string id = "id-" + std::to_string(n);
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
        const auto text = caller.read_all();
        std::this_thread::sleep_for(std::chrono::milliseconds(n % 3 == 0 ? 5 : 0));
        const bool says_not_run = text.starts_with("HTTP/1.1 503");
        EXPECT_EQ(server.runs_of(id), says_not_run ? 0 : 1) << text;
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
