// CONFIG: after hundreds of changes of a configuration that has grown, the control
// instances exceed their memory each time they start, and the configuration can't be read
// back.

#include "../support/fleet.hpp"

#include <set>

using namespace review;

namespace {

constexpr long memory_mb = 256;
constexpr int base_routes = 4;
constexpr int added_routes = 350; // As in big_config.
constexpr int changes = 340;
constexpr int orders_at_once = 4;
/// Upstreams replaced for ten changes, and the most that start in a second: x = 4, gap_s
/// = 1.0 of release for each of two services.
constexpr int upstreams_for_ten = 7;
constexpr int starts_per_s = 8;
constexpr int ready_ms = 4000;
constexpr int drain_ms = 2500;
constexpr int settle_ms = 8000;
constexpr int load_ms = 72'000;
constexpr int read_back_ms = 16'000;
const std::string host = "plots.example";

/// Anonymous memory of a process in KiB. Pages of files don't count.
long anonymous_kib(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("RssAnon:", 0) == 0) {
            return std::atol(line.c_str() + 8);
        }
    }
    return 0;
}

/// Each version changes the timeouts, aims, priorities and weights of all routes.
std::string version(int number, int routes)
{
    std::vector<rule> rules;
    for (int n = 0; n < routes; ++n) {
        rule it;
        const std::string name = "district-" + std::to_string(1000 + n);
        it.name = "r-" + name + "-plot-search";
        it.prefix = "/" + name + "/";
        it.service = "lookup";
        it.kind = n % 2 == 0 ? "safe" : "unsafe";
        it.timeout_ms = 1500 + (number * 7 + n) % 500;
        it.target_ms = 800 + (number * 3 + n) % 200;
        it.priority = (number + n) % 3;
        it.second = "archive";
        it.weight_of_second = (number + n) % 100;
        rules.push_back(it);
    }
    return configuration(number, {{host, rules}}, {"lookup", "archive"});
}

class test
{
public:
    explicit test(const std::string& folder)
        : log_(folder + "/record.txt"), nodes_(log_, 3, 3)
    {
    }

    int run();

private:
    void watch_memory();
    void change_configuration();
    void replace_upstreams();

    record log_;
    fleet nodes_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> is_loaded_{false};
    std::atomic<int> next_version_{3};
    std::atomic<int> newest_acknowledged_{0};
    std::atomic<int> acknowledged_{0};
    std::atomic<int> kills_{0};
    struct due_call
    {
        std::int64_t at;
        int upstream;
        int step;
        std::int64_t born;
    };
    std::mutex mutex_; ///< Guards the two below.
    std::vector<due_call> due_;
    int started_ = 0;
    std::atomic<int> check_ins_{0};
};

/// The platform: kills a process beyond its memory, and starts it again after half a
/// second.
void test::watch_memory()
{
    std::map<std::string, std::int64_t> start_at;
    std::map<std::string, long> peaks;
    while (!stopping_) {
        for (auto* it : nodes_.all("control")) {
            int status = 0;
            if (it->pid < 0) {
                if (now_ms() >= start_at[it->name]) {
                    nodes_.start(*it, false);
                }
                continue;
            }
            if (nodes_.has_ended(*it, status)) {
                log_.line("%s ended by itself, status %d", it->name.c_str(), status);
                start_at[it->name] = now_ms() + 500;
                continue;
            }
            const long kib = anonymous_kib(it->pid);
            peaks[it->name] = std::max(peaks[it->name], kib);
            if (kib > memory_mb * 1024) {
                log_.line(
                    "%s uses %ld KiB of %ld MB: killed",
                    it->name.c_str(),
                    kib,
                    memory_mb);
                nodes_.end(*it);
                ++kills_;
                start_at[it->name] = now_ms() + 500;
            }
        }
        sleep_ms(3);
    }
    for (const auto& [name, kib] : peaks) {
        log_.line("%s used %ld KiB at most", name.c_str(), kib);
    }
}

/// Sends versions one after the other, each again until it is confirmed.
void test::change_configuration()
{
    const int routes = base_routes + (has_trouble() ? added_routes : 0);
    for (int n = next_version_++; n < 3 + changes && !is_loaded_; n = next_version_++) {
        const auto body = version(n, routes);
        for (std::size_t tries = 0; !is_loaded_; ++tries) {
            const auto answer = nodes_.call_control("PUT", "/-/config", body, tries);
            log_.line("operator sent r%d, answered %d", n, answer.status);
            if (answer.status == 200) {
                ++acknowledged_;
                int newest = newest_acknowledged_;
                while (newest < n &&
                       !newest_acknowledged_.compare_exchange_weak(newest, n)) {
                }
                break;
            }
            sleep_ms(200);
        }
    }
}

