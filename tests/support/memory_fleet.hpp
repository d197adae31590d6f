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
    /// Range of the one-way network delay, which is drawn for each frame, request and
    /// response.
    absl::Duration least_delay = absl::Milliseconds(1);
    absl::Duration most_delay = absl::Milliseconds(1);

    // Transport faults, only for the tests that show that a check can fail.
    bool misroute_hops = false;         ///< Delivers forwarded requests to another entry.
    bool drop_hop_header = false;       ///< Removes Cuminpitch-Hop from requests.
    bool report_resets_not_run = false; ///< Reports each connection reset as not run.
};

/// One HTTP exchange between two hosts.
struct http_call
{
    std::string from;
    http::client_request request;
    absl::Time started;
    std::function<void(http::client_result)> done; ///< Empty once called.
    /// Set by the server, to be called if the client gives up before the response.
    std::function<void()> on_client_gone;
};
using call_ptr = std::shared_ptr<http_call>;

/// Probabilities, from 0 to 1, of the faults of each request at a backend server.
struct backend_faults
{
    double fails = 0;         ///< Runs the request and answers 500.
    double resets_before = 0; ///< Resets the connection without running the request.
    double resets_after = 0;  ///< Resets the connection after running the request.
    double sheds = 0;         ///< Answers 503 with Cuminpitch-Run: not-run.
    double hangs = 0;         ///< Runs the request and never answers.
    absl::Duration work = absl::Milliseconds(20); ///< Service time.
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
    /// The last echo that each entry returned, to be sent with the next announcement.
    absl::btree_map<core::endpoint, std::uint64_t> echoes;
    std::vector<core::endpoint> targets; ///< Entries that get its announcements.
};

/// A request that a backend server ran.
struct execution
{
    std::string server;
    absl::Time sent;          ///< When the entry sent the request.
    absl::Time leaving_since; ///< When the server began to leave, as of the execution.
};

/// Deterministic simulation of a whole fleet: the state machines of all processes run
/// in one thread from one event queue ordered by simulated time. Equal options and
/// calls give equal results. The clock of each process has a constant offset of its
/// own.
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

    /// Receives each log line: the id of the process and the text.
    std::function<void(const std::string&, const std::string&)> on_log;

    // Network. Hosts are given by their IP addresses.
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
    /// True if the entry has been started and is neither stopped nor frozen.
    bool is_running(std::size_t i) const;
    /// True also while the entry is frozen.
    bool has_process(std::size_t i) const;
    core::revision revision(std::size_t i) const;
    std::uint64_t incarnation(std::size_t i) const;
    /// Body of GET /.cuminpitch/v1/status, asked without the simulated network. Empty if
    /// the entry is not running.
    std::string status(std::size_t i);
    void start_entry(std::size_t i);
    void crash_entry(std::size_t i);
    void stop_entry(std::size_t i); ///< Requests a graceful shutdown.
    void freeze_entry(std::size_t i);
    void thaw_entry(std::size_t i);

    // Control instances, by number from 0.
    struct control_process;
    std::size_t controls() const { return controls_.size(); }
    core::endpoint control_http(std::size_t i) const;
    bool is_control_running(std::size_t i) const;
    void start_control(std::size_t i);
    /// Crashes the instance after it has carried out `more_actions` further actions; at
    /// once if that is 0.
    void crash_control(std::size_t i, std::size_t more_actions = 0);
    void stop_control(std::size_t i); ///< Requests a graceful shutdown.
    /// Gives the instance, which must not be running, empty storage and a new identity.
    void wipe_disk(std::size_t i);
    /// Forms the control group by POST /v1/init to the first instance.
    void form_group();
    /// Sends a request of an operator and follows a redirect to the leader. Retries until
    /// the response is neither an error of the transport nor 421 or 503.
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
    /// Executions by request id, which is the last segment of the path.
    const absl::btree_map<std::string, std::vector<execution>>& executions() const
    {
        return executions_;
    }
    /// Pairs of hosts that forwarded and received a request, by request id. Only hops
    /// that arrived are listed.
    using hop_list = std::vector<std::pair<std::string, std::string>>;
    const absl::btree_map<std::string, hop_list>& hops() const { return hops_; }
    /// Number of answers by entries to requests that they had already answered.
    std::size_t duplicate_answers() const { return duplicate_answers_; }

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

    void tick_entry(std::size_t i, std::uint64_t generation);
    void tick_control(std::size_t i, std::uint64_t generation);
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

    // Carry out the actions of the state machines.
    void run(entry_process& at, entry::action::http_respond& it);
    void run(entry_process& at, entry::action::start_call& it);
    void run(entry_process& at, entry::action::cancel_call& it);
    void run(entry_process& at, entry::action::send_frame& it);
    void run(entry_process& at, entry::action::write_log& it);
    void run(entry_process& at, entry::action::drain_connections& it);
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
    std::size_t duplicate_answers_ = 0;
};

} // namespace cuminpitch::testing
