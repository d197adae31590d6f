#pragma once

#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/control/node.hpp"
#include "cuminpitch/entry/node.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminpitch::testing {

struct fleet_options
{
    std::uint64_t seed = 1;
    std::size_t controls = 3;
    std::size_t entries = 5;
    std::vector<std::string> failure_domains = {"a", "b", "c"};
    /// One-way delay of each frame, request and response, drawn from this range.
    absl::Duration least_delay = absl::Milliseconds(1);
    absl::Duration most_delay = absl::Milliseconds(1);

    // Broken transports, only for the tests that show that a check can fail.
    bool misroute_hops = false;         ///< Hops arrive at the next entry.
    bool drop_hop_header = false;       ///< Hops arrive as if from a caller.
    bool report_resets_not_run = false; ///< A reset after the send counts as not sent.
};

/// One HTTP exchange between two hosts.
struct http_call
{
    std::string from;
    http::client_request request;
    absl::Time started;
    std::function<void(http::client_result)> done; ///< Empty once called.
    std::function<void()> on_gone;                 ///< Set by the server side.
};
using call_ptr = std::shared_ptr<http_call>;

/// Chances between 0 and 1 of what happens to one request at a backend server.
struct backend_faults
{
    double fails = 0;         ///< Runs and answers 500.
    double resets_before = 0; ///< Breaks the connection, not run.
    double resets_after = 0;  ///< Breaks the connection, run.
    double sheds = 0;         ///< Says that it was not run.
    double hangs = 0;         ///< Runs and never answers.
    absl::Duration work = absl::Milliseconds(20);
};

struct backend
{
    std::string team;
    std::string pool;
    std::string name;
    core::endpoint at;
    unsigned slots = 4;
    backend_faults faults;
    bool up = false;
    std::string state = "active";
    absl::Time leaving_since = absl::InfiniteFuture();

    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    absl::btree_map<core::endpoint, std::uint64_t> echoes; ///< Of each entry.
    std::vector<core::endpoint> targets;
};

/// A request that a backend server ran.
struct execution
{
    std::string server;
    absl::Time sent;          ///< By the entry.
    absl::Time leaving_since; ///< Of the server, as of the execution.
};

/// State machines of a whole fleet in one thread, with one event queue ordered by time.
/// Equal options and calls give equal results. Each process has a clock of its own, which
/// differs by a constant.
class memory_fleet
{
public:
    explicit memory_fleet(fleet_options options);
    ~memory_fleet();
    memory_fleet(const memory_fleet&) = delete;
    memory_fleet& operator=(const memory_fleet&) = delete;

    absl::Time now() const { return now_; }
    absl::Duration elapsed() const { return now_ - epoch; }
    void after(absl::Duration delay, std::function<void()> what);
    void run_for(absl::Duration length);

    /// Receives what processes log: who, what.
    std::function<void(const std::string&, const std::string&)> on_log;

    // Network. Hosts are the IP addresses.
    void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    void heal() { cuts_.clear(); }
    call_ptr call(
        const std::string& from,
        http::client_request request,
        std::function<void(http::client_result)> done);

    // Entries, by number from 0.
    struct entry_process;
    std::size_t entries() const { return entries_.size(); }
    const control::entry_record& entry(std::size_t i) const;
    bool is_running(std::size_t i) const; ///< Neither stopped nor frozen.
    core::revision revision(std::size_t i) const;
    std::uint64_t incarnation(std::size_t i) const;
    /// What GET /.cuminpitch/v1/status says, without the network.
    std::string status(std::size_t i);
    void start_entry(std::size_t i);
    void crash_entry(std::size_t i);
    void stop_entry(std::size_t i); ///< Planned.
    void freeze_entry(std::size_t i);
    void thaw_entry(std::size_t i);

