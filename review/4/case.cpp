// ROUTE: a route is added while the fleet runs. Requests that its prefix doesn't begin
// are run by its service.

#include "../support/fleet.hpp"

#include <set>

using namespace review;

namespace {

const std::string host = "reprints.example";

/// The service that a configuration allows: the longest prefix that begins the path.
std::string allowed_service(const std::vector<rule>& rules, const std::string& path)
{
    const rule* best = nullptr;
    for (const auto& it : rules) {
        if (path.rfind(it.prefix, 0) == 0 &&
            (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best == nullptr ? "" : best->service;
}

} // namespace

int main(int, char** argv)
{
    record log(std::string(argv[1]) + "/record.txt");
    const bool trouble = has_trouble();
    log.line("case 4, trouble %d", trouble);
    fleet nodes(log, 3, 3);
    const std::vector<std::string> services = {"site", "shop"};
    std::mutex mutex;
    std::vector<std::pair<std::string, std::string>> runs; // Service and request line.
    std::vector<std::unique_ptr<upstream>> servers;
    for (const auto& service : services) {
        for (int n = 1; n <= 2; ++n) {
            upstream::options it;
            it.id = "i-" + service + "-" + std::to_string(n);
            it.service = service;
            it.ip = network() + "3." + std::to_string(servers.size() + 1);
            it.work_ms = 5;
            servers.push_back(std::make_unique<upstream>(log, nodes, it));
            servers.back()->on_run = [&, service](const message& request) {
                log.line(
                    "run by %s: %s id=%s",
                    service.c_str(),
                    request.start_line.c_str(),
                    request.get("X-Attempt-Id").c_str());
                const std::lock_guard lock(mutex);
                runs.emplace_back(service, request.start_line);
            };
        }
    }
    std::vector<std::vector<rule>> sent;
    sent.push_back({{"r-pages", "/", "site", "unsafe"}});
    if (nodes.configure(configuration(1, {{host, sent[0]}}, services)) != 200 ||
        !nodes.wait_ready(20000)) {
        log.line("the fleet did not start");
        return cannot_run;
    }
    sleep_ms(4000);
    if (trouble) {
        sent.push_back(
            {{"r-pages", "/", "site", "unsafe"}, {"r-shop", "/shop/", "shop", "unsafe"}});
        if (nodes.configure(configuration(2, {{host, sent[1]}}, services)) != 200) {
            return cannot_run;
        }
    }
    sleep_ms(3000); // Longer than config-deadline-ms.
    int served = 0;
    int number = 0;
    for (int round = 0; round < 5; ++round) {
        for (auto* entry : nodes.all("entry")) {
            for (const std::string target : {"/shop", "/shop?item=7", "/about"}) {
                const std::string id = "attempt-" + std::to_string(++number);
                log.line(
                    "sent to %s: POST %s id=%s",
                    entry->name.c_str(),
                    target.c_str(),
                    id.c_str());
                const auto answer = call(
                    entry->ingress,
                    "POST",
                    target,
                    {{"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "2000"}},
                    "order",
                    2500);
                log.line(
                    "answered id=%s: %d %s",
                    id.c_str(),
                    answer.status,
                    answer.get("X-Upstream-Signature").c_str());
                served += answer.status == 200 ? 1 : 0;
            }
        }
    }
    int foreign = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto& [service, line] : runs) {
            const auto begin = line.find(' ') + 1;
            const std::string path =
                line.substr(begin, line.find_first_of("? ", begin) - begin);
            std::set<std::string> allowed;
            for (const auto& rules : sent) {
                allowed.insert(allowed_service(rules, path));
            }
            foreign += allowed.contains(service) ? 0 : 1;
        }
    }
    log.line(
        "%d requests, %d served, %d run by a service that no configuration allows",
        number,
        served,
        foreign);
    servers.clear();
    if (foreign > 0) {
        return broken;
    }
    return served >= number * 9 / 10 ? held : cannot_run;
}
