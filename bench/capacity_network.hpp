#pragma once

// Measures the slopes of the network libraries on 127.0.0.1. The costs include both
// sender and receiver.

#include "capacity_report.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"
#include "cuminpitch/net/tcp_transport.hpp"

#include <absl/time/clock.h>

#include <atomic>
#include <cstdlib>

namespace cuminpitch::capacity {

/// CPU time of all threads of this process in us.
inline double process_cpu_us()
{
    timespec it{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 + static_cast<double>(it.tv_nsec) / 1e3;
}

/// Waits until `count` reaches `wanted`, at most 10 s.
inline void wait_for(const std::atomic<int>& count, int wanted)
{
    for (int i = 0; i < 10'000 && count < wanted; ++i) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    if (count < wanted) {
        std::cerr << "only " << count << " of " << wanted << " arrived within 10 s"
                  << std::endl;
    }
}

inline std::unique_ptr<net::tcp_transport>
transport_at(std::uint16_t port, net::transport::handler on_frame)
{
    net::tcp_transport_options options;
    options.self = {core::instance_id("i" + std::to_string(port)), {"127.0.0.1", port}};
    auto made = net::tcp_transport::create(options, std::move(on_frame));
    if (!made) {
        std::cerr << "port " << port << " is in use" << std::endl;
        std::exit(1);
    }
    return std::move(made).value();
}

/// Sends one frame at a time, as between processes that exchange little.
inline void measure_frames()
{
    slope cost("frame over TCP by bytes, sender and receiver", "us of CPU");
    std::atomic<int> received = 0;
    const auto receiver =
        transport_at(19'731, [&](const net::peer&, const net::frame&) { ++received; });
    const auto sender = transport_at(19'732, [](const net::peer&, const net::frame&) {});
    const core::endpoint to{"127.0.0.1", 19'731};
    sender->send(to, {net::channel::pool, "first"});
    wait_for(received, 1);
    for (const std::size_t size : {200U, 1'000U, 10'000U}) {
        constexpr int frames = 2'000;
        received = 0;
        const double start = process_cpu_us();
        for (int i = 0; i < frames; ++i) {
            sender->send(to, {net::channel::pool, std::string(size, 'x')});
            absl::SleepFor(absl::Microseconds(200));
        }
        wait_for(received, frames);
        cost.add(size, (process_cpu_us() - start) / frames);
    }
    cost.print();
}

/// Checks whether a frame as large as a whole fleet state is delivered.
inline void measure_large_frames()
{
    slope passed("frames of this size that pass, of 1", "frames");
    std::atomic<int> received = 0;
    const auto receiver =
        transport_at(19'733, [&](const net::peer&, const net::frame&) { ++received; });
    const auto sender = transport_at(19'734, [](const net::peer&, const net::frame&) {});
    for (const std::size_t size : {5'515'096U, 22'129'184U}) {
        received = 0;
        sender->send(
            {"127.0.0.1", 19'733}, {net::channel::control, std::string(size, 'x')});
        for (int i = 0; i < 1'500 && received < 1; ++i) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        passed.add(size, received);
    }
    passed.print();
}

inline void measure_http()
{
    slope cost("HTTP exchange by body bytes, client and server", "us of CPU");
    auto made = http::server::create(
        {{"127.0.0.1", 0}},
        [](const http::request& it, const std::shared_ptr<http::exchange>& exchange) {
            exchange->respond(http::json_response(200, it.body));
        });
    if (!made) {
        std::cerr << "cannot start the HTTP server" << std::endl;
        std::exit(1);
    }
    const auto server = std::move(made).value();
    const auto client = http::client::create();
    for (const std::size_t size : {300U, 10'000U}) {
        constexpr int exchanges = 1'000;
        std::atomic<int> done = 0;
        const double start = process_cpu_us();
        for (int i = 0; i < exchanges; ++i) {
            http::client_request it;
            it.to = server->listening();
            it.method = "POST";
            it.target = "/x";
            it.body = std::string(size, 'x');
            client->start(std::move(it), [&](const http::client_result&) { ++done; });
            absl::SleepFor(absl::Milliseconds(1));
        }
        wait_for(done, exchanges);
        cost.add(size, (process_cpu_us() - start) / exchanges);
    }
    cost.print();
}

} // namespace cuminpitch::capacity
