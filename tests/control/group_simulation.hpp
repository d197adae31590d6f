#pragma once

#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/control/node.hpp"

#include "sample.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::control {

/// Simulates control instances that discover each other from seeds, in one thread with
/// one clock. Frames arrive after 1 ms.
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
        std::map<core::request_id, api_answer> answers;
        std::map<core::endpoint, sync_response> responses; ///< Last response by entry.
        /// Total bytes sent to each entry.
        std::map<core::endpoint, std::size_t> bytes_sent;
    };

    /// The first `seed_count` of the instances are the seeds and form the group.
    group_simulation(std::size_t instances, std::size_t seed_count);

    void run_for(absl::Duration length);
    void start(std::size_t i);
    void stop(std::size_t i) { at(i).running.reset(); }
    void wipe(std::size_t i);
    /// Adds an instance at a new address, with an empty disk and running instances as its
    /// seeds. Returns its number.
    std::size_t add();
    void cut_link(std::size_t a, std::size_t b);
    void heal() { cut_links_.clear(); }
    absl::Time now() const { return now_; }

    instance& at(std::size_t i) { return *instances_[i]; }
    std::size_t size() const { return instances_.size(); }
    /// Returns the number of the instance that answers reads, if there is one.
    std::optional<std::size_t> leader();
    std::size_t voters(std::size_t i);

    /// Sends an entry's report and returns the response that the entry receives within
    /// the time.
    std::optional<sync_response>
    report(std::size_t i, const sync_request& it, absl::Duration time);

    template <class Call>
    core::request_id send(std::size_t i, Call call)
    {
        call.id = core::request_id(++last_request_);
        at(i).running->handle(now_, api_call(call));
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
        absl::Time arrives;
        std::size_t from;
        std::size_t to;
        net::frame frame;
    };

    node_options options(std::size_t i) const;
    void step(std::size_t i);
    void record_for_entry(std::size_t i, const action::send_frame& it);
    std::optional<std::size_t> find(const core::endpoint& internal) const;

    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::size_t seed_count_;
    std::vector<core::endpoint> seeds_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::deque<message> network_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_identity_ = 0;
    telemetry::metrics metrics_;
};

} // namespace cuminpitch::control
