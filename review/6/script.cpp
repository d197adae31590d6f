// A caller sends a second safe request before the first is answered; the entry gets
// SIGTERM while servers work on both.
#include "../support-2/harness.hpp"

#include <csignal>
#include <iostream>

using namespace review;

int main()
try {
    constexpr int rounds = 3;
    fleet_options options;
    options.entries = rounds + 1;
    options.contracts = "base,drain,config,cost,retry,recover,health,pool";
    fleet platform(options);
    std::vector<std::unique_ptr<backend>> servers;
    for (unsigned n = 1; n <= 4; ++n) {
        backend::options it;
        it.id = "i-" + std::to_string(n);
        it.service = "lookup";
        it.at = {platform.address(3, n), platform.port(4)};
        it.work_ms = [](const message& in) {
            return in.target().ends_with("long")    ? 1200
                   : in.target().ends_with("short") ? 500
                                                    : 20;
        };
        servers.push_back(std::make_unique<backend>(it, platform));
    }
    platform.configure(
        configuration(1, {{"/search/", "safe", "lookup", 2500, 1}}, {"lookup"}));
    if (!wait_for(
            [&] {
                bool all = true;
                for (const auto& it : servers) {
                    all = all && it->is_registered();
                }
                for (const auto& it : platform.entries()) {
                    all = all && platform.is_ready(it);
                }
                return all;
            },
            20000)) {
        give_up("the fleet isn't ready");
    }
    sleep_ms(4000); // Longer than liveness-ms.

    const auto fields = [](const std::string& id) {
        return std::vector<std::pair<std::string, std::string>>{
            {"Host", "host.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "2500"}};
    };
    const auto outcome_of = [&](const std::string& id) {
        std::string out;
        for (const auto& server : servers) {
            for (const auto& it : server->arrivals()) {
                if (it.attempt == id) {
                    out += (out.empty() ? "" : ", ") + it.outcome + " at " + it.server;
                }
            }
        }
        return out;
    };
    int lost = 0;
    for (int round = 1; round <= rounds; ++round) {
        const std::string entry = "entry-" + std::to_string(round);
        const auto caller = connection::open(platform.http(entry), 1000);
        if (!caller) {
            give_up(entry + " accepts no connection");
        }
        const std::string first = attempt_id();
        const std::string second = attempt_id();
        record(
            "caller sends " + first + " (short) and " + second + " (long) to " + entry +
            " on one connection");
        caller->send(
            request_bytes("GET", "/search/short", fields(first)) +
            request_bytes("GET", "/search/long", fields(second)));
        if (!wait_for(
                [&] { return !outcome_of(first).empty() && !outcome_of(second).empty(); },
                400)) {
            give_up("the requests didn't reach the servers");
        }
        sleep_ms(100);
        if (has_trouble()) {
            platform.signal(entry, SIGTERM);
        }
        for (const auto& id : {first, second}) {
            const auto begin = now_ms();
            const auto answer = caller->read(4000, false);
            const bool is_complete = answer.complete && answer.get("X-Attempt-Id") == id;
            record(
                "caller: " + id + " -> " +
                (is_complete
                     ? answer.start + (answer.has("Connection")
                                           ? ", Connection: " + answer.get("Connection")
                                           : "")
                     : "connection ended without an answer") +
                " after " + std::to_string(now_ms() - begin) +
                " ms; server: " + outcome_of(id));
            if (!is_complete) {
                ++lost; // The server had begun to work on it, which was waited for above.
            }
        }
    }
    sleep_ms(1500);
    record(
        "requests that were passed on to a server and ended without an answer: " +
        std::to_string(lost));
    return lost > 0 ? rule_broken : rule_held;
} catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return could_not_run;
}
