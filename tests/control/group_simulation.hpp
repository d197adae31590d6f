#pragma once

#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/control/node.hpp"

#include "entry/control_link_priv.hpp"
#include "sample.hpp"

#include <absl/functional/function_ref.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::control {

/// Time that the single thread of a control instance is busy with its work. Meanwhile
/// messages wait, and what it sends leaves at the end of its step.
struct processing_cost
{
    absl::Duration per_change;      ///< For each change applied.
    absl::Duration per_encoded_kib; ///< For each KiB of a distinct update before
                                    ///< compression.
    absl::Duration per_report;      ///< For each report of an entry.
};

/// Simulates control instances that discover each other from seeds, and the entries that
/// follow them, in one thread. Frames arrive after 1 ms.
class group_simulation
{
public:
    /// Instances are assigned to the failure domains d0, d1 and d2 in turn.
    static constexpr std::size_t domains = 3;

    struct instance
    {
        core::endpoint internal;
        std::unique_ptr<consensus::memory_storage> storage;
        consensus::member_id identity;
        std::unique_ptr<node> running; ///< Null while the instance is down.
        std::uint64_t starts = 0;
        /// Its clock is that of the simulation plus this.
        absl::Duration clock;
        std::map<core::request_id, api_answer> answers;
        std::map<core::endpoint, sync_response> responses; ///< Last response by entry.
        /// Total bytes sent to each entry.
        std::map<core::endpoint, std::size_t> bytes_sent;
        std::vector<std::pair<core::endpoint, net::frame>> inbox;
        absl::Time busy_until = absl::InfinitePast();
        std::size_t changes_applied = 0;
        /// Number of times that this instance became leader.
        int elections = 0;
    };

    /// An entry without requests: only the part that follows control.
    struct simulated_entry
    {
        entry::node_options options;
        std::unique_ptr<entry::control_link> link; ///< Null while the entry is down.
    };

    /// The first `seed_count` of the instances are the seeds and form the group.
    group_simulation(
        std::size_t instances,
        std::size_t seed_count,
        std::uint64_t seed = 7,
        std::size_t declared_losses = 1);
    void set_cost(const processing_cost& it) { cost_ = it; }
    /// Takes effect at the next start of an instance.
    void set_memory(const memory_limits& it) { memory_ = it; }

    /// Adds entries and starts them.
    void add_entries(std::size_t count);
    void start_entry(std::size_t i);
    void stop_entry(std::size_t i) { entries_[i].link.reset(); }
    simulated_entry& entry_at(std::size_t i) { return entries_[i]; }
    std::size_t entry_count() const { return entries_.size(); }
    /// Number of running entries whose document is the one with this number.
    std::size_t entries_at(std::uint64_t document) const;
    /// Drops all frames from this control instance to this entry until heal_entries().
    void cut_from_entry(std::size_t i, std::size_t entry);
    void heal_entries() { cut_entries_.clear(); }

    void run_for(absl::Duration length);
    void start(std::size_t i);
    void stop(std::size_t i) { at(i).running.reset(); }
    /// Stops the instance. Of its unsynced writes, the first `surviving` remain, and its
    /// clock starts anew.
    void lose_power(std::size_t i, std::size_t surviving = 0);
    /// Makes all instances lose power at the durable write with this number, counted from
    /// now and over all instances: before it takes effect, or after it and before
    /// anything that follows from it. run_for() then returns early.
    void lose_all_power_at(std::size_t write, bool takes_effect);
    /// False from such a loss of power until an instance starts.
    bool has_power() const { return has_power_; }
    void wipe(std::size_t i);
    /// Adds an instance at a new address, with an empty disk and running instances as its
    /// seeds. Returns its number.
    std::size_t add();
    void cut_link(std::size_t a, std::size_t b);
    void heal() { cut_links_.clear(); }
    absl::Time now() const { return now_; }
    absl::Time time_at(std::size_t i) const { return now_ + instances_[i]->clock; }

    instance& at(std::size_t i) { return *instances_[i]; }
    std::size_t size() const { return instances_.size(); }
    /// Returns the number of the instance that answers reads, if there is one.
    std::optional<std::size_t> leader();
    std::size_t voters(std::size_t i);

    /// Reads the document as an operator does: at any instance, following its answers.
    /// Returns the number of the document that is read within the time.
    std::optional<std::uint64_t> read_as_operator(absl::Duration limit);

    /// Sends an entry's report and returns the response that the entry receives within
    /// the time.
    std::optional<sync_response>
    report(std::size_t i, const sync_request& it, absl::Duration time);

    template <class Call>
    core::request_id send(std::size_t i, Call call)
    {
        call.id = core::request_id(++last_request_);
        at(i).running->handle(time_at(i), api_call(call));
        return call.id;
    }
    /// Makes the call and returns its answer if one arrives within the time.
    template <class Call>
    std::optional<api_answer>
    ask(std::size_t i, Call call, absl::Duration time = absl::Seconds(1))
    {
        call.id = send(i, call);
        const absl::Time end = now_ + time;
        while (now_ < end && !at(i).answers.contains(call.id)) {
            run_for(absl::Milliseconds(10));
        }
        const auto found = at(i).answers.find(call.id);
        return found == at(i).answers.end() ? std::nullopt : std::optional(found->second);
    }
    /// Makes the call at each instance in turn until one accepts it.
    template <class Call>
    bool ask_any(Call call)
    {
        for (int round = 0; round < 50; ++round) {
            for (std::size_t i = 0; i < size(); ++i) {
                if (!at(i).running) {
                    continue;
                }
                const auto it = ask(i, call);
                if (it && std::holds_alternative<call_result::accepted>(*it)) {
                    return true;
                }
            }
            run_for(absl::Milliseconds(100));
        }
        return false;
    }

    static call::declare declare(std::uint64_t number);
    static call::announce
    announce(const std::string& server, upstream::availability state);

private:
    struct message
    {
        core::endpoint from;
        core::endpoint to;
        net::frame frame;
    };

    node_options options(std::size_t i) const;
    void step(std::size_t i);
    /// Executes the actions of a step and returns how long the instance is busy.
    absl::Duration execute(std::size_t i, std::vector<node_action> actions);
    /// Makes a write durable, unless the power of all instances is lost before it.
    /// Returns false if it is lost before or after it.
    bool make_durable(absl::FunctionRef<core::result<void>()> write);
    void lose_all_power();
    void record_for_entry(std::size_t i, const action::send_frame& it);
    void deliver();
    void deliver_to_entry(message& it);
    void step_entries();
    void send_from_entry(std::size_t i, std::vector<entry::node_action> actions);
    std::optional<std::size_t> find(const core::endpoint& internal) const;

    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::size_t seed_count_;
    std::vector<core::endpoint> seeds_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::set<std::pair<std::size_t, std::size_t>> cut_entries_;
    std::multimap<absl::Time, message> network_;
    std::vector<simulated_entry> entries_;
    std::map<core::endpoint, std::size_t> entry_numbers_;
    processing_cost cost_;
    std::size_t declared_losses_;
    memory_limits memory_ = memory_limits_for(0);
    std::uint64_t seed_;
    core::random_source clocks_;
    absl::Time next_entry_tick_ = absl::InfinitePast();
    std::uint64_t last_request_ = 0;
    std::uint64_t last_identity_ = 0;
    std::size_t writes_until_loss_ = 0; ///< 0: the power isn't lost.
    bool last_write_takes_effect_ = false;
    bool has_power_ = true;
    telemetry::metrics metrics_;
};

} // namespace cuminpitch::control
