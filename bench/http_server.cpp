// Processor time of an HTTP server per request, over loopback with closed-loop callers.
// Usage: http_server <pipeline depth of the server> <requests in flight per connection>

#include "cuminpitch/http/server.hpp"

#include "http/raw_socket.hpp"

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>

namespace {
using namespace cuminpitch;

constexpr std::size_t connections = 16;
constexpr int requests_per_connection = 8000;
constexpr std::size_t response_bytes = 2000;

double seconds_of(clockid_t clock)
{
    timespec it{};
    ::clock_gettime(clock, &it);
    return static_cast<double>(it.tv_sec) + 1e-9 * static_cast<double>(it.tv_nsec);
}

/// Sends `in_flight` requests at a time. Returns the processor time that it used.
double call(std::uint16_t port, int in_flight)
{
    const int it = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = http::loopback(port);
    if (::connect(it, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        std::abort();
    }
    std::string all;
    for (int i = 0; i < in_flight; ++i) {
        all += "GET /path?x=1 HTTP/1.1\r\nHost: h\r\nUser-Agent: bench\r\n"
               "Accept: */*\r\nX-Request: 0123456789abcdef\r\n\r\n";
    }
    // A response contains the mark only at its end.
    const auto enough = [&](const std::string& text) {
        return std::count(text.begin(), text.end(), '!') >= in_flight;
    };
    for (int done = 0; done < requests_per_connection; done += in_flight) {
        http::send_all(it, all);
        if (!enough(http::read_until(it, enough))) {
            std::abort();
        }
    }
    ::close(it);
    return seconds_of(CLOCK_THREAD_CPUTIME_ID);
}

} // namespace

int main(int argc, char** argv)
{
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    options.pipeline_depth = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
    const int in_flight = argc > 2 ? std::atoi(argv[2]) : 1;
    absl::Mutex mutex;
    std::deque<std::shared_ptr<http::exchange>> waiting; // Null at the end.
    const auto push = [&](auto to) {
        const absl::MutexLock lock(&mutex);
        waiting.push_back(std::move(to));
    };
    // Responds on another thread, as an entry does.
    std::thread responder([&] {
        const auto is_due = [&] { return !waiting.empty(); };
        for (;;) {
            mutex.LockWhen(absl::Condition(&is_due));
            const auto to = std::move(waiting.front());
            waiting.pop_front();
            mutex.Unlock();
            if (!to) {
                return;
            }
            to->respond(http::json_response(200, std::string(response_bytes, 'x') + '!'));
        }
    });
    const auto server =
        http::server::create(options, [&](const auto&, auto to) { push(to); }).value();
    const double begin = seconds_of(CLOCK_PROCESS_CPUTIME_ID);
    std::vector<double> used(connections);
    std::vector<std::thread> callers(connections);
    for (std::size_t i = 0; i < connections; ++i) {
        callers[i] =
            std::thread([&, i] { used[i] = call(server->listening().port, in_flight); });
    }
    std::for_each(callers.begin(), callers.end(), [](auto& it) { it.join(); });
    double cpu = seconds_of(CLOCK_PROCESS_CPUTIME_ID) - begin;
    std::for_each(used.begin(), used.end(), [&](double it) { cpu -= it; });
    push(std::shared_ptr<http::exchange>());
    responder.join();
    std::printf("%.2f us\n", 1e6 * cpu / (connections * requests_per_connection));
}
