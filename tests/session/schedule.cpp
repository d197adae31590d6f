#include "session/schedule.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminpitch::testing {
namespace {

using json = nlohmann::json;

constexpr absl::Duration step_interval = absl::Milliseconds(100);
constexpr absl::Duration request_interval = absl::Milliseconds(50);

/// An entry updates its servers every 20 ms and uses the last state in between.
constexpr absl::Duration departure_margin = absl::Milliseconds(30);

/// A server readmitted for capacity becomes usable at followers only after the lease
/// (2 s), and a departure becomes visible after departure_ms (at most 3 s).
constexpr absl::Duration minimum_grace = absl::Milliseconds(5600);

constexpr absl::Duration change_bound = absl::Seconds(11);

/// Minimum of available servers that the example declares for a pool. A declared share is
/// taken of the present number of servers, which is at most the number in the capacity
/// window.
double minimum_of(const std::string& pool, double servers)
{
    if (pool == "archive") {
        return 6;
    }
    if (pool == "intake") {
        return 4;
    }
    return (pool == "lookup" ? 0.75 : 0.70) * servers;
}

constexpr const char* contended_setting = "/queue_limit";

} // namespace

schedule::schedule(fleet_options options, example what)
    : fleet_(std::move(options)), traffic_(fleet_, std::move(what)),
      last_seen_(fleet_.entries())
{
}

void schedule::add_violation(const std::string& what)
{
    const auto at = absl::FormatDuration(absl::Trunc(fleet_.elapsed(), absl::Seconds(1)));
    if (violations_.size() < 20) {
        violations_.insert(what + " (at " + at + ")");
    }
}

void schedule::run_after_random_delay(
    absl::Duration least, absl::Duration most, std::function<void()> what)
{
    const auto range = absl::ToInt64Milliseconds(most - least);
    const auto length = least + absl::Milliseconds(fleet_.random(range + 1));
    fleet_.after(length, [this, what = std::move(what)] {
        if (inject_faults_) {
            what();
        }
    });
}

void schedule::run(absl::Duration fault_duration)
{
    traffic_.start_fleet();
    for (auto& it : fleet_.backends()) {
        it.faults = initial_faults;
    }
    inject_faults_ = true;
    step();
    traffic_.run(request_interval, fault_duration, 0.1);
    inject_faults_ = false;
    // Crashes after further actions and losses of disks may still be pending.
    fleet_.run_for(absl::Seconds(1));
    heal();
    fleet_.after(change_bound, [this] { check_changes_in_force(); });
    // An ejected server may stay out for its whole hold time, but requests must succeed
    // before that.
    traffic_.run(request_interval, absl::Seconds(20), 0.1);
    check_answers_again();
    fleet_.run_for(absl::Seconds(6));
    check_requests();
}

void schedule::step()
{
    check_revisions();
    if (++steps_ % 4 == 0) {
        check_minimum();
    }
    fleet_.after(step_interval, [this] { step(); });
    if (!inject_faults_) {
        return;
    }
    if (fleet_.happens(0.04)) {
        cut();
    }
    if (fleet_.happens(0.04)) {
        fault_entry();
    }
    if (fleet_.happens(0.03)) {
        fault_control();
    }
    if (fleet_.happens(0.03)) {
        fault_backend();
    }
    if (fleet_.happens(0.03)) {
        submit_conflicting_changes();
    }
}

// Faults.

void schedule::cut()
{
    std::vector<std::string> hosts = {"10.4.0.1", "10.5.0.1"};
    for (std::size_t i = 0; i < fleet_.entries(); ++i) {
        hosts.push_back(fleet_.entry(i).http.host);
    }
    for (std::size_t i = 0; i < fleet_.controls(); ++i) {
        hosts.push_back(fleet_.control_http(i).host);
    }
    for (const auto& it : fleet_.backends()) {
        hosts.push_back(it.at.host);
    }
    // Half of the cuts separate one host from all others in one direction, so that it
    // loses contact with the whole fleet; the others separate a single pair.
    const auto& from = hosts[fleet_.random(hosts.size())];
    const bool all = fleet_.happens(0.5);
    const bool outward = fleet_.happens(0.5);
    const auto single = hosts[fleet_.random(hosts.size())];
    for (const auto& it : hosts) {
        if (it != from && (all || it == single)) {
            fleet_.cut(outward ? from : it, outward ? it : from);
        }
    }
    if (fleet_.happens(0.5)) {
        run_after_random_delay(
            absl::Seconds(1), absl::Seconds(10), [this] { fleet_.heal(); });
    }
}

