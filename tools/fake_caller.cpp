// Fake caller: sends a fixed number of requests through the fleet and prints the result
// of each.
#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/http/client.hpp"

#include <CLI/CLI.hpp>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <thread>

namespace cuminpitch {
namespace {

using nlohmann::json;

struct settings
{
    std::vector<std::string> entries;
    std::vector<std::string> direct;
    std::string host = "localhost";
    std::string path = "/";
    std::string caller = "caller-1";
    unsigned count = 100;
    double rate = 100;
    unsigned threads = 4;
    unsigned post_percent = 50;
    unsigned body_bytes = 256;
    unsigned deadline_ms = 5000;
    unsigned max_duration_s = 600;
    std::uint64_t seed = 1;
    bool is_quiet = false;
};

std::vector<core::endpoint> endpoints(const std::vector<std::string>& texts)
{
    std::vector<core::endpoint> out;
    for (const auto& text : texts) {
        const auto at = core::parse_endpoint(text);
        if (at && at->host.rfind("127.", 0) == 0) {
            out.push_back(*at);
        }
    }
    return out;
}

/// Chooses the endpoints for requests. Asks an entry for the list of entries and caches
/// it for keep_ms.
class endpoint_resolver
{
public:
    endpoint_resolver(const settings& it, http::client& client)
        : settings_(it), client_(client), configured_entries_(endpoints(it.entries)),
          direct_(endpoints(it.direct))
    {
    }

    core::endpoint pick(core::random_source& random)
    {
        const absl::MutexLock lock(&mutex_);
        if (!direct_.empty()) {
            return direct_[random() % direct_.size()];
        }
        if (absl::Now() >= expires_) {
            refresh(random);
        }
        const auto& from =
            cached_entries_.empty() ? configured_entries_ : cached_entries_;
        return from[random() % from.size()];
    }

    /// Removes an entry that didn't respond until the next refresh.
    void drop(const core::endpoint& it)
    {
        const absl::MutexLock lock(&mutex_);
        std::erase(cached_entries_, it);
    }

private:
    void refresh(core::random_source& random)
    {
        const auto from = configured_entries_[random() % configured_entries_.size()];
        http::client_request request;
        request.to = from;
        request.method = "GET";
        request.target =
            "/.cuminpitch/v1/entries?host=" + settings_.host + "&path=" + settings_.path;
        request.timeout = absl::Seconds(1);
        std::promise<http::client_result> done;
        client_.start(
            request, [&](http::client_result it) { done.set_value(std::move(it)); });
        const auto result = done.get_future().get();
        expires_ = absl::Now() + absl::Milliseconds(100);
        const auto body = json::parse(result.response.body, nullptr, false);
        if (result.failure != http::failure::none || !body.is_object() ||
            !body.contains("entries")) {
            return;
        }
        std::vector<std::string> texts;
        for (const auto& it : body["entries"]) {
            if (it.is_string()) {
                texts.push_back(it.get<std::string>());
            }
        }
        const auto fresh = endpoints(texts);
        if (!fresh.empty()) {
            cached_entries_ = fresh;
            expires_ = absl::Now() + absl::Milliseconds(body.value("keep_ms", 5000));
        }
    }

    const settings& settings_;
    http::client& client_;
    const std::vector<core::endpoint> configured_entries_;
    const std::vector<core::endpoint> direct_;
    absl::Mutex mutex_;
    std::vector<core::endpoint> cached_entries_;
    absl::Time expires_ = absl::InfinitePast();
};

/// Collects the results of all threads.
class report
{
public:
    explicit report(bool is_quiet) : is_quiet_(is_quiet) {}

    void add(const json& line, double ms)
    {
        const absl::MutexLock lock(&mutex_);
        ++counts_[line["result"].get<std::string>()];
        if (line["result"] == "answered") {
            answered_ms_.push_back(ms);
        }
        if (!is_quiet_) {
            std::cout << line.dump() << "\n";
        }
    }

