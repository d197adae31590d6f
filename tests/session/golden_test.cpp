#include "session/traffic.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cuminpitch::testing {
namespace {

using json = nlohmann::json;

/// Runs a fixed scenario and records a transcript of all log lines of processes and all
/// results that callers and operators receive.
class session
{
public:
    session(example what, std::vector<std::string> domains, absl::Duration delay)
        : fleet_(
              {.seed = 7,
               .entries = 5,
               .failure_domains = std::move(domains),
               .least_delay = delay,
               .most_delay = delay}),
          traffic_(fleet_, std::move(what))
    {
    }

    std::string run()
    {
        fleet_.on_log = [this](const auto& who, const auto& it) { write(who, it); };
        traffic_.start_fleet();
        write("session", "servers announced");
        write_status();
        send_requests();
        fail_and_recover_server();
        submit_changes();
        stop_processes();
        write_status();
        return std::move(text_).str();
    }

private:
    void write(const std::string& who, const std::string& what)
    {
        const auto ms = absl::ToInt64Milliseconds(fleet_.elapsed());
        text_ << ms << ' ' << who << ": " << what << '\n';
    }

    void write_result(const sent_request& it)
    {
        write(
            "caller",
            "request " + it.id + " at " + it.to + ": " +
                std::to_string(it.result.response.status) + " " + it.verdict() + " \"" +
                it.result.response.body + "\"");
    }

    void write_status()
    {
        for (std::size_t i = 0; i < fleet_.entries(); ++i) {
            if (!fleet_.is_running(i)) {
                continue;
            }
            const json status = json::parse(fleet_.status(i));
            std::string line = "status revision=" + status["revision"].dump() +
                               " isolated=" + status["isolated"].dump();
            for (const auto& pool : status["pools"]) {
                std::size_t fresh = 0;
                for (const auto& server : pool["servers"]) {
                    fresh += server["fresh"].get<bool>() ? 1 : 0;
                }
                line += " " + pool["pool"].get<std::string>() +
                        "(coordinator=" + pool["coordinator"].dump() +
                        " fresh=" + std::to_string(fresh) + ")";
            }
            write(fleet_.entry(i).id.str(), line);
        }
    }

    /// For each route, queries its entries, then sends one request to one of these and
    /// one to each entry of the fleet.
    void send_requests()
    {
        traffic_.on_result = [this](const auto& it) { write_result(it); };
        for (const auto& route : traffic_.what().routes) {
            traffic_.query_entries(route, [this, route](const auto& entries) {
                std::string line = "entries of " + route.path + ":";
                for (const auto& it : entries) {
                    line += " " + it;
                }
                write("caller", line);
            });
            fleet_.run_for(absl::Seconds(1));
            traffic_.send(route);
            fleet_.run_for(absl::Seconds(1));
            for (std::size_t i = 0; i < fleet_.entries(); ++i) {
                traffic_.send(route, fleet_.entry(i).http.str());
            }
            fleet_.run_for(absl::Seconds(1));
        }
    }

    /// Gray failure of a server: its probes pass but all requests fail. After 30 s the
    /// server recovers.
    void fail_and_recover_server()
    {
        auto& faulty_server = fleet_.backends().front();
        write("session", faulty_server.name + " fails all requests");
        traffic_.on_result = {};
        faulty_server.faults.fails = 1;
        traffic_.run(absl::Milliseconds(10), absl::Seconds(30));
        write("session", faulty_server.name + " works again");
        faulty_server.faults.fails = 0;
        traffic_.run(absl::Milliseconds(20), absl::Seconds(60));
        std::size_t failed = 0;
        for (const auto& it : traffic_.sent()) {
            failed += it.results == 1 && it.result.response.status == 200 ? 0 : 1;
        }
        write(
            "session",
            std::to_string(failed) + " of " + std::to_string(traffic_.sent().size()) +
                " requests failed");
    }