void schedule::fault_entry()
{
    const auto i = fleet_.random(fleet_.entries());
    if (!fleet_.is_running(i)) {
        return;
    }
    switch (fleet_.random(3)) {
    case 0:
        fleet_.crash_entry(i);
        break;
    case 1:
        fleet_.stop_entry(i);
        break;
    default:
        fleet_.freeze_entry(i);
        run_after_random_delay(absl::Milliseconds(200), absl::Seconds(12), [this, i] {
            fleet_.thaw_entry(i);
        });
        return;
    }
    run_after_random_delay(absl::Milliseconds(200), absl::Seconds(12), [this, i] {
        if (fleet_.is_running(i)) {
            fleet_.crash_entry(i);
        }
        // One that is frozen goes on when it is thawed, also if it has no state yet.
        if (!fleet_.has_process(i)) {
            fleet_.start_entry(i);
        }
    });
}

void schedule::fault_control()
{
    const auto i = fleet_.random(fleet_.controls());
    if (!fleet_.is_control_running(i)) {
        return;
    }
    switch (fleet_.random(3)) {
    case 0:
        fleet_.crash_control(i, fleet_.random(5));
        break;
    case 1:
        fleet_.stop_control(i);
        break;
    default:
        lose_disk();
        return;
    }
    run_after_random_delay(absl::Milliseconds(100), absl::Seconds(6), [this, i] {
        if (!fleet_.is_control_running(i)) {
            fleet_.start_control(i);
        }
    });
}

/// Wipes a disk only if every instance confirms, by its answer to init, that the voters
/// are the present identities of all instances. The group does not survive the loss of
/// two of three disks at once.
void schedule::lose_disk()
{
    json instances = json::array();
    for (std::size_t i = 0; i < fleet_.controls(); ++i) {
        auto internal = fleet_.control_http(i);
        internal.port = 9080;
        instances.push_back(internal.str());
    }
    const auto confirmed = std::make_shared<std::size_t>(0);
    for (std::size_t i = 0; i < fleet_.controls(); ++i) {
        http::client_request it;
        it.to = fleet_.control_http(i);
        it.method = "POST";
        it.target = "/v1/init";
        it.body = json{{"instances", instances}}.dump();
        it.timeout = absl::Milliseconds(20);
        fleet_.call("10.5.0.2", it, [this, confirmed](const auto& result) {
            if (result.response.status != 200 || result.failure != http::failure::none ||
                ++*confirmed != fleet_.controls()) {
                return;
            }
            const auto lost = fleet_.random(fleet_.controls());
            if (!fleet_.is_control_running(lost)) {
                return;
            }
            ++counts_.disk_losses;
            fleet_.crash_control(lost);
            fleet_.wipe_disk(lost);
            run_after_random_delay(
                absl::Milliseconds(100), absl::Seconds(6), [this, lost] {
                    if (!fleet_.is_control_running(lost)) {
                        fleet_.start_control(lost);
                    }
                });
        });
    }
}

void schedule::fault_backend()
{
    auto& it = fleet_.backends()[fleet_.random(fleet_.backends().size())];
    if (!it.up || it.state != "active") {
        return;
    }
    auto& faults = it.faults;
    const auto restart = [this, &it] {
        it.faults = {};
        fleet_.start(it);
    };
    switch (fleet_.random(7)) {
    case 0:
        faults.fails = 0.5;
        break;
    case 1:
        faults.resets_after = 0.5;
        break;
    case 2:
        faults.resets_before = 0.5;
        break;
    case 3:
        faults.sheds = 0.5;
        break;
    case 4:
        faults.hangs = 0.5;
        break;
    case 5:
        ++counts_.departures;
        fleet_.leave(it);
        run_after_random_delay(absl::Seconds(4), absl::Seconds(15), restart);
        return;
    default:
        fleet_.crash(it);
        run_after_random_delay(absl::Milliseconds(500), absl::Seconds(15), restart);
        return;
    }
    run_after_random_delay(
        absl::Seconds(3), absl::Seconds(20), [&faults] { faults = {}; });
}

