#include "soak/soak_run.hpp"

#include "cuminpitch/core/random.hpp"
#include "soak/customers.hpp"
#include "soak/soak_fleet.hpp"
#include "soak/stand_ins.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <thread>

namespace cuminpitch::testing {
namespace {

constexpr unsigned initial_servers = 6;
constexpr unsigned callers = 6;
constexpr absl::Duration request_interval = absl::Milliseconds(60);
constexpr absl::Duration request_deadline = absl::Seconds(2);
constexpr absl::Duration entries_ttl = absl::Seconds(3);
constexpr absl::Duration start_timeout = absl::Seconds(20);
/// The setting `recovery-s` of the platform.
constexpr absl::Duration recovery = absl::Seconds(15);
/// Time within which the configuration can be read once all processes start again.
constexpr absl::Duration read_after_start = absl::Seconds(4);
constexpr absl::Duration final_measurement = absl::Seconds(3);
constexpr std::size_t upload_bytes = 30000;
constexpr absl::Duration first_fault = absl::Seconds(2);
constexpr absl::Duration step = absl::Milliseconds(10);

class soak
{
public:
    explicit soak(const soak_options& it)
        : options_(it), has_customers_(declares_customers(it.seed)), random_(it.seed),
          fleet_({it.binaries, 3, 4}, loop_, disturbed_), client_(http::client::create())
    {
    }
    ~soak()
    {
        stopping_ = true;
        for (auto& it : threads_) {
            it.join();
        }
        servers_.clear();
        client_.reset();
    }

    soak_result run();

private:
    bool begin();
    void inject_faults();
    void lose_all_power();
    void recover(soak_result& out);
    /// Waits for this long at most until the newest acknowledged configuration is read.
    void check_last_configuration(absl::Duration limit);

    void add_server();
    void replace_gone_servers();
    bool put_configuration(std::uint64_t number);
    std::uint64_t read_configuration(const core::endpoint& at);
    void run_operator();
    void run_caller(unsigned n);
    std::vector<core::endpoint>
    resolve_entries(const std::vector<core::endpoint>& directories);
    void send(
        const std::string& id,
        request_kind kind,
        const core::endpoint& to,
        const std::string& key);
    void declare_customers();
    /// Records that the key change was sent or, if `is_acknowledged`, acknowledged.
    void note_key_change(bool is_acknowledged);

    void inject_fault(unsigned which);
    void inject_server_fault(unsigned which);
    void set_server_fault(soak_server& it, server_fault kind, absl::Duration length);
    void wait(absl::Duration length);
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    std::string pick_process(const std::string& prefix);
    soak_server& any_server() { return *servers_[pick(servers_.size())]; }
    void log_fault(const std::string& it);