    void submit_change(const json& body)
    {
        write("operator", "change " + body["id"].get<std::string>());
        fleet_.ask_control(
            "POST", "/v1/changes", body.dump(), [this, body](const auto& it) {
                write(
                    "operator",
                    body["id"].get<std::string>() + ": " + std::to_string(it.status) +
                        " " + it.body);
            });
        fleet_.run_for(absl::Seconds(5));
    }

    /// Submits a valid change, the same change again, one with an outdated base revision
    /// and one with an invalid value.
    void submit_changes()
    {
        const auto& team = traffic_.what().name;
        const std::string setting =
            "teams/" + team + "/pools/" + traffic_.what().pools[0].first + "/entries";
        const auto base = fleet_.revision(0).value();
        const auto body = [&](const char* id, const json& value) {
            return json{
                {"id", id},
                {"base_revision", base},
                {"operations", {{{"path", setting}, {"value", value}}}}};
        };
        submit_change(body("add-entry", 5));
        submit_change(body("add-entry", 5));
        submit_change(body("old-base", 2));
        auto wrong = body("wrong", 0);
        wrong["base_revision"] = fleet_.revision(0).value();
        submit_change(wrong);
        fleet_.run_for(absl::Seconds(10));
        write_status();
    }

    /// Graceful shutdown, under load, of an entry, of a server and of each control
    /// instance in turn.
    void stop_processes()
    {
        write("session", "entry-2 stops");
        fleet_.stop_entry(1);
        traffic_.run(absl::Milliseconds(50), absl::Seconds(8));
        auto& leaving = fleet_.backends().back();
        write("session", leaving.name + " leaves");
        fleet_.leave(leaving);
        traffic_.run(absl::Milliseconds(50), absl::Seconds(5));
        for (std::size_t i = 0; i < fleet_.controls(); ++i) {
            write("session", "control-" + std::to_string(i + 1) + " stops");
            fleet_.stop_control(i);
            traffic_.run(absl::Milliseconds(50), absl::Seconds(5));
            if (!fleet_.is_control_running(i)) {
                fleet_.start_control(i);
            }
            traffic_.run(absl::Milliseconds(50), absl::Seconds(3));
        }
        std::size_t unknown_outcomes = 0;
        for (const auto& it : traffic_.sent()) {
            unknown_outcomes += it.verdict() == "may-have-run" ? 1 : 0;
        }
        write(
            "session",
            std::to_string(unknown_outcomes) + " requests have an unknown outcome");
    }

    memory_fleet fleet_;
    traffic traffic_;
    std::ostringstream text_;
};

void compare_with_golden(const std::string& name, const std::string& transcript)
{
    const std::string path =
        std::string(CUMINPITCH_SOURCE_DIR) + "/tests/session/golden/" + name + ".txt";
    const char* update = std::getenv("CUMINPITCH_UPDATE_GOLDEN");
    if (update != nullptr && std::string(update) == "1") {
        std::ofstream(path) << transcript;
    }
    std::ifstream file(path);
    std::ostringstream golden;
    golden << file.rdbuf();
    EXPECT_EQ(golden.str(), transcript);
}

std::string cooperative_session()
{
    return session(
               cooperative(28, 8),
               {"pnw-a", "pnw-b", "pnw-c", "pnw-d"},
               absl::Milliseconds(1))
        .run();
}

std::string guarda_chuva_session()
{
    return session(
               guarda_chuva(21, 6),
               {"recife-centro", "olinda", "jaboatao"},
               absl::Microseconds(1500))
        .run();
}

// Guards against unintended changes of the logs and responses of Cooperative's fleet.
TEST(golden_session, cooperative)
{
    compare_with_golden("cooperative", cooperative_session());
}

// Guards against unintended changes of the logs and responses of Guarda-Chuva's fleet.
TEST(golden_session, guarda_chuva)
{
    const auto first = guarda_chuva_session();
    compare_with_golden("guarda-chuva", first);
    // A second run guards against state machines that depend on addresses, hash seeds or
    // global state.
    EXPECT_EQ(guarda_chuva_session(), first);
}

} // namespace
} // namespace cuminpitch::testing
