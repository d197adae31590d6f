// Runs a fleet of real processes with the declarations of a folder, injects faults while
// callers send requests, and compares the results seen by the callers with the requests
// executed by the backend servers.
#include "support/process_fleet.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

namespace cuminpitch::testing {
namespace {

using nlohmann::json;

const std::string lending = "guarda-chuva/lending";
const std::string intake = "guarda-chuva/intake";
const std::string gray_server = "lend-2";
const std::string leaving_server = "lend-5";
constexpr unsigned lending_servers = 8;
constexpr unsigned intake_servers = 4;

// Times in seconds after the callers start. The gray failure comes first because its
// detection takes longest. The change is applied while all instances run, because
// `--wait` waits for each member.
constexpr int load_s = 32;
constexpr int gray_at_s = 2;
constexpr int leave_at_s = 9;
constexpr int change_at_s = 13;
constexpr int stop_entry_at_s = 16;
constexpr int kill_leader_at_s = 19;
constexpr unsigned baseline_s = 5;

/// A server that got no request for this long counts as no longer used.
constexpr std::int64_t idle_threshold_ms = 2000;

std::int64_t now_ms()
{
    return absl::ToUnixMillis(absl::Now());
}

struct latency
{
    double p50_ms = 0;
    double p99_ms = 0;
};

class demo
{
public:
    demo(std::unique_ptr<process_fleet> fleet, std::string declarations)
        : fleet_(std::move(fleet)), declarations_(std::move(declarations))
    {
    }

    /// Runs the demo and returns the exit status.
    int run();

private:
    void print_progress(const std::string& what) const
    {
        std::cout << absl::StrCat(
                         "[",
                         absl::ToInt64Milliseconds(absl::Now() - begin_),
                         " ms] ",
                         what)
                  << std::endl;
    }
    bool fail(const std::string& what) const
    {
        print_progress("FAILED: " + what);
        return false;
    }

    bool prepare();
    bool measure_added_latency();
    bool run_faults();
    bool start_caller(const caller_options& it);
    std::optional<latency> run_alone(caller_options it);
    bool inject_gray_failure();
    bool start_departure();
    bool change_setting();
    bool stop_entry();
    bool kill_leader();
    bool finish_callers();
    int report();
    static void sleep_until(absl::Time at) { absl::SleepFor(at - absl::Now()); }

