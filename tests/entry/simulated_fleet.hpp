#pragma once

#include "fixture.hpp"

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/entry/node.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::entry {

/// The number of seeds to run: `usual`, or CUMINPITCH_SEEDS for long runs by hand.
std::uint64_t seeds(std::uint64_t usual);
/// A number from the environment, or `usual`.
std::uint64_t from_environment(const char* name, std::uint64_t usual);

struct fleet_shape
{
    std::size_t entries = 52;
    std::size_t domains = 2;
    std::uint32_t servers = 170;
    std::uint32_t slots = 6;
    /// Slots of the first server, if not 0.
    std::uint32_t first_server_slots = 0;
    absl::Duration mean_service_time = absl::Milliseconds(700);
    /// Time that callers wait. Not stated in the requests if 0.
    absl::Duration deadline;
    std::uint64_t seed = 0;
};

/// How the links of an entry to all servers fail.
enum class link_fault
{
    dropped, ///< Packets are dropped, so connections hang.
    reset,   ///< Open connections are reset and new ones refused.
    refused, ///< New connections are refused; open ones go on.
};

/// Entries of one fleet, all started at the same time, with simulated network and
/// servers. Entries and servers are split evenly between the failure domains.
class simulated_fleet
{
public:
    static constexpr absl::Duration network_delay = absl::Milliseconds(2);
    static constexpr absl::Duration tick_interval = absl::Milliseconds(20);

    explicit simulated_fleet(const fleet_shape& shape);
    virtual ~simulated_fleet() = default;

    absl::Time now() const { return now_; }
    const fleet_shape& shape() const { return shape_; }
    static core::endpoint server_at(std::size_t index);

    /// Sends `requests` requests in `time`, evenly spaced, to each of the first `active`
    /// entries in turn (all entries if 0).
    void run_load(std::size_t requests, absl::Duration time, std::size_t active = 0);
    void advance(absl::Time until);
    void send(std::size_t entry, bool is_idempotent = false);
    /// Sends evenly spaced requests to random entries for this time, a third of them
    /// idempotent, that keep this fraction of the slots busy. Returns their number.
    std::size_t run_random_load(double utilization, absl::Duration time);

    /// Replaces the process of the entry by a new one, without the state of the old one.
    void restart(std::size_t entry);
    /// Suspends the entry. Its clock goes on, and its input is handled when it resumes.
    void freeze(std::size_t entry);
    void resume(std::size_t entry);
    /// Cuts the entry off from all other entries, but not from the servers.
    void cut(std::size_t entry) { cut_.insert(entry); }
    void heal(std::size_t entry) { cut_.erase(entry); }
    /// Cuts the entry off from these servers (all if empty), but not from callers or
    /// other entries.
    void cut_links(
        std::size_t entry,
        link_fault fault,
        const std::set<core::endpoint>& servers = {});
    void restore_links(std::size_t entry);
    bool has_links(std::size_t entry) const { return !link_faults_.contains(entry); }
    bool is_disturbed(std::size_t entry) const
    {
        return frozen_.contains(entry) || cut_.contains(entry);
    }

    struct arrival_at_server
    {
        absl::Time at;
        std::size_t entry = 0;
    };
    const std::vector<arrival_at_server>& arrivals_at(const core::endpoint& server)
    {
        return arrivals_by_server_[server];
    }
    struct response
    {
        int status = 0;
        absl::Duration after;
        std::string reason;
        std::string retry_after;
        std::size_t entry = 0;
        bool is_idempotent = false;
        std::string verdict;
        std::string request; ///< Key of `executions()`.
        absl::Time sent;
    };
    /// Responses to callers, in their order.
    const std::vector<response>& responses() const { return responses_; }
    /// How often servers ran each request.
    const std::map<std::string, std::size_t>& executions() const { return executions_; }
    std::size_t hops() const { return hops_; }
    /// Requests of callers whose entry was restarted before it responded.
    std::size_t lost_requests() const { return lost_requests_; }

    /// Counters of all entries together.
    const telemetry::metrics& metrics() const { return metrics_; }
    std::size_t sent_to_full() const { return sent_to_full_; }

protected:
    /// Called for each message that an entry sends to another one.
    virtual void count_message(const net::frame&) {}
    /// What an entry gets for a request that has reached the server.
    virtual http::client_result serve(const core::endpoint& server);

    core::random_source random_;

private:
    struct input
    {
        std::size_t entry = 0;
        std::uint64_t process = 0; ///< Input of a process that has ended is dropped.
        node_event what;
    };

    /// A call of an entry that has no result yet.
    struct open_call
    {
        core::endpoint to;
        absl::Time began;
        absl::Duration timeout;
        bool is_sent = true; ///< False while the attempt to connect hangs.
        /// Scheduled result. The end if the target is another entry that hasn't answered.
        std::multimap<absl::Time, input>::iterator result;
        /// Result that dropped packets hold up.
        std::optional<http::client_result> held_up;
    };
    using call_key = std::pair<std::size_t, call_id>;
    struct caller_request
    {
        absl::Time sent;
        std::size_t entry = 0;
        bool is_idempotent = false;
        std::string key;
        std::optional<call_key> hop; ///< Set if another entry sent the request.
    };

    control::entry_record record_of(std::size_t index) const;
    std::string domain_of(std::size_t index) const;
    void run_hop(std::size_t entry, std::size_t to, const action::start_call& call);
    std::optional<link_fault>
    fault_between(std::size_t entry, const core::endpoint& server) const;
    void schedule(
        std::size_t entry,
        call_id call,
        absl::Duration after,
        http::client_result result);
    void cancel(std::size_t entry, call_id call);
    void drop_calls(std::size_t entry);
    void end_hops(const std::function<bool(const call_key&)>& is_ended);
    void respond(const action::http_respond& responded);
    void start(std::size_t entry);
    absl::Time next_input() const;
    void handle(std::size_t entry, node_event what);
    void run(std::size_t entry, const action::start_call& call);
    std::uint32_t slots_of(std::size_t server) const;
    absl::Duration response_time(const core::endpoint& server);
    void deliver(std::size_t from, action::send_frame& sent);

    fleet_shape shape_;
    telemetry::metrics metrics_;
    std::shared_ptr<const control::fleet_contents> contents_;
    std::vector<std::unique_ptr<node>> fleet_;
    std::vector<std::uint64_t> processes_;
    absl::flat_hash_map<std::string, std::size_t> by_host_;
    std::multimap<absl::Time, input> inputs_;
    std::set<std::size_t> cut_;
    std::map<std::size_t, std::deque<node_event>> frozen_;
    std::map<core::endpoint, std::vector<absl::Time>> completions_;
    std::map<core::endpoint, std::vector<arrival_at_server>> arrivals_by_server_;
    std::map<core::request_id, caller_request> open_;
    std::map<call_key, open_call> calls_;
    struct cut_link
    {
        link_fault fault = link_fault::dropped;
        std::set<core::endpoint> servers; ///< All servers if empty.
    };
    std::map<std::size_t, cut_link> link_faults_;
    /// Entries and servers with an idle connection between them.
    std::set<std::pair<std::size_t, core::endpoint>> idle_connections_;
    std::map<std::string, std::size_t> executions_;
    std::size_t hops_ = 0;
    std::size_t lost_requests_ = 0;
    std::vector<response> responses_;
    std::size_t sent_to_full_ = 0;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    absl::Time next_tick_ = now_ + tick_interval;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_process_ = 1'700'000'000'000'000;
};

} // namespace cuminpitch::entry