    // Control instances, by number from 0.
    struct control_process;
    std::size_t controls() const { return controls_.size(); }
    core::endpoint control_http(std::size_t i) const;
    bool is_control_running(std::size_t i) const;
    void start_control(std::size_t i);
    /// Crashes in the middle of carrying out actions, `more_actions` from now on.
    void crash_control(std::size_t i, std::size_t more_actions = 0);
    void stop_control(std::size_t i); ///< Planned.
    void wipe_disk(std::size_t i);    ///< Of an instance that doesn't run.
    /// Sends POST /v1/init until the group is formed, and the settings of a folder.
    void form_group();
    /// Repeats a request of an operator until a control instance answers for good.
    void ask_control(
        const std::string& method,
        const std::string& target,
        const std::string& body,
        const std::function<void(http::response)>& done);

    // Backend servers.
    backend& add_backend(const backend& it);
    std::deque<backend>& backends() { return backends_; }
    void start(backend& it);
    void leave(backend& it);
    void crash(backend& it) { it.up = false; }
    /// By request id, the last segment of the path.
    const absl::btree_map<std::string, std::vector<execution>>& executions() const
    {
        return executions_;
    }
    /// Hosts that forwarded and received each request id, of hops that arrived.
    using hop_list = std::vector<std::pair<std::string, std::string>>;
    const absl::btree_map<std::string, hop_list>& hops() const { return hops_; }
    /// Requests that an entry answered more than once.
    std::size_t double_answers() const { return double_answers_; }

    std::uint64_t random(std::uint64_t below) { return random_() % below; }
    bool happens(double chance)
    {
        return static_cast<double>(random(1'000'000)) < chance * 1'000'000;
    }

private:
    static constexpr absl::Time epoch = absl::FromUnixSeconds(31'536'000);

    absl::Duration delay();
    bool is_cut(const std::string& from, const std::string& to) const;
    void finish(const call_ptr& it, core::verdict verdict, http::failure failure);
    void answer(const call_ptr& it, http::response response);
    void reset(const call_ptr& it);
    void arrive(const call_ptr& it);
    void arrive(entry_process& at, const call_ptr& it);
    void arrive(control_process& at, const call_ptr& it);
    void arrive(backend& at, const call_ptr& it);
    void send(const net::peer& from, const core::endpoint& to, net::frame it);

    void tick_entry(std::size_t i, std::uint64_t life);
    void tick_control(std::size_t i, std::uint64_t life);
    void deliver(entry_process& at, entry::node_event it);
    void deliver(control_process& at, control::node_event it);
    void load(control_process& at);
    void end(control_process& at);
    void announce(backend& it, std::uint64_t incarnation);
    void announce_to(backend& it, const core::endpoint& entry);
    void
    log(const std::string& who,
        const std::string& what,
        const std::vector<telemetry::field>& fields);

    // Actions.
    void run(entry_process& at, entry::action::http_respond& it);
    void run(entry_process& at, entry::action::start_call& it);
    void run(entry_process& at, entry::action::cancel_call& it);
    void run(entry_process& at, entry::action::send_frame& it);
    void run(entry_process& at, entry::action::write_log& it);
    void run(entry_process& at, entry::action::stop_listening& it);
    void run(entry_process& at, entry::action::exit& it);
    void run(control_process& at, consensus::write_hard_state& it);
    void run(control_process& at, consensus::write_entries& it);
    void run(control_process& at, consensus::write_snapshot& it);
    void run(control_process& at, consensus::sync_writes& it);
    void run(control_process& at, control::action::respond& it);
    void run(control_process& at, control::action::answer_call& it);
    void run(control_process& at, control::action::send_frame& it);
    void run(control_process& at, control::action::form_group& it);
    void run(control_process& at, control::action::write_log& it);
    void run(control_process& at, control::action::exit& it);

    fleet_options options_;
    core::random_source random_;
    absl::Time now_ = epoch;
    std::uint64_t last_event_ = 0;
    absl::btree_map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> events_;
    absl::btree_set<std::pair<std::string, std::string>> cuts_;
    std::vector<std::unique_ptr<entry_process>> entries_;
    std::vector<std::unique_ptr<control_process>> controls_;
    std::deque<backend> backends_;
    absl::btree_map<std::string, std::vector<execution>> executions_;
    absl::btree_map<std::string, hop_list> hops_;
    std::size_t double_answers_ = 0;
};

} // namespace cuminpitch::testing
