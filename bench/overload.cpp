// Simulates overload of one pool: runs the production dispatcher with simulated servers,
// clock and callers. Prints one JSON line for each combination of number of entries,
// load, and admission control on or off.
#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/request/dispatcher.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <queue>
#include <random>

namespace cuminpitch::request {
namespace {

using nlohmann::json;

constexpr int servers = 28;
constexpr unsigned slots_per_server = 4;
constexpr int callers = 20;
/// Fraction of the requests that one caller sends; the other callers share the rest.
constexpr double greedy_part = 0.5;
constexpr absl::Duration tick_step = absl::Milliseconds(20);

struct setup
{
    int entries = 3;
    double load = 1;
    bool has_admission_control = true;
    double seconds = 10;
    double warm_up_seconds = 2;
    double service_ms = 20;
    int deadline_ms = 500;
    std::uint64_t seed = 1;
};

struct counts
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_greedy = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> verdicts;
    std::vector<double> added_ms;
    std::vector<double> added_ms_others; ///< Without the greedy caller.
};

/// Number of slots that an entry gets at a server. The remainder of the division goes to
/// entries chosen by the server's hash.
unsigned share(int entry, int server, int entries)
{
    const auto n = static_cast<unsigned>(entries);
    const auto first = core::hash64(std::to_string(server)) % n;
    const auto place = (static_cast<unsigned>(entry) + n - first) % n;
    return slots_per_server / n + (place < slots_per_server % n ? 1 : 0);
}

class simulation
{
public:
    explicit simulation(const setup& it) : setup_(it), random_(it.seed) { start(); }

    counts run();

private:
    struct open_request
    {
        absl::Time arrival;
        bool is_greedy = false;
        absl::Duration service;
    };
    struct event_at
    {
        absl::Time time;
        std::uint64_t order;
        std::function<void()> run;
        friend bool operator>(const event_at& a, const event_at& b)
        {
            return std::tie(a.time, a.order) > std::tie(b.time, b.order);
        }
    };

    void start();
    void schedule(absl::Time at, std::function<void()> run)
    {
        events_.push({at, ++last_event_, std::move(run)});
    }
    void arrive();
    void tick_entry(int entry);
    void carry_out(int entry, const std::vector<action>& actions);
    void begin_attempt(int entry, const start_attempt& it);
    void end(const request_id& id, const char* refusal, core::verdict verdict);
    absl::Duration exponential(double mean_ms)
    {
        return absl::Milliseconds(std::exponential_distribution<>(1 / mean_ms)(random_));
    }
    bool is_counted() const
    {
        return now_ >= begin_ + absl::Seconds(setup_.warm_up_seconds);
    }