    const absl::Time begin_ = absl::Now();
    std::unique_ptr<process_fleet> fleet_;
    const std::string declarations_;
    std::map<std::string, unsigned>
        callers_; ///< Request counts of the callers of the fleet.
    std::string stopped_entry_;
    std::int64_t gray_ms_ = 0;
    std::int64_t leaving_ms_ = 0;
    std::int64_t everywhere_ms_ = 0;
    latency added_latency_;
};

bool demo::prepare()
{
    const auto applied =
        fleet_->run_cli({"apply", declarations_, "--wait"}, absl::Seconds(20));
    if (applied.status != 0) {
        return fail("apply: " + applied.output);
    }
    const std::vector<std::string> domains = {"recife-centro", "olinda", "jaboatao"};
    for (unsigned i = 1; i <= lending_servers + intake_servers; ++i) {
        backend_options it;
        const bool lends = i <= lending_servers;
        it.id = lends ? absl::StrCat("lend-", i)
                      : absl::StrCat("intake-", i - lending_servers);
        it.pool = lends ? "lending" : "intake";
        it.failure_domain = domains[i % domains.size()];
        if (!fleet_->add_backend(it)) {
            return fail("cannot start " + it.id);
        }
    }
    const bool ready = wait_until(
        [&] {
            return fleet_->has_servers(lending, lending_servers) &&
                   fleet_->has_servers(intake, intake_servers);
        },
        absl::Seconds(20));
    if (!ready) {
        return fail("the assigned entries do not list all backend servers");
    }
    print_progress(
        "3 control instances, 6 entry instances and 12 backend servers are ready");
    return true;
}

bool demo::start_caller(const caller_options& it)
{
    if (it.direct.empty()) {
        callers_[it.name] = it.count;
    }
    return fleet_->add_caller(it) || fail("cannot start " + it.name);
}

std::optional<latency> demo::run_alone(caller_options it)
{
    it.rate = 100;
    it.count = it.rate * baseline_s;
    it.post_percent = 0;
    if (!start_caller(it) || fleet_->wait_exit(it.name, absl::Seconds(30)) != 0) {
        return std::nullopt;
    }
    const auto lines = fleet_->results_of(it.name);
    if (lines.empty() || !lines.back().contains("summary")) {
        return std::nullopt;
    }
    return latency{lines.back()["p50_ms"], lines.back()["p99_ms"]};
}

bool demo::measure_added_latency()
{
    caller_options direct_caller;
    direct_caller.name = "straight";
    for (unsigned i = 1; i <= lending_servers; ++i) {
        direct_caller.direct.push_back(fleet_->http(absl::StrCat("lend-", i)));
    }
    caller_options fleet_caller;
    fleet_caller.name = "through";
    const auto direct_latency = run_alone(direct_caller);
    const auto fleet_latency = run_alone(fleet_caller);
    if (!direct_latency || !fleet_latency) {
        return fail("the callers that measure the added latency failed or did not end");
    }
    added_latency_ = {
        fleet_latency->p50_ms - direct_latency->p50_ms,
        fleet_latency->p99_ms - direct_latency->p99_ms};
    print_progress(absl::StrCat(
        "directly to the servers: p50 ",
        direct_latency->p50_ms,
        " ms, p99 ",
        direct_latency->p99_ms,
        " ms; through the fleet: p50 ",
        fleet_latency->p50_ms,
        " ms, p99 ",
        fleet_latency->p99_ms,
        " ms"));
    return true;
}

bool demo::inject_gray_failure()
{
    gray_ms_ = now_ms();
    print_progress(
        gray_server +
        " gets a gray failure: 30% errors, its health endpoint returns 200");
    return fleet_->post(
                     fleet_->http(gray_server),
                     "/_fake/faults",
                     R"({"error_rate": 0.3, "health_lies": true})")
                   .status == 200 ||
           fail("the server did not accept the fault");
}

bool demo::start_departure()
{
    print_progress(leaving_server + " announces that it leaves");
    leaving_ms_ = now_ms();
    return fleet_->post(
                     fleet_->http(leaving_server), "/_fake/faults", R"({"leaves": true})")
                   .status == 200 ||
           fail("the server did not accept the command to leave");
}

bool demo::change_setting()
{
    const std::string changed = fleet_->folder() + "/changed";
    std::filesystem::copy(
        declarations_, changed, std::filesystem::copy_options::recursive);
    const std::string file = changed + "/teams/guarda-chuva/pools/lending.json";
    auto pool = json::parse(std::ifstream(file));
    pool["queue_limit"] = 200;
    std::ofstream(file) << pool.dump(2);
    print_progress("lending/queue_limit is changed to 200");
    const auto begin = absl::Now();
    const auto done = fleet_->run_cli({"apply", changed, "--wait"}, absl::Seconds(30));
    everywhere_ms_ = absl::ToInt64Milliseconds(absl::Now() - begin);
    print_progress(absl::StrCat("apply --wait: exit ", done.status, "\n", done.output));
    return done.status == 0 || fail("the change is not in force everywhere");
}

bool demo::stop_entry()
{
    const auto assigned = fleet_->entries_of(lending, "entry-1");
    if (assigned.empty()) {
        return fail("no entry is assigned to " + lending);
    }
    stopped_entry_ = assigned.front();
    print_progress(stopped_entry_ + ", assigned to " + lending + ", gets SIGTERM");
    fleet_->stop(stopped_entry_);
    return true;
}

bool demo::kill_leader()
{
    const auto leader = fleet_->leader();
    if (leader.empty()) {
        return fail("the control instances do not agree on a leader");
    }
    print_progress(leader + ", the control leader, gets SIGKILL");
    fleet_->kill(leader);
    return true;
}

bool demo::run_faults()
{
    const absl::Time begin = absl::Now();
    caller_options it;
    const auto start = [&](const std::string& name, unsigned rate) {
        it.name = name;
        it.rate = rate;
        it.count = rate * load_s;
        return start_caller(it);
    };
    if (!start("reader-1", 50) || !start("reader-2", 50)) {
        return false;
    }
    it.path = "/loans";
    it.post_percent = 100;
    it.deadline_ms = 5000;
    if (!start("lender", 40)) {
        return false;
    }
    it.path = "/returns";
    if (!start("returner", 20)) {
        return false;
    }
    print_progress(
        "4 callers start: GET /stock, POST /loans, POST /returns, 160 requests/s");
    const auto at = [&](int seconds) { sleep_until(begin + absl::Seconds(seconds)); };
    at(gray_at_s);
    if (!inject_gray_failure()) {
        return false;
    }
    at(leave_at_s);
    if (!start_departure()) {
        return false;
    }
    at(change_at_s);
    if (!change_setting()) {
        return false;
    }
    at(stop_entry_at_s);
    if (!stop_entry()) {
        return false;
    }
    at(kill_leader_at_s);
    return kill_leader() && finish_callers();
}

bool demo::finish_callers()
{
    const auto status = fleet_->wait_exit(stopped_entry_, absl::Seconds(20));
    print_progress(absl::StrCat(
        stopped_entry_, " ended with exit status ", status ? *status : -1000));
    if (status != 0) {
        return fail("a graceful stop must end with 0");
    }
    for (const auto& [name, count] : callers_) {
        if (fleet_->wait_exit(name, absl::Seconds(60)) != 0) {
            return fail(name + " did not end");
        }
    }
    print_progress("all callers have ended");
    return true;
}

/// Returns when the last caller request before the first pause of at least
/// idle_threshold_ms began, counted from `from`; nothing if there was no such pause.
/// Probes by the fleet are skipped; they have no request id.
std::optional<std::int64_t>
last_before_pause(const std::vector<execution>& runs, std::int64_t from)
{
    std::vector<std::int64_t> begins;
    for (const auto& it : runs) {
        if (it.begin_ms >= from && !it.request_id.empty()) {
            begins.push_back(it.begin_ms);
        }
    }
    std::ranges::sort(begins);
    begins.push_back(now_ms());
    std::int64_t last = from;
    for (const auto begin : begins) {
        if (begin - last >= idle_threshold_ms) {
            return last;
        }
        last = begin;
    }
    return std::nullopt;
}

int demo::report()
{
    const auto runs = fleet_->executions();
    const auto audited = audit(*fleet_, callers_, runs);
    for (const auto& it : audited.problems) {
        print_progress("PROBLEM: " + it);
    }
    std::map<std::string, std::size_t> kinds;
    for (const auto& [name, count] : callers_) {
        for (const auto& it : fleet_->results_of(name)) {
            if (it.contains("request_id") && it["result"] != "answered") {
                const std::string result = it["result"];
                const std::string reason = it["reason"];
                const std::string to = it["to"];
                const bool to_stopped = to == fleet_->http(stopped_entry_).str();
                ++kinds[absl::StrCat(
                    result,
                    ", status ",
                    it["status"].get<int>(),
                    reason.empty() ? "" : ", " + reason,
                    to_stopped ? ", at " + stopped_entry_ : "")];
            }
        }
    }
    for (const auto& [kind, count] : kinds) {
        print_progress(absl::StrCat(count, " requests: ", kind));
    }
    const auto detected = last_before_pause(fleet_->executions_of(gray_server), gray_ms_);
    std::int64_t last_work = 0;
    for (const auto& it : fleet_->executions_of(leaving_server)) {
        last_work = std::max(last_work, it.begin_ms - leaving_ms_);
    }
    std::cout << nlohmann::ordered_json{
                     {"requests", audited.requests},
                     {"answered", audited.answered},
                     {"refused_not_run", audited.refused_not_run},
                     {"may_have_run", audited.may_have_run},
                     {"lost", audited.lost},
                     {"doubled", audited.doubled},
                     {"cut", audited.cut},
                     {"added_p50_us", std::llround(added_latency_.p50_ms * 1000)},
                     {"added_p99_us", std::llround(added_latency_.p99_ms * 1000)},
                     {"gray_detected_ms", detected ? json(*detected - gray_ms_) : json()},
                     {"leaving_last_work_ms", last_work},
                     {"config_everywhere_ms", everywhere_ms_}}
                     .dump()
              << std::endl;
    return audited.lost + audited.doubled + audited.cut == 0 ? 0 : 1;
}

int demo::run()
{
    return prepare() && measure_added_latency() && run_faults() ? report() : 1;
}

} // namespace
} // namespace cuminpitch::testing

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: demo_fleet FOLDER\n";
        return 2;
    }
    using namespace cuminpitch::testing;
    fleet_options options;
    options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    auto fleet = process_fleet::start(options);
    if (!fleet) {
        std::cerr << "the fleet did not start\n";
        return 1;
    }
    return demo(std::move(fleet), argv[1]).run();
}