/// Two operators submit changes with the same base revision. Each of them may submit its
/// change twice.
void schedule::submit_conflicting_changes()
{
    fleet_.ask_control("GET", "/v1/settings?prefix=teams", "", [this](const auto& it) {
        const auto base = json::parse(it.body)["revision"].template get<std::uint64_t>();
        const auto number = changes_.size();
        for (std::size_t i = 0; i < 2; ++i) {
            const auto id = "change-" + std::to_string(number + i);
            changes_[id] = {base, static_cast<unsigned>(100 + number + i), {}, 0};
            submit(id, base, changes_[id].value);
            if (fleet_.happens(0.5)) {
                submit(id, base, changes_[id].value);
            }
        }
    });
}

void schedule::submit(const std::string& id, std::uint64_t base, unsigned value)
{
    const auto& what = traffic_.what();
    const auto path = "teams/" + what.name + "/pools/" + what.pools[0].first;
    const json body = {
        {"id", id},
        {"base_revision", base},
        {"operations", {{{"path", path + contended_setting}, {"value", value}}}}};
    fleet_.ask_control("POST", "/v1/changes", body.dump(), [this, id](const auto& it) {
        auto& known = changes_.at(id);
        const auto outcome = std::to_string(it.status) + " " + it.body;
        if (known.outcome.empty()) {
            known.outcome = outcome;
            counts_.accepted += it.status == 200 ? 1 : 0;
            counts_.conflicts += it.status == 409 ? 1 : 0;
            if (it.status == 200) {
                known.revision = json::parse(it.body)["revision"];
            }
        } else if (known.outcome != outcome) {
            add_violation(id + " has two outcomes: " + known.outcome + ", " + outcome);
        }
    });
}

void schedule::heal()
{
    fleet_.heal();
    for (std::size_t i = 0; i < fleet_.entries(); ++i) {
        const bool is_serving = fleet_.is_running(i) &&
                                !json::parse(fleet_.status(i))["draining"].get<bool>();
        if (!is_serving) {
            fleet_.crash_entry(i);
            fleet_.start_entry(i);
        }
    }
    for (std::size_t i = 0; i < fleet_.controls(); ++i) {
        if (!fleet_.is_control_running(i)) {
            fleet_.start_control(i);
        }
    }
    for (auto& it : fleet_.backends()) {
        it.faults = {};
        if (!it.up || it.state != "active") {
            fleet_.start(it);
        }
    }
}

// Checks.

/// Checks that the revision in force at an entry process never decreases.
void schedule::check_revisions()
{
    for (std::size_t i = 0; i < fleet_.entries(); ++i) {
        const std::pair now(fleet_.incarnation(i), fleet_.revision(i));
        const bool is_same = ignore_restarts || last_seen_[i].first == now.first;
        const bool is_up = ignore_restarts || now.second != core::revision();
        if (is_up && is_same && now.second < last_seen_[i].second) {
            add_violation(
                "the revision of " + fleet_.entry(i).id.str() + " has decreased");
        }
        if (is_up) {
            last_seen_[i] = now;
        }
    }
}

/// Checks that the servers of each pool that no entry has ejected were at least its
/// declared minimum at some step within the grace period.
void schedule::check_minimum()
{
    absl::btree_map<std::string, absl::btree_set<std::string>> ejected;
    for (std::size_t i = 0; i < fleet_.entries(); ++i) {
        const json status = json::parse(fleet_.status(i), nullptr, false);
        if (!status.is_object()) {
            continue;
        }
        for (const auto& pool : status["pools"]) {
            for (const auto& server : pool["servers"]) {
                if (server["ejected"]) {
                    ejected[pool["pool"]].insert(server["id"].get<std::string>());
                }
            }
        }
    }
    counts_.steps_with_ejections += ejected.empty() ? 0 : 1;
    for (const auto& [name, count] : traffic_.what().pools) {
        const auto& out = ejected[traffic_.what().name + "/" + name];
        std::set<std::string> active;
        for (const auto& it : fleet_.backends()) {
            if (it.pool == name && it.up && it.state == "active") {
                active.insert(it.name);
            }
        }
        auto& recent = recent_servers_[name];
        recent.emplace_back(fleet_.now(), std::move(active));
        while (fleet_.now() - recent.front().first > minimum_grace) {
            recent.pop_front();
        }
        const auto holds = [&, &name = name](const auto& moment) {
            const auto& servers = moment.second;
            const auto left =
                std::count_if(servers.begin(), servers.end(), [&](const auto& id) {
                    return !out.contains(id);
                });
            const bool any = static_cast<std::size_t>(left) < servers.size();
            const auto all = static_cast<double>(servers.size());
            const double minimum = minimum_of(name, all) + extra_minimum;
            return !any || static_cast<double>(left) + 1e-6 >= minimum;
        };
        if (!std::any_of(recent.begin(), recent.end(), holds)) {
            add_violation("ejections reduce pool " + name + " below its minimum");
        }
    }
}