    const setup setup_;
    std::mt19937_64 random_;
    const absl::Time begin_ = absl::FromUnixSeconds(1000);
    absl::Time now_ = begin_;
    absl::Time end_;
    std::uint64_t last_event_ = 0;
    std::priority_queue<event_at, std::vector<event_at>, std::greater<>> events_;
    std::shared_ptr<config::declarations> declared_ =
        std::make_shared<config::declarations>();
    telemetry::metrics counters_;
    std::vector<std::unique_ptr<dispatcher>> entries_;
    std::vector<std::shared_ptr<const http::request>> messages_;
    request_id last_;
    absl::flat_hash_map<request_id, open_request> open_;
    counts counts_;
};

void simulation::start()
{
    end_ = begin_ + absl::Seconds(setup_.warm_up_seconds + setup_.seconds);
    config::pool_settings pool;
    pool.id = {core::team_id("cooperative"), "lookup"};
    config::route_settings route;
    route.id = {pool.id.team, "lookup"};
    route.host = "h";
    route.path_prefix = "/";
    route.pool = pool.id;
    declared_->pools[pool.id] = pool;
    declared_->routes[route.id] = route;
    for (int caller = 0; caller < callers; ++caller) {
        auto message = std::make_shared<http::request>();
        message->method = "GET";
        message->target = message->path = "/";
        message->headers.set("Host", "h");
        message->headers.set("Cuminpitch-Caller", "caller-" + std::to_string(caller));
        message->headers.set(
            "Cuminpitch-Deadline-Ms", std::to_string(setup_.deadline_ms));
        messages_.push_back(std::move(message));
    }
    for (int entry = 0; entry < setup_.entries; ++entry) {
        dispatcher_options options;
        options.has_admission_control = setup_.has_admission_control;
        options.in_flight_limit = setup_.has_admission_control ? 4096 : 1U << 30U;
        entries_.push_back(std::make_unique<dispatcher>(
            options,
            core::random_source(setup_.seed + static_cast<unsigned>(entry)),
            counters_));
        entries_.back()->set_routes(std::make_shared<route_table>(declared_));
        pool_update update;
        update.pool = pool.id;
        update.settings = pool;
        update.is_assigned = true;
        for (int server = 0; server < servers; ++server) {
            update.servers.push_back(
                {core::server_id("s" + std::to_string(server)),
                 {"127.0.0.1", static_cast<std::uint16_t>(server + 1)},
                 share(entry, server, setup_.entries)});
        }
        entries_.back()->update_pool(now_, update);
        schedule(now_ + tick_step, [this, entry] { tick_entry(entry); });
    }
    schedule(now_, [this] { arrive(); });
}

counts simulation::run()
{
    while (!events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.time;
        next.run();
    }
    return std::move(counts_);
}

void simulation::arrive()
{
    if (now_ >= end_) {
        return;
    }
    const bool is_greedy = std::uniform_real_distribution<>(0, 1)(random_) < greedy_part;
    const auto caller = is_greedy ? 0U : 1 + random_() % (callers - 1);
    const int entry = static_cast<int>(random_() % entries_.size());
    last_ = last_.next();
    // Half of the mean is fixed. With a memoryless (exponential) service time, requests
    // cut at their deadline would cost no goodput, since each ms of a slot would be worth
    // the same.
    const auto service =
        absl::Milliseconds(setup_.service_ms / 2) + exponential(setup_.service_ms / 2);
    open_[last_] = {now_, is_greedy, service};
    counts_.offered += is_counted() ? 1 : 0;
    carry_out(
        entry, entries_[entry]->handle(now_, request_received{last_, messages_[caller]}));
    const double capacity_per_ms = servers * slots_per_server / setup_.service_ms;
    schedule(
        now_ + exponential(1 / (setup_.load * capacity_per_ms)), [this] { arrive(); });
}

void simulation::tick_entry(int entry)
{
    carry_out(entry, entries_[entry]->handle(now_, tick{}));
    if (now_ < end_ || entries_[entry]->in_flight() > 0) {
        schedule(now_ + tick_step, [this, entry] { tick_entry(entry); });
    }
}

void simulation::carry_out(int entry, const std::vector<action>& actions)
{
    for (const auto& each : actions) {
        if (const auto* it = std::get_if<start_attempt>(&each)) {
            begin_attempt(entry, *it);
        } else if (const auto* it = std::get_if<respond>(&each)) {
            end(it->request, nullptr, it->verdict);
        } else if (const auto* it = std::get_if<refuse>(&each)) {
            end(it->request, to_string(it->reason), it->verdict);
        }
    }
}

void simulation::begin_attempt(int entry, const start_attempt& it)
{
    http::client_result result;
    const auto service = open_.at(it.send.request).service;
    const bool is_late = service > it.send.timeout;
    result.elapsed = std::min(service, it.send.timeout);
    result.verdict = is_late ? core::verdict::may_have_run : core::verdict::ran;
    result.failure = is_late ? http::failure::timeout : http::failure::none;
    schedule(now_ + result.elapsed, [this, entry, id = it.send.attempt, result] {
        carry_out(entry, entries_[entry]->handle(now_, attempt_finished{id, result}));
    });
}

void simulation::end(const request_id& id, const char* refusal, core::verdict verdict)
{
    const auto request = open_.extract(id).mapped();
    // The rates refer to the measured time, so a response counts by the time it is given.
    if (now_ >= end_ || !is_counted()) {
        return;
    }
    ++counts_.verdicts[core::to_string(verdict)];
    if (refusal != nullptr) {
        ++counts_.refusals[refusal];
        return;
    }
    ++counts_.answered;
    counts_.answered_greedy += request.is_greedy ? 1 : 0;
    const double added =
        absl::ToDoubleMilliseconds(now_ - request.arrival - request.service);
    counts_.added_ms.push_back(added);
    if (!request.is_greedy) {
        counts_.added_ms_others.push_back(added);
    }
}

double rounded(double it)
{
    return std::round(it * 1000) / 1000;
}

double quantile(std::vector<double>& values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto at =
        static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return rounded(values[static_cast<std::size_t>(at)]);
}

json line(const setup& at, counts it)
{
    const double capacity =
        servers * slots_per_server / at.service_ms * 1000 * at.seconds;
    const double reachable = std::min(capacity, static_cast<double>(it.offered));
    const auto answered = static_cast<double>(it.answered);
    return {
        {"entries", at.entries},
        {"load", at.load},
        {"admission_control", at.has_admission_control},
        {"offered", it.offered},
        {"goodput_of_capacity", rounded(answered / capacity)},
        {"goodput_of_reachable", rounded(answered / reachable)},
        {"greedy_part_of_offered", greedy_part},
        {"greedy_part_of_answered",
         rounded(static_cast<double>(it.answered_greedy) / std::max(1.0, answered))},
        {"added_wait_p50_ms", quantile(it.added_ms, 0.5)},
        {"added_wait_p99_ms", quantile(it.added_ms, 0.99)},
        {"added_wait_p99_ms_others", quantile(it.added_ms_others, 0.99)},
        {"refusals", it.refusals},
        {"verdicts", it.verdicts}};
}

} // namespace
} // namespace cuminpitch::request

int main(int argc, char** argv)
{
    using namespace cuminpitch::request;
    setup at;
    CLI::App app("Goodput and fairness under overload, simulated");
    app.add_option("--seconds", at.seconds, "simulated time of each run")
        ->check(CLI::Range(1.0, 600.0));
    app.add_option("--service-ms", at.service_ms);
    app.add_option("--deadline-ms", at.deadline_ms);
    app.add_option("--seed", at.seed);
    CLI11_PARSE(app, argc, argv);
    for (const int entries : {3, 4}) {
        for (const double load : {0.8, 1.0, 1.5, 3.0}) {
            for (const bool control : {true, false}) {
                at.entries = entries;
                at.load = load;
                at.has_admission_control = control;
                std::cout << line(at, simulation(at).run()).dump() << std::endl;
            }
        }
    }
    return 0;
}
