#pragma once

#include "cuminpitch/consensus/action.hpp"
#include "cuminpitch/consensus/replica_options.hpp"
#include "cuminpitch/consensus/storage.hpp"
#include "cuminpitch/control/call.hpp"
#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/controller.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/net/transport.hpp"
#include "cuminpitch/telemetry/log.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

struct node_options
{
    core::instance_id id;
    consensus::member_id identity; ///< Of the data folder.
    core::endpoint http;
    core::endpoint internal;
    core::failure_domain_id failure_domain;
    /// Internal endpoints of the other instances, or of some of them if `admits_members`.
    std::vector<core::endpoint> peers;
    /// Control instances that make themselves known become voters, and voters that stay
    /// silent for `silent_voter_timeout` are removed.
    bool admits_members = false;
    absl::Duration silent_voter_timeout = absl::Seconds(15);
    /// Time between changes of members; each needs a commit.
    absl::Duration member_interval = absl::Milliseconds(50);
    /// Entries in an answer to callers, more if servers have many slots.
    std::size_t entries_per_answer = 3;
    /// Slots of servers that one entry can keep in use; 0: no further entries are named.
    std::size_t slots_per_entry = 0;
    /// An entry that was not heard from for this long is not named to callers: two and a
    /// half intervals of its presence.
    absl::Duration presence_timeout = absl::Milliseconds(2600);
    /// A follower passes reports of an entry on to the leader this often at most.
    absl::Duration relay_interval;
    /// An API call without an outcome by then is answered as unavailable, before its
    /// caller gives it up after a second.
    absl::Duration call_timeout = absl::Milliseconds(900);

    absl::Duration hello_interval = absl::Milliseconds(500);
    consensus::replica_options replica;
    /// An operator's change without an outcome by then is answered as unknown.
    absl::Duration proposal_timeout = absl::Seconds(5);
    /// A planned stop waits at most this long for another leader.
    absl::Duration stop_timeout = absl::Seconds(2);
    /// Log entries after which a snapshot is taken.
    std::uint64_t snapshot_interval = 1000;
    /// A run of the controller takes 10 ms with 4,100 entries and 3,200 pools, and
    /// `tick` comes after each batch of frames.
    absl::Duration controller_interval = absl::Milliseconds(100);
    controller_options controller;
};

namespace event {

struct operator_request
{
    core::request_id id; ///< Never used twice in the life of a process.
    std::shared_ptr<const http::request> message;
    std::int64_t wall_clock_ms = 0; ///< For the history only.
};

struct frame_received
{
    net::peer from;
    net::frame message;
};

struct tick
{
};

/// A planned stop begins.
struct stop
{
};

/// The settings name other instances.
struct peers_changed
{
    std::vector<core::endpoint> peers;
};

} // namespace event

using node_event = std::variant<
    event::operator_request,
    event::frame_received,
    event::tick,
    event::stop,
    event::peers_changed,
    api_call>;

namespace action {

struct respond
{
    core::request_id id;
    http::response response;
};

/// The answer to an API call.
struct answer_call
{
    core::request_id id;
    api_answer answer;
};

struct send_frame
{
    core::endpoint to;
    net::frame message;
};

/// Form a group of these voters in the storage and start a new node from it. It answers
/// the operator's request.
struct form_group
{
    core::request_id request;
    consensus::member_set voters;
};

struct write_log
{
    telemetry::severity severity = telemetry::severity::info;
    std::string event;
    std::vector<telemetry::field> fields;
};

/// The planned stop is complete.
struct exit
{
};

} // namespace action

using node_action = std::variant<
    consensus::write_hard_state,
    consensus::write_entries,
    consensus::write_snapshot,
    consensus::sync_writes,
    action::respond,
    action::answer_call,
    action::send_frame,
    action::form_group,
    action::write_log,
    action::exit>;

/// One control instance as a state machine: composes the consensus replica, the fleet
/// state, the controller and the operator API. Not thread-safe. `now` is a reading of
/// this process's monotonic clock; it never goes back.
class node
{
public:
    /// Null if the stored state contradicts itself.
    static std::unique_ptr<node> make(
        node_options options,
        consensus::stored_state state,
        compile_function compile,
        core::random_source random,
        telemetry::metrics& metrics,
        absl::Time now);
    ~node();

    /// `tick` is due every 10 ms.
    void handle(absl::Time now, node_event it);

    /// What to do for all events since the last call, in order and completely. When a
    /// write or sync fails, the rest must not be done and the process must end.
    std::vector<node_action> take_actions();

private:
    class impl;
    explicit node(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
