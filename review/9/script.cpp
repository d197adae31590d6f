// The operator sends three configurations that PROTOCOL.md calls invalid. Each must be
// refused and change nothing.
#include "../support-2/harness.hpp"

#include <iostream>

using namespace review;

namespace {

struct attempt
{
    std::string why; ///< Why it is invalid.
    std::string text;
};

std::string replaced(std::string text, const std::string& part, const std::string& by)
{
    const auto at = text.find(part);
    if (at == std::string::npos) {
        give_up("the configuration has no " + part);
    }
    return text.replace(at, part.size(), by);
}

std::string valid(int version)
{
    return configuration(
        version, {{"/orders/", "unsafe", "lookup", 2500, 2}}, {"lookup", "archive"});
}

} // namespace

int main()
try {
    fleet_options options;
    options.entries = 2;
    fleet platform(options);
    std::vector<std::unique_ptr<backend>> servers;
    for (unsigned n = 1; n <= 3; ++n) {
        backend::options it;
        it.id = "i-" + std::to_string(n);
        it.service = "lookup";
        it.at = {platform.address(3, n), platform.port(4)};
        servers.push_back(std::make_unique<backend>(it, platform));
    }
    platform.configure(valid(1));
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

    const std::string service = R"("service":"lookup",)";
    const std::vector<attempt> attempts = {
        {"a weight is below 0",
         replaced(
             valid(2),
             service,
             R"("traffic-split":[{"service":"lookup","weight":-5},{"service":"lookup","weight":10}],)")},
        {"a route names an unknown service",
         replaced(
             valid(3),
             service,
             R"("service":"no-such-service","traffic-split":[{"service":"lookup","weight":10}],)")},
        {"the configuration cannot be read in full (null in place of the rules and of "
         "the services)",
         R"({"version":"r4","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000},"listeners":[{"host":"host.example","rule-set":null}],"clusters":null})"}};

    int acknowledged = 0;
    int version = 1;
    for (const auto& it : attempts) {
        ++version;
        const std::string sent = has_trouble() ? it.text : valid(version);
        record((has_trouble() ? "invalid, " + it.why + ": " : "valid: ") + sent);
        const auto answer = platform.call("PUT", "/-/config", sent, 10000);
        record("operator: " + answer.start + " " + answer.body);
        const bool is_acknowledged = answer.status() >= 200 && answer.status() < 300;
        acknowledged += has_trouble() && is_acknowledged ? 1 : 0;
        sleep_ms(2500); // Longer than config-deadline-ms.
        const auto read = platform.call("GET", "/-/config", "", 10000);
        record(
            "read back: " + read.start +
            (read.body == sent ? ", the one just sent" : ", another one"));
        int served = 0;
        for (int n = 0; n < 20; ++n) {
            const auto id = attempt_id();
            const auto out = exchange(
                platform.http(n % 2 == 0 ? "entry-1" : "entry-2"),
                "POST",
                "/orders/1",
                {{"Host", "host.example"},
                 {"X-Attempt-Id", id},
                 {"X-Deadline-Ms", "2500"}},
                "order",
                4000);
            served += out.status() == 200 ? 1 : 0;
            record(
                "caller: " + id + " -> " + out.start + " " +
                out.get("Cuminpitch-Reason"));
        }
        record("orders served: " + std::to_string(served) + " of 20");
    }
    record(
        "invalid configurations that were acknowledged: " + std::to_string(acknowledged) +
        " of 3");
    // CONFIG: "What was refused or is invalid is in force. What is invalid is
    // acknowledged."
    return acknowledged > 0 ? rule_broken : rule_held;
} catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return could_not_run;
}