void schedule::check_departures()
{
    const auto limit =
        traffic_.what().name == "cooperative" ? absl::Seconds(3) : absl::Seconds(2);
    for (const auto& [id, runs] : fleet_.executions()) {
        for (const auto& it : runs) {
            if (it.sent > it.leaving_since + limit + departure_margin) {
                add_violation(
                    it.server + " got request " + id + " " +
                    absl::FormatDuration(it.sent - it.leaving_since) + " after leaving");
            }
        }
    }
}

void schedule::check_requests()
{
    check_departures();
    if (fleet_.duplicate_answers() != 0) {
        add_violation("an entry answered a request twice");
    }
    for (const auto& [id, hops] : fleet_.hops()) {
        ++counts_.hops;
        for (const auto& [from, to] : hops) {
            const auto goes_on = [&, &at = to](const auto& it) { return it.first == at; };
            if (std::any_of(hops.begin(), hops.end(), goes_on)) {
                add_violation(
                    absl::StrCat("request ", id, " made a second hop from ", to));
            }
        }
    }
    for (const auto& it : traffic_.sent()) {
        ++counts_.requests;
        const auto runs = fleet_.executions().find(it.id);
        const auto count = runs == fleet_.executions().end() ? 0 : runs->second.size();
        const auto verdict = it.verdict();
        if (!it.idempotent && count > 1) {
            add_violation(
                "request " + it.id + " ran " + std::to_string(count) + " times");
        }
        if (verdict == "not-run" && count != 0) {
            add_violation("request " + it.id + " ran, but its caller was told not-run");
        }
        if (it.results != 1) {
            add_violation(
                "request " + it.id + " has " + std::to_string(it.results) + " results");
        }
        const auto& body = it.result.response.body;
        if (verdict == "ran" && !body.starts_with("done " + it.id + " by ")) {
            add_violation("request " + it.id + " got an unexpected response: " + body);
        }
        counts_.answered += verdict == "ran" ? 1 : 0;
        counts_.not_run += verdict == "not-run" ? 1 : 0;
        counts_.may_have_run += verdict == "may-have-run" ? 1 : 0;
    }
}

/// Checks that the newest accepted revision is in force at each entry, that its value is
/// in the settings, and that no two changes with the same base were accepted.
void schedule::check_changes_in_force()
{
    std::uint64_t newest = 0;
    unsigned value = 0;
    absl::btree_map<std::uint64_t, std::string> accepted_at;
    for (const auto& [id, it] : changes_) {
        if (it.outcome.empty()) {
            add_violation(id + " has no outcome");
        }
        if (it.revision == 0) {
            continue;
        }
        if (const auto [other, inserted] = accepted_at.emplace(it.base, id); !inserted) {
            add_violation(
                id + " and " + other->second + " were accepted at the same base");
        }
        if (it.revision > newest) {
            newest = it.revision;
            value = it.value;
        }
    }
    for (std::size_t i = 0; i < fleet_.entries(); ++i) {
        if (fleet_.revision(i).value() < newest) {
            add_violation(
                fleet_.entry(i).id.str() + " lacks revision " + std::to_string(newest));
        }
    }
    const auto expected = newest == 0 ? std::string() : ":" + std::to_string(value);
    fleet_.ask_control(
        "GET", "/v1/settings?prefix=teams", "", [this, expected](const auto& it) {
            const auto& what = traffic_.what();
            const auto path = "teams/" + what.name + "/pools/" + what.pools[0].first;
            const auto has = "\"" + path + contended_setting + "\"" + expected;
            if (it.body.find(has) == std::string::npos) {
                add_violation("an accepted change was lost: no " + has);
            }
        });
}

void schedule::check_answers_again()
{
    // Checks the requests sent between 6 s and 1 s ago; later ones may be in flight.
    for (const auto& it : traffic_.sent()) {
        const auto age = fleet_.now() - it.at;
        const bool is_recent = age < absl::Seconds(6) && age > absl::Seconds(1);
        if (is_recent && (it.results != 1 || it.result.response.status != 200)) {
            add_violation(
                "request " + it.id +
                " failed after recovery: " + std::to_string(it.result.response.status) +
                " " + it.result.response.headers.get("Cuminpitch-Reason"));
        }
    }
}

} // namespace cuminpitch::testing
