// Requests wait at an entry for a slot of a service. A configuration moves their route to
// another service, and the first service, which no route names any more, is left out of
// it.
#include "../support-2/harness.hpp"

#include <iostream>

using namespace review;

int main()
try {
    constexpr int requests = 40;
    fleet_options options;
    options.entries = 2;
    fleet platform(options);
    std::vector<std::unique_ptr<backend>> servers;
    const auto add = [&](const std::string& service, unsigned first, unsigned count) {
        for (unsigned n = first; n < first + count; ++n) {
            backend::options it;
            it.id = "i-" + std::to_string(n);
            it.service = service;
            it.at = {platform.address(3, n), platform.port(4)};
            it.work_ms = [](const message&) { return 400; };
            servers.push_back(std::make_unique<backend>(it, platform));
        }
    };
    add("lookup-old", 1, 2);
    add("lookup-new", 3, 4);
    const std::vector<route> before = {{"/orders/", "unsafe", "lookup-old", 2500, 2}};
    const std::vector<route> after = {{"/orders/", "unsafe", "lookup-new", 2500, 2}};
    platform.configure(configuration(1, before, {"lookup-old", "lookup-new"}));
    if (!wait_for(
            [&] {
                bool all = platform.is_ready("entry-1") && platform.is_ready("entry-2");
                for (const auto& it : servers) {
                    all = all && it->is_registered();
                }
                return all;
            },
            20000)) {
        give_up("the fleet isn't ready");
    }
    sleep_ms(4000); // Longer than liveness-ms.

    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> callers;
    const auto start = [&](int n) {
        callers.emplace_back([&, n] {
            const auto id = attempt_id();
            const auto at = now_ms();
            const auto out = exchange(
                platform.http(n % 2 == 0 ? "entry-1" : "entry-2"),
                "POST",
                "/orders/" + std::to_string(n),
                {{"Host", "host.example"},
                 {"X-Attempt-Id", id},
                 {"X-Deadline-Ms", "2500"}},
                "order",
                4000);
            record(
                "caller: " + id + " /orders/" + std::to_string(n) + " sent " +
                std::to_string(at) + " -> " + out.start + " " +
                out.get("Cuminpitch-Reason"));
            const std::lock_guard lock(mutex);
            ++statuses[out.status()];
        });
    };
    for (int n = 0; n < requests; ++n) {
        start(n);
    }
    sleep_ms(150); // All of them have been read; those without a slot wait.
    if (has_trouble()) {
        platform.configure(configuration(2, after, {"lookup-new"}));
    }
    for (auto& it : callers) {
        it.join();
    }
    std::string text;
    for (const auto& [status, count] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    const int denied = statuses[404];
    record("statuses:" + text);
    // DENIED: more than 5 and one in 500 of all requests are ended with a 4xx of the
    // system's own.
    return denied > 5 + requests / 500 ? rule_broken : rule_held;
} catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return could_not_run;
}
