// ROUTE: a configuration adds a second host whose rule has the name of a rule of the
// first. The first host loses its route, and its requests are run by another service.

#include "../support/fleet.hpp"

#include <set>

using namespace review;

namespace {

/// The service that a configuration allows: the longest prefix of the host that begins
/// the path.
std::string allowed_service(
    const std::vector<listener>& listeners,
    const std::string& host,
    const std::string& path)
{
    const rule* best = nullptr;
    for (const auto& each : listeners) {
        for (const auto& it : each.rules) {
            if (each.host == host && path.rfind(it.prefix, 0) == 0 &&
                (best == nullptr || it.prefix.size() > best->prefix.size())) {
                best = &it;
            }
        }
    }
    return best == nullptr ? "" : best->service;
}

struct run
{
    std::string service;
    std::string host;
    std::string path;
};

} // namespace

int main(int, char** argv)
{
    record log(std::string(argv[1]) + "/record.txt");
    const bool trouble = has_trouble();
    log.line("case 5, trouble %d", trouble);
    fleet nodes(log, 3, 3);
    const std::vector<std::string> services = {"lookup", "archive"};
    std::mutex mutex;
    std::vector<run> runs;
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
                const auto& line = request.start_line;
                const auto begin = line.find(' ') + 1;
                const run it = {
                    service,
                    request.get("Host"),
                    line.substr(begin, line.find(' ', begin) - begin)};
                log.line(
                    "run by %s: %s%s id=%s",
                    service.c_str(),
                    it.host.c_str(),
                    it.path.c_str(),
                    request.get("X-Attempt-Id").c_str());
                const std::lock_guard lock(mutex);
                runs.push_back(it);
            };
        }
    }
    const std::string first = "shop-one.example";
    const std::string second = "shop-two.example";
    std::vector<std::vector<listener>> sent;
    sent.push_back(
        {{first,
          {{"r-fix", "/record-fix/", "archive", "unsafe"},
           {"r-all", "/", "lookup", "safe"}}}});
    if (nodes.configure(configuration(1, sent[0], services)) != 200 ||
        !nodes.wait_ready(20000)) {
        log.line("the fleet did not start");
        return cannot_run;
    }
    sleep_ms(4000);
    // The second configuration keeps the first host as it is.
    sent.push_back(sent[0]);
    sent.back().push_back(
        {second,
         {{trouble ? "r-fix" : "r-fix-two", "/record-fix/", "archive", "unsafe"}}});
    if (nodes.configure(configuration(2, sent[1], services)) != 200) {
        return cannot_run;
    }
    sleep_ms(3000); // Longer than config-deadline-ms.
    int served = 0;
    int number = 0;
    for (int round = 0; round < 5; ++round) {
        for (auto* entry : nodes.all("entry")) {
            for (const auto& host : {first, second}) {
                const std::string id = "attempt-" + std::to_string(++number);
                log.line(
                    "sent to %s: DELETE %s/record-fix/7 id=%s",
                    entry->name.c_str(),
                    host.c_str(),
                    id.c_str());
                const auto answer = call(
                    entry->ingress,
                    "DELETE",
                    "/record-fix/7",
                    {{"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "1500"}},
                    "",
                    2000);
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
        for (const auto& it : runs) {
            std::set<std::string> allowed;
            for (const auto& listeners : sent) {
                allowed.insert(allowed_service(listeners, it.host, it.path));
            }
            foreign += allowed.contains(it.service) ? 0 : 1;
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
