// FLOOR: check-ins of another writer, with a service that isn't named here, take
// upstreams out of use for good.

#include "../support/fleet.hpp"

#include <set>

using namespace review;

namespace {

const std::string host = "plots.example";
constexpr int server_count = 6;
constexpr int displaced_count = 3;
constexpr int requests_per_s = 90; // The servers run 120 a second.
constexpr int run_ms = 20'000;
constexpr int time_budget_ms = 1500;
constexpr int window_ms = 2000;
constexpr double floor_share = 0.7;

struct sent_request
{
    std::int64_t at = 0;
    bool is_served = false;
};

struct arrival
{
    std::int64_t at;
    int server;
};

/// The check-in of another writer: complete, of a service that no configuration names, at
/// the address of a server.
std::string foreign_check_in(const upstream& server)
{
    return "{\"service\":\"elsewhere\",\"address\":\"" + server.at().str() +
           "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
           "\"warmup-ms\":0,\"born\":" +
           std::to_string(upstream::unix_ms()) + ",\"seq\":1}";
}

} // namespace

int main(int, char** argv)
{
    record log(std::string(argv[1]) + "/record.txt");
    const bool trouble = has_trouble();
    log.line("case 3, trouble %d", trouble);
    fleet nodes(log, 3, 3);
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::vector<std::unique_ptr<upstream>> servers;
    for (int n = 0; n < server_count; ++n) {
        upstream::options it;
        it.id = "i-lookup-" + std::to_string(n + 1);
        it.service = "lookup";
        it.ip = network() + "3." + std::to_string(n + 1);
        it.zone = "zone-" + std::to_string(n % 3 + 1);
        it.slots = 2;
        it.queue = 4;
        it.work_ms = 100;
        servers.push_back(std::make_unique<upstream>(log, nodes, it));
        servers.back()->on_run = [&, n](const message& request) {
            const std::lock_guard lock(mutex);
            arrivals.push_back({now_ms(), n});
            log.line("%d runs %s", n + 1, request.get("X-Attempt-Id").c_str());
        };
    }
    const std::vector<listener> listeners = {
        {host, {{"r-search", "/search/", "lookup", "unsafe", time_budget_ms}}}};
    if (nodes.configure(configuration(1, listeners, {"lookup"})) != 200 ||
        !nodes.wait_ready(20000)) {
        log.line("the fleet did not start");
        return cannot_run;
    }
    sleep_ms(7000); // Twice liveness-ms, and the first check-ins.
    std::vector<int> acknowledged_before;
    for (const auto& it : servers) {
        acknowledged_before.push_back(it->acknowledged());
    }
    const auto begin = now_ms();
    std::vector<sent_request> sent(std::size_t(requests_per_s) * run_ms / 1000);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> consumers;
    const auto entries = nodes.all("entry");
    for (int n = 0; n < 100; ++n) {
        consumers.emplace_back([&] {
            for (auto i = next++; i < sent.size(); i = next++) {
                const auto at = begin + std::int64_t(i) * 1000 / requests_per_s;
                sleep_ms(std::max<std::int64_t>(0, at - now_ms()));
                sent[i].at = now_ms();
                const std::string id = "search-" + std::to_string(i + 1);
                const auto answer = call(
                    entries[i % entries.size()]->ingress,
                    "POST",
                    "/search/x",
                    {{"Host", host},
                     {"X-Attempt-Id", id},
                     {"X-Deadline-Ms", std::to_string(time_budget_ms)}},
                    "plot",
                    time_budget_ms);
                sent[i].is_served = answer.status == 200;
                log.line(
                    "%s sent at %lld, answered %d %s",
                    id.c_str(),
                    static_cast<long long>(sent[i].at),
                    answer.status,
                    answer.get("Cuminpitch-Reason").c_str());
            }
        });
    }
    sleep_ms(5000);
    if (trouble) {
        for (int n = 0; n < displaced_count; ++n) {
            const auto body = foreign_check_in(*servers[std::size_t(n)]);
            const auto answer = nodes.call_control(
                "PUT", "/-/upstreams/other-" + std::to_string(n + 1), body);
            log.line("other writer sent %s, answered %d", body.c_str(), answer.status);
        }
    }
    for (auto& it : consumers) {
        it.join();
    }
    bool are_acknowledged = true;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        const int count = servers[n]->acknowledged() - acknowledged_before[n];
        log.line("check-ins of server %zu acknowledged meanwhile: %d", n + 1, count);
        are_acknowledged = are_acknowledged && count > 5;
    }
    int served = 0;
    for (const auto& it : sent) {
        served += it.is_served ? 1 : 0;
    }
    int bad_windows = 0;
    for (auto from = begin; from + window_ms <= begin + run_ms; from += 100) {
        std::set<int> used;
        {
            const std::lock_guard lock(mutex);
            for (const auto& it : arrivals) {
                if (it.at >= from && it.at < from + window_ms) {
                    used.insert(it.server);
                }
            }
        }
        int all = 0;
        int unserved = 0;
        for (const auto& it : sent) {
            if (it.at >= from && it.at < from + window_ms) {
                ++all;
                unserved += it.is_served ? 0 : 1;
            }
        }
        const double share = double(unserved) / std::max(1, all);
        const bool is_bad = !used.empty() &&
                            double(used.size()) < floor_share * server_count &&
                            share > 0.1 && share < 0.5;
        bad_windows += is_bad ? 1 : 0;
        log.line(
            "window at %lld: %zu of %d servers get requests, %d of %d requests not "
            "served%s",
            static_cast<long long>(from),
            used.size(),
            server_count,
            unserved,
            all,
            is_bad ? ": FLOOR" : "");
    }
    log.line(
        "%d of %zu requests served, %d windows break the rule",
        served,
        sent.size(),
        bad_windows);
    servers.clear();
    if (!are_acknowledged) {
        return cannot_run;
    }
    if (bad_windows > 0) {
        return broken;
    }
    return served > int(sent.size()) * 9 / 10 ? held : cannot_run;
}
