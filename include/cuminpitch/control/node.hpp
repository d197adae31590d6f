#pragma once

#include "cuminpitch/consensus/action.hpp"
#include "cuminpitch/consensus/replica_options.hpp"
#include "cuminpitch/consensus/storage.hpp"
#include "cuminpitch/control/call.hpp"
#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/controller.hpp"
#include "cuminpitch/control/memory_limits.hpp"
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
    consensus::member_id identity; ///< Identity of the data folder.
    core::start_id start;          ///< Differs between all starts of an instance.
    core::endpoint http;
    core::endpoint internal;
    core::failure_domain_id failure_domain;
    /// Internal endpoints of the other instances; some of them suffice with
    /// `admits_members`.
    std::vector<core::endpoint> peers;
    /// Control instances that send hellos become voters, and voters without contact for
    /// `silent_voter_timeout` are removed. In a group of even size one voter less lowers
    /// the majority and costs nothing, so `surplus_voter_timeout` holds.
    bool admits_members = false;
    absl::Duration silent_voter_timeout = absl::Seconds(15);
    absl::Duration surplus_voter_timeout = absl::Seconds(2);
    /// Instances that may be lost at the same moment, with their disks, while the others
    /// keep all that was acknowledged and have a leader. The group removes no voter below
    /// the number that this needs.
    std::size_t declared_losses = 1;
    /// Time between membership changes, each of which needs a commit.
    absl::Duration member_interval = absl::Milliseconds(50);
    /// Entries named in an answer to callers; more are named if servers have many slots.
    std::size_t entries_per_answer = 3;
    /// Backend server slots that one entry can keep in use. With 0 the number of servers
    /// doesn't raise the number of entries named.
    std::size_t slots_per_entry = 0;
    /// An entry without a presence message for this long is not named to callers. This is
    /// two and a half presence intervals.
    absl::Duration presence_timeout = absl::Milliseconds(2600);
    /// Minimum time between reports of one entry that a follower forwards to the leader.
    absl::Duration relay_interval;
    /// An API call without an outcome within this time is answered as unavailable, before
    /// the caller's own timeout of one second.
    absl::Duration call_timeout = absl::Milliseconds(900);

    absl::Duration hello_interval = absl::Milliseconds(500);
    consensus::replica_options replica;
    /// An operator's change without an outcome within this time is answered as unknown.
    absl::Duration proposal_timeout = absl::Seconds(5);
    /// A planned stop waits at most this long for the leadership transfer.
    absl::Duration stop_timeout = absl::Seconds(2);
    /// Number of log entries after which a snapshot is taken. One is also taken when they
    /// exceed `memory.log`.
    std::uint64_t snapshot_interval = 1000;
    memory_limits memory = memory_limits_for(0);
    /// Minimum time between runs of the controller. A run takes 10 ms with 4,100 entries
    /// and 3,200 pools, and `tick` events come after each batch of frames.
    absl::Duration controller_interval = absl::Milliseconds(100);
    controller_options controller;
};

/// Sets `admits_members` and the intervals of such a group. It serves a large fleet, so
/// its instances exchange messages other than the Raft log less often.
void admit_members(node_options& it);

namespace event {

struct operator_request
{
    core::request_id id; ///< Unique within the life of a process.
    std::shared_ptr<const http::request> message;
    std::int64_t wall_clock_ms = 0; ///< Used only in the history.
};

struct frame_received
{
    net::peer from;
    net::frame message;
};

struct tick
{
};

/// Begins a planned stop.
struct stop
{
};

/// The peers in the process settings have changed.
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

/// Writes a new group of these voters to the storage, starts a new node from it, and
/// answers the operator's request.
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

/// The process must exit: a planned stop is complete, or a snapshot can't be restored.
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

/// One control instance as a deterministic state machine: combines the consensus replica,
/// the fleet state, the controller and the operator API. Not thread-safe. `now` is a
/// reading of this process's monotonic clock and never decreases.
class node
{
public:
    /// Returns null if the stored state is inconsistent.
    static std::unique_ptr<node> make(
        node_options options,
        consensus::stored_state state,
        compile_function compile,
        core::random_source random,
        telemetry::metrics& metrics,
        absl::Time now);
    ~node();

    /// A `tick` event must be passed every 10 ms.
    void handle(absl::Time now, node_event it);

    /// Returns the actions for all events since the last call. The caller must execute
    /// all of them in order. If a write or sync fails, it must not execute the remaining
    /// ones, and the process must end.
    std::vector<node_action> take_actions();

    /// Whether take_actions() has left work for the next step, which is then due at once.
    /// Long work is divided into steps so that messages between instances don't wait.
    bool has_backlog() const;

private:
    class impl;
    explicit node(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::control
