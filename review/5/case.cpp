// UNASKED: the body of a request is run as a request of its own if a blank stands before
// the colon of Content-Length.

#include "../support/fleet.hpp"

#include <set>

using namespace review;

int main(int, char** argv)
{
    record log(std::string(argv[1]) + "/record.txt");
    const bool trouble = has_trouble();
    log.line("case 5, trouble %d", trouble);
    const std::string host = "reprints.example";
    fleet nodes(log, 3, 3);
    std::mutex mutex;
    std::map<std::string, std::string> runs; // Bodies by id.
    std::vector<std::unique_ptr<upstream>> servers;
    for (int n = 1; n <= 2; ++n) {
        upstream::options it;
        it.id = "i-lookup-" + std::to_string(n);
        it.service = "lookup";
        it.ip = "127.77.3." + std::to_string(n);
        it.work_ms = 5;
        servers.push_back(std::make_unique<upstream>(log, nodes, it));
        servers.back()->on_run = [&](const message& request) {
            const auto id = request.get("X-Attempt-Id");
            log.line(
                "run: %s id=%s body of %zu bytes",
                request.start_line.c_str(),
                id.c_str(),
                request.body.size());
            const std::lock_guard lock(mutex);
            runs[id] = request.body;
        };
    }
    const std::vector<listener> listeners = {
        {host,
         {{"r-scan", "/scan/", "lookup", "upload"},
          {"r-order", "/order/", "lookup", "unsafe"}}}};
    if (nodes.configure(configuration(1, listeners, {"lookup"})) != 200 ||
        !nodes.wait_ready(20000)) {
        log.line("the fleet did not start");
        return cannot_run;
    }
    sleep_ms(5000);
    std::map<std::string, std::string> sent;
    std::set<std::string> unasked;
    int served = 0;
    for (int number = 1; number <= 15; ++number) {
        const auto* entry = nodes.all("entry")[std::size_t(number) % 3];
        const std::string id = "scan-" + std::to_string(number);
        // A scan whose bytes look like a request.
        const std::string body = "POST /order/x HTTP/1.1\r\nHost: " + host +
                                 "\r\nX-Attempt-Id: inside-" + id +
                                 "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        const std::string head =
            "POST /scan/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
            "\r\nX-Deadline-Ms: 2000\r\nContent-Length" + (trouble ? " : " : ": ") +
            std::to_string(body.size()) + "\r\n\r\n";
        sent[id] = body;
        connection it;
        message answer;
        const auto until = now_ms() + 2000;
        const bool done = it.open(entry->ingress, 1000) && it.send(head + body, until) &&
                          it.read(answer, until);
        served += done && answer.status == 200 ? 1 : 0;
        log.line(
            "sent %s to %s, answered %d",
            id.c_str(),
            entry->name.c_str(),
            done ? answer.status : 0);
        sleep_ms(100);
    }
    sleep_ms(1000);
    int changed = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto& [id, body] : runs) {
            const auto found = sent.find(id);
            if (found == sent.end()) {
                unasked.insert(id);
            } else {
                changed += body == found->second ? 0 : 1;
            }
        }
    }
    log.line(
        "%zu sent, %d served, %zu run whose id no head bore, %d run with another body",
        sent.size(),
        served,
        unasked.size(),
        changed);
    servers.clear();
    if (!unasked.empty() || changed > 0) {
        return broken;
    }
    return trouble || served > 13 ? held : cannot_run;
}