    const soak_options options_;
    const bool has_customers_;
    core::random_source random_;
    disturbances disturbed_;
    ledger records_;
    proxy_loop loop_;
    soak_fleet fleet_;
    std::unique_ptr<http::client> client_;
    std::vector<std::unique_ptr<soak_server>> servers_;
    std::deque<std::pair<absl::Time, std::function<void()>>> scheduled_restores_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_{false};
    std::vector<std::string> faults_;
    std::string last_wiped_; ///< Control instance that lost its disk last.
    std::vector<std::string> stop_problems_;
    absl::Time started_ = absl::Now();
    unsigned last_server_ = 0;
    std::uint64_t number_ = 1;
    key_record added_key_;
    key_record revoked_key_;
};

void soak::declare_customers()
{
    for (const auto& it : soak_customers()) {
        records_.add(customer_record{it.name, it.rate_per_s, it.burst});
        for (const auto& key : it.keys) {
            records_.add_key(key, {it.name});
            if (key == soak_revoked_key) {
                revoked_key_.customer = it.name;
            }
            if (key == soak_added_key) {
                added_key_ = {it.name, absl::InfiniteFuture(), absl::InfiniteFuture()};
                records_.add_key(key, added_key_);
            }
        }
    }
}

void soak::note_key_change(bool is_acknowledged)
{
    const absl::Time now = absl::Now();
    auto& added = is_acknowledged ? added_key_.added : added_key_.add_sent;
    auto& revoked = is_acknowledged ? revoked_key_.revoked : revoked_key_.revoke_sent;
    added = std::min(added, now);
    revoked = std::min(revoked, now);
    records_.add_key(soak_added_key, added_key_);
    records_.add_key(soak_revoked_key, revoked_key_);
}

void soak::log_fault(const std::string& it)
{
    faults_.push_back(absl::StrCat(
        absl::FormatDuration(absl::Trunc(absl::Now() - started_, absl::Milliseconds(1))),
        " ",
        it));
}

std::string soak::pick_process(const std::string& prefix)
{
    const auto names = fleet_.names(prefix);
    return names[pick(names.size())];
}

void soak::add_server()
{
    soak_server::description self;
    self.id = absl::StrCat("s-", ++last_server_);
    self.service = "soak";
    self.failure_domain = "d";
    self.started_ms = absl::ToUnixMillis(absl::Now());
    servers_.push_back(std::make_unique<soak_server>(
        self, loop_, *client_, records_, fleet_.control_api(), pick(1U << 30U)));
}

void soak::replace_gone_servers()
{
    const auto gone =
        std::erase_if(servers_, [](const auto& it) { return it->is_gone(); });
    for (std::size_t n = 0; n < gone; ++n) {
        add_server();
    }
}

bool soak::put_configuration(std::uint64_t number)
{
    const bool changes_keys = has_customers_ && number >= soak_key_change;
    if (changes_keys) {
        note_key_change(false);
    }
    for (const auto& at : fleet_.control_api()) {
        http::client_request it;
        it.to = at;
        it.method = "PUT";
        it.target = "/-/config";
        it.headers.set("Content-Type", "application/json");
        it.body = configuration(number, has_customers_);
        const auto result = call(*client_, std::move(it), absl::Seconds(1));
        if (result.response.status == 200) {
            records_.add_acknowledged(number, absl::Now());
            if (changes_keys) {
                note_key_change(true);
            }
            return true;
        }
        if (result.response.status >= 400 && result.response.status < 500) {
            records_.add_problem(absl::StrCat(
                "valid configuration refused with status ", result.response.status));
        }
    }
    return false;
}

/// Returns 0 if the read fails or returns a configuration that no operator sent.
std::uint64_t soak::read_configuration(const core::endpoint& at)
{
    http::client_request it;
    it.to = at;
    it.method = "GET";
    it.target = "/-/config";
    const absl::Time sent = absl::Now();
    const auto result = call(*client_, std::move(it), absl::Seconds(1));
    if (result.response.status != 200) {
        return 0;
    }
    const auto read = nlohmann::json::parse(result.response.body, nullptr, false);
    const std::string version = read.is_object() ? read.value("version", "") : "";
    std::uint64_t number = 0;
    if (version.size() < 2 || !absl::SimpleAtoi(version.substr(1), &number) ||
        result.response.body != configuration(number, has_customers_)) {
        records_.add_problem("a read returned a configuration that no operator sent");
        return 0;
    }
    records_.add_read(number, sent);
    return number;
}

/// Acts as the operator: changes and reads the configuration at random.
void soak::run_operator()
{
    core::random_source random(options_.seed + 1000);
    const auto control = fleet_.control_api();
    while (!stopping_) {
        // A change is sent again under the same number until it is acknowledged.
        if (random() % 3 == 0 && put_configuration(number_ + 1)) {
            ++number_;
        }
        read_configuration(control[random() % control.size()]);
        absl::SleepFor(absl::Milliseconds(100 + random() % 200));
    }
}

std::vector<core::endpoint>
soak::resolve_entries(const std::vector<core::endpoint>& directories)
{
    std::vector<core::endpoint> out;
    for (const auto& at : directories) {
        http::client_request it;
        it.to = at;
        it.method = "GET";
        it.target = "/-/resolve?name=soak.example&region=r&zone=d";
        const auto result = call(*client_, std::move(it), absl::Seconds(1));
        const auto read = nlohmann::json::parse(result.response.body, nullptr, false);
        if (result.response.status != 200 || !read.is_object()) {
            continue;
        }
        for (const auto& each : read.value("addresses", std::vector<std::string>())) {
            if (const auto entry = core::parse_endpoint(each)) {
                out.push_back(*entry);
            }
        }
        if (!out.empty()) {
            break;
        }
    }
    return out;
}

void soak::send(
    const std::string& id,
    request_kind kind,
    const core::endpoint& to,
    const std::string& key)
{
    static constexpr const char* paths[] = {"/read/x", "/order/x", "/upload/x"};
    http::client_request it;
    it.to = to;
    it.method = kind == request_kind::safe ? "GET" : "POST";
    it.target = paths[static_cast<int>(kind)];
    it.headers.set("Host", "soak.example");
    it.headers.set("X-Attempt-Id", id);
    it.headers.set(
        "X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(request_deadline)));
    if (has_customers_) {
        it.headers.set("X-Tenant", "Forged");
    }
    if (!key.empty()) {
        it.headers.set("Authorization", "Token " + key);
    }
    if (kind == request_kind::upload) {
        it.body = std::string(upload_bytes, 'u');
    }
    request_record record{id, kind, fleet_.entry_at(to), absl::Now(), {}, {}, key};
    record.result = call(*client_, std::move(it), request_deadline);
    record.ended = absl::Now();
    records_.add(std::move(record));
}

/// Acts as a caller. Resolves the entries again after `entries_ttl`, and goes on with the
/// old list while that fails.
void soak::run_caller(unsigned n)
{
    core::random_source random(options_.seed * 100 + n);
    core::random_source key_random(options_.seed * 100 + n + 50);
    const absl::Time begin = absl::Now();
    std::vector<core::endpoint> entries;
    absl::Time asked = absl::InfinitePast();
    for (unsigned i = 0; !stopping_; ++i) {
        if (absl::Now() - asked > entries_ttl) {
            auto directories = fleet_.directories();
            std::shuffle(directories.begin(), directories.end(), random);
            auto named = resolve_entries(directories);
            entries = named.empty() ? entries : std::move(named);
            asked = absl::Now();
        }
        if (!entries.empty()) {
            const auto kind = static_cast<request_kind>(random() % 3);
            const auto& to = entries[random() % entries.size()];
            const auto key =
                has_customers_ ? pick_key(key_random, absl::Now() - begin) : "";
            send(absl::StrCat("q-", n, "-", i), kind, to, key);
        }
        absl::SleepFor(request_interval / 2 + request_interval * (random() % 100) / 100);
    }
}

void soak::inject_fault(unsigned which)
{
    const auto length = absl::Milliseconds(200 + pick(2800));
    const auto entry = pick_process("entry");
    const auto control = pick_process("control");
    const auto either = pick_process("");
    switch (which) {
    case 0:
        log_fault("kill " + entry);
        fleet_.kill(entry);
        break;
    case 1:
        log_fault("pause " + either);
        fleet_.pause(either, length);
        break;
    case 2:
        log_fault("stop " + either);
        fleet_.stop(either);
        break;
    case 3:
        log_fault("reload " + either);
        fleet_.reload(either);
        break;
    case 4:
        log_fault("kill " + control);
        fleet_.kill(control);
        break;
    case 5:
        log_fault("kill all control");
        for (const auto& name : fleet_.names("control")) {
            fleet_.kill(name);
        }
        break;
    case 6:
        // At most one control instance may lose its disk at a time.
        if (disturbed_.is_undisturbed(
                "control", absl::Now() - absl::Seconds(4), absl::Now())) {
            log_fault("wipe " + control);
            fleet_.wipe(control);
            last_wiped_ = control;
        }
        break;
    case 7:
        log_fault("refuse writes of " + control);
        fleet_.refuse_writes(control, length);
        break;
    case 8:
        log_fault("hold back traffic to " + either);
        fleet_.impair_path(either, {absl::ZeroDuration(), true, false, false}, length);
        break;
    case 9:
        log_fault("delay traffic to " + either);
        fleet_.impair_path(
            either, {absl::Milliseconds(100), false, false, false}, length);
        break;
    case 10:
        log_fault("refuse connections to " + either);
        fleet_.impair_path(either, {absl::ZeroDuration(), false, false, true}, length);
        fleet_.reset_path(either);
        break;
    case 11:
        log_fault("reset connections to " + either);
        fleet_.reset_path(either);
        break;
    default:
        inject_server_fault(which);
    }
}

void soak::inject_server_fault(unsigned which)
{
    auto& it = any_server();
    const auto length = absl::Milliseconds(500 + pick(3000));
    const auto path = it.proxy();
    const auto restore_path = [this, path] { loop_.set(path, {}); };
    if (which == 12) {
        log_fault("departure of " + it.id());
        it.leave();
    } else if (which == 13) {
        log_fault("crash of " + it.id());
        it.crash();
    } else if (which == 14) {
        log_fault("hold back traffic of " + it.id());
        loop_.set(path, {absl::ZeroDuration(), pick(2) == 0, true, false});
        scheduled_restores_.emplace_back(absl::Now() + length, restore_path);
    } else if (which == 15) {
        log_fault("reset connections of " + it.id());
        loop_.reset(path);
    } else {
        const auto kind = static_cast<server_fault>(1 + pick(9));
        set_server_fault(it, kind, length);
    }
}

void soak::set_server_fault(soak_server& it, server_fault kind, absl::Duration length)
{
    log_fault(absl::StrCat("fault ", static_cast<int>(kind), " of ", it.id()));
    it.set_fault(kind);
    scheduled_restores_.emplace_back(absl::Now() + length, [this, id = it.id()] {
        for (const auto& each : servers_) {
            if (each->id() == id) {
                each->set_fault(server_fault::none);
            }
        }
    });
}

void soak::wait(absl::Duration length)
{
    const absl::Time end = absl::Now() + length;
    do {
        fleet_.maintain(stop_problems_);
        replace_gone_servers();
        for (auto it = scheduled_restores_.begin(); it != scheduled_restores_.end();) {
            if (it->first <= absl::Now()) {
                it->second();
                it = scheduled_restores_.erase(it);
            } else {
                ++it;
            }
        }
        absl::SleepFor(step);
    } while (absl::Now() < end);
}

bool soak::begin()
{
    if (has_customers_) {
        declare_customers();
    }
    for (unsigned n = 0; n < initial_servers; ++n) {
        add_server();
    }
    const absl::Time end = absl::Now() + start_timeout;
    const auto is_up = [&] { return resolve_entries(fleet_.directories()).size() >= 3; };
    while (!put_configuration(number_) || !is_up()) {
        if (absl::Now() > end) {
            return false;
        }
        wait(absl::Milliseconds(100));
    }
    wait(absl::Seconds(1));
    for (unsigned n = 0; n < callers; ++n) {
        threads_.emplace_back([this, n] { run_caller(n); });
    }
    threads_.emplace_back([this] { run_operator(); });
    return true;
}

/// Injects single faults and series of faults, which may overlap.
void soak::inject_faults()
{
    constexpr unsigned kinds = 20; // From 16 on, a backend server gets a server_fault.
    started_ = absl::Now();
    const absl::Time end = started_ + options_.length;
    // Of all servers first, so that each run has second answers whatever is drawn.
    for (const auto& it : servers_) {
        set_server_fault(*it, server_fault::answers_twice_cut, first_fault);
    }
    wait(first_fault);
    while (absl::Now() < end) {
        const auto series = 1 + pick(3);
        for (std::uint64_t i = 0; i < series; ++i) {
            inject_fault(static_cast<unsigned>(pick(kinds)));
            wait(absl::Milliseconds(pick(300)));
        }
        wait(absl::Milliseconds(pick(1200)));
    }
}

/// Ends all processes at the same moment. One control instance loses its disk, the one
/// that lost it last if there is one, since two may not be without theirs.
void soak::lose_all_power()
{
    const auto wiped = last_wiped_.empty() ? pick_process("control") : last_wiped_;
    log_fault("loss of all power, wipe " + wiped);
    for (const auto& name : fleet_.names("")) {
        name == wiped ? fleet_.wipe(name) : fleet_.kill(name);
    }
    check_last_configuration(read_after_start);
}

void soak::recover(soak_result& out)
{
    fleet_.end_faults();
    for (auto& it : scheduled_restores_) {
        it.first = absl::Now();
    }
    wait(step);
    const absl::Time last_fault = absl::Now();
    lose_all_power();
    wait(last_fault + recovery - absl::Now());
    const absl::Time begin = absl::Now();
    wait(final_measurement);
    out.served_at_end = records_.served_since(begin);
    constexpr double least_served = 0.9;
    if (out.served_at_end < least_served) {
        records_.add_problem(absl::StrCat(
            "only ", out.served_at_end, " of the requests succeeded after the recovery"));
    }
    check_last_configuration(absl::ZeroDuration());
}

void soak::check_last_configuration(absl::Duration limit)
{
    const auto expected = records_.newest_acknowledged();
    const absl::Time end = absl::Now() + limit;
    std::uint64_t newest = 0;
    do {
        wait(step);
        for (const auto& at : fleet_.control_api()) {
            newest = std::max(newest, read_configuration(at));
        }
    } while (newest < expected && absl::Now() < end);
    if (newest < expected) {
        records_.add_problem(absl::StrCat(
            "configuration ",
            expected,
            " was acknowledged, but ",
            newest,
            " is the newest read"));
    }
}

soak_result soak::run()
{
    soak_result out;
    out.folder = fleet_.folder();
    if (!begin()) {
        out.problems.push_back("the fleet did not start within its time limit");
        return out;
    }
    inject_faults();
    recover(out);
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
    servers_.clear(); // Waits for running requests, so that all are recorded.
    out.requests = records_.requests();
    out.has_customers = has_customers_;
    out.over_rate = records_.answered_with(429);
    out.unauthorized = records_.answered_with(401);
    out.repetitions = loop_.repetitions();
    out.served = records_.served_since(absl::InfinitePast());
    out.problems = records_.problems(disturbed_);
    out.problems.insert(out.problems.end(), stop_problems_.begin(), stop_problems_.end());
    out.faults = faults_;
    return out;
}

} // namespace

soak_result run_soak(const soak_options& it)
{
    return soak(it).run();
}

} // namespace cuminpitch::testing