/// Upstreams that are replaced while the changes go on: each says that it is ready, later
/// that it is draining, and then leaves.
void test::replace_upstreams()
{
    const auto begin = now_ms();
    while (!is_loaded_) {
        int number = 0;
        int step = 0;
        std::int64_t born = 0;
        {
            const std::lock_guard lock(mutex_);
            const auto now = now_ms();
            const auto due = std::find_if(
                due_.begin(), due_.end(), [&](const auto& it) { return it.at <= now; });
            if (due != due_.end()) {
                number = due->upstream;
                step = due->step;
                born = due->born;
                due_.erase(due);
            } else if (
                started_ * 10 < acknowledged_ * upstreams_for_ten &&
                started_ < (now - begin) * starts_per_s / 1000) {
                number = ++started_;
                born = upstream::unix_ms();
            }
        }
        if (number == 0) {
            sleep_ms(5);
            continue;
        }
        const std::string id = "i-" + std::to_string(number);
        const std::string common = "\"born\":" + std::to_string(born) +
                                   ",\"seq\":" + std::to_string(step + 1) + "}";
        const std::string service = number % 2 == 0 ? "lookup" : "archive";
        const std::string state = step == 0 ? "ready" : "draining";
        const std::string body =
            step == 2 ? "{" + common
                      : "{\"service\":\"" + service + "\",\"address\":\"" + network() +
                            "4." + std::to_string(number % 200 + 1) + ":" +
                            std::to_string(9000 + number) +
                            "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":4,"
                            "\"state\":\"" +
                            state + "\",\"warmup-ms\":0," + common;
        for (std::size_t tries = 0; tries < 5 && !is_loaded_; ++tries) {
            const auto answer = nodes_.call_control(
                step == 2 ? "DELETE" : "PUT", "/-/upstreams/" + id, body, tries);
            if (answer.status == 200) {
                ++check_ins_;
                break;
            }
        }
        if (step < 2) {
            const std::lock_guard lock(mutex_);
            due_.push_back(
                {now_ms() + (step == 0 ? ready_ms : drain_ms), number, step + 1, born});
        }
    }
}

int test::run()
{
    log_.line("case 1, trouble %d", has_trouble());
    const int routes = base_routes + (has_trouble() ? added_routes : 0);
    if (nodes_.configure(version(1, base_routes)) != 200 || !nodes_.wait_ready(20000) ||
        nodes_.configure(version(2, routes)) != 200) {
        log_.line("the fleet did not start");
        return cannot_run;
    }
    newest_acknowledged_ = 2;
    const auto begin = now_ms();
    std::vector<std::thread> threads;
    std::thread watcher([this] { watch_memory(); });
    for (int n = 0; n < orders_at_once; ++n) {
        threads.emplace_back([this] { change_configuration(); });
    }
    for (int n = 0; n < 3; ++n) {
        threads.emplace_back([this] { replace_upstreams(); });
    }
    // The day ends a while after all was sent, or after the second end of each control
    // instance.
    std::int64_t all_sent = 0;
    while (now_ms() < begin + load_ms && kills_ < 6 &&
           (all_sent == 0 || now_ms() < all_sent + settle_ms)) {
        if (all_sent == 0 && acknowledged_ >= changes &&
            check_ins_ >= 3 * (changes * upstreams_for_ten / 10)) {
            all_sent = now_ms();
        }
        sleep_ms(50);
    }
    is_loaded_ = true;
    for (auto& it : threads) {
        it.join();
    }
    const int newest = newest_acknowledged_;
    log_.line(
        "%d changes and %d check-ins acknowledged, the newest is r%d, %d processes "
        "killed",
        int(acknowledged_),
        int(check_ins_),
        newest,
        int(kills_));
    int held_version = -1;
    const auto end = now_ms() + read_back_ms;
    for (std::size_t n = 0; now_ms() < end && held_version < 0; ++n) {
        const auto answer = nodes_.call_control("GET", "/-/config", "", n);
        log_.line("read back: %d %s", answer.status, answer.body.substr(0, 40).c_str());
        if (answer.status == 200) {
            held_version = std::atoi(answer.body.c_str() + answer.body.find("\"r") + 2);
        }
        sleep_ms(500);
    }
    stopping_ = true;
    watcher.join();
    log_.line(
        "read back r%d, acknowledged r%d, %d processes killed",
        held_version,
        newest,
        int(kills_));
    if (held_version < newest) {
        return broken;
    }
    return acknowledged_ >= changes * 9 / 10 ? held : cannot_run;
}

} // namespace

int main(int, char** argv)
{
    return test(argv[1]).run();
}