    json summary()
    {
        const absl::MutexLock lock(&mutex_);
        std::sort(answered_ms_.begin(), answered_ms_.end());
        const auto quantile = [&](double q) {
            return answered_ms_.empty()
                       ? 0.0
                       : answered_ms_[static_cast<std::size_t>(
                             q * static_cast<double>(answered_ms_.size() - 1))];
        };
        json out = {
            {"summary", true}, {"p50_ms", quantile(0.5)}, {"p99_ms", quantile(0.99)}};
        for (const char* name :
             {"answered", "refused_not_run", "may_have_run", "wrong_response"}) {
            out[name] = counts_[name];
        }
        return out;
    }

private:
    const bool is_quiet_;
    absl::Mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
    std::vector<double> answered_ms_;
};

std::string random_body(core::random_source& random, std::size_t size)
{
    std::string out(size, ' ');
    for (auto& it : out) {
        it = static_cast<char>('a' + random() % 26);
    }
    return out;
}

/// Returns answered, refused_not_run or may_have_run; wrong_response if the response is
/// incomplete or belongs to another request.
std::string classify(
    const http::client_result& it,
    const http::client_request& sent,
    const std::string& id)
{
    if (it.failure != http::failure::none) {
        return it.verdict == core::verdict::not_run ? "refused_not_run" : "may_have_run";
    }
    const auto& fields = it.response.headers;
    const std::string verdict = fields.get("Cuminpitch-Verdict");
    // When called directly, the backend server itself sets Cuminpitch-Run.
    if (verdict == "not-run" || fields.get("Cuminpitch-Run") == "not-run") {
        return "refused_not_run";
    }
    if (verdict == "may-have-run" || it.response.status >= 500) {
        return "may_have_run";
    }
    const bool is_own =
        fields.get("X-Request-Id") == id &&
        fields.get("X-Body-Hash") == std::to_string(core::hash64(sent.body)) &&
        it.response.body == id + "\n" + sent.body;
    return is_own ? "answered" : "wrong_response";
}

void run_one(
    const settings& at,
    unsigned number,
    endpoint_resolver& resolver,
    http::client& client,
    core::random_source& random,
    report& out)
{
    const std::string id =
        at.caller + "-" + std::to_string(at.seed) + "-" + std::to_string(number);
    http::client_request request;
    request.to = resolver.pick(random);
    request.method = random() % 100 < at.post_percent ? "POST" : "GET";
    request.target = at.path;
    request.headers.set("Host", at.host);
    request.headers.set("X-Request-Id", id);
    request.headers.set("Cuminpitch-Caller", at.caller);
    request.headers.set("Cuminpitch-Deadline-Ms", std::to_string(at.deadline_ms));
    if (request.method == "POST") {
        request.body = random_body(random, at.body_bytes);
    }
    request.timeout = absl::Milliseconds(at.deadline_ms) + absl::Seconds(1);
    request.fresh_connection = request.method == "POST";
    const auto begin_ms = absl::ToUnixMillis(absl::Now());
    std::promise<http::client_result> done;
    client.start(request, [&](http::client_result it) { done.set_value(std::move(it)); });
    const auto result = done.get_future().get();
    if (result.failure != http::failure::none) {
        resolver.drop(request.to);
    }
    const double ms = absl::ToDoubleMilliseconds(result.elapsed);
    out.add(
        {{"request_id", id},
         {"method", request.method},
         {"to", request.to.str()},
         {"begin_ms", begin_ms},
         {"ms", ms},
         {"status", result.failure == http::failure::none ? result.response.status : 0},
         {"reason", result.response.headers.get("Cuminpitch-Reason")},
         {"result", classify(result, request, id)}},
        ms);
}

int send_all(const settings& at)
{
    const auto client = http::client::create();
    endpoint_resolver resolver(at, *client);
    report out(at.is_quiet);
    std::atomic<unsigned> next{0};
    const auto begin = absl::Now();
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < at.threads; ++thread) {
        threads.emplace_back([&, thread] {
            core::random_source random(at.seed * 1000 + thread);
            for (unsigned n = next++; n < at.count; n = next++) {
                const auto due = begin + absl::Seconds(n / at.rate);
                if (due - begin > absl::Seconds(at.max_duration_s)) {
                    return;
                }
                absl::SleepFor(due - absl::Now());
                run_one(at, n, resolver, *client, random, out);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    std::cout << out.summary().dump() << std::endl;
    return 0;
}

} // namespace
} // namespace cuminpitch

int main(int argc, char** argv)
{
    cuminpitch::settings it;
    CLI::App app("Fake caller");
    app.add_option("--entry", it.entries, "Endpoints of entries, host:port")
        ->delimiter(',');
    app.add_option("--direct", it.direct, "Endpoints of backend servers, host:port")
        ->delimiter(',');
    app.add_option("--host", it.host);
    app.add_option("--path", it.path);
    app.add_option("--caller", it.caller);
    app.add_option("--count", it.count)->check(CLI::Range(1, 10000000));
    app.add_option("--rate", it.rate, "Requests/s of all threads together")
        ->check(CLI::Range(0.1, 100000.0));
    app.add_option("--threads", it.threads)->check(CLI::Range(1, 64));
    app.add_option("--post-percent", it.post_percent)->check(CLI::Range(0, 100));
    app.add_option("--body-bytes", it.body_bytes);
    app.add_option("--deadline-ms", it.deadline_ms);
    app.add_option(
        "--longest-s", it.max_duration_s, "Time after which no more requests are sent");
    app.add_option("--seed", it.seed);
    app.add_flag("--quiet", it.is_quiet, "Print only the summary");
    CLI11_PARSE(app, argc, argv);
    if (cuminpitch::endpoints(it.direct).size() != it.direct.size() ||
        cuminpitch::endpoints(it.entries).size() != it.entries.size() ||
        it.direct.empty() == it.entries.empty()) {
        std::cerr << "give either --entry or --direct, host:port in 127.0.0.0/8\n";
        return 2;
    }
    return cuminpitch::send_all(it);
}
