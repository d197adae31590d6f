#pragma once

#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cuminpitch::entry {

struct node_options
{
    control::entry_record self;
    /// Start time of the process in us of wall-clock time.
    std::uint64_t incarnation = 0;
    /// Internal endpoints of the control instances.
    std::vector<core::endpoint> control;
    /// Internal endpoints of some other entries, to be asked for the fleet state when
    /// control can't be reached at the start. May be empty.
    std::vector<core::endpoint> peers;
    std::uint64_t seed = 0;

    /// How long callers keep an answer about entries.
    absl::Duration keep = absl::Seconds(5);
    absl::Duration sync_interval = absl::Milliseconds(500);
    /// The same, and the time after which another control instance is asked, before the
    /// first state is there.
    absl::Duration start_sync_interval = absl::Milliseconds(500);
    /// An unanswered control instance is replaced by the next one after this time.
    absl::Duration sync_timeout = absl::Seconds(1);
    /// Without contact to control for this time after the start, peers are asked.
    absl::Duration peer_start_delay = absl::Seconds(2);
    /// Without contact to any other process of the fleet for this time, the entry refuses
    /// requests, as the fault is then its own.
    absl::Duration isolation_timeout = absl::Seconds(5);
    /// The state of a control instance that has been out of touch with a majority for
    /// longer counts as no answer.
    absl::Duration stale_state_limit = absl::InfiniteDuration();
    /// Time between presences, by which control names this entry to callers; none are
    /// sent if infinite.
    absl::Duration presence_interval = absl::InfiniteDuration();
    /// Time between reports to control that name the contacts of this entry; zero: each.
    absl::Duration contacts_interval;
    /// During a planned stop new requests are taken for this long; `keep` and a margin if
    /// not set.
    std::optional<absl::Duration> stop_grace;
    /// During a planned stop each response closes its connection.
    bool closes_when_stopping = false;
    request::dialect dialect;
    /// A process that has just started gets the declarations within this time; requests
    /// that arrive before wait for them instead of being refused.
    absl::Duration start_window;
    /// Each of them waits this long at most, as the time of its caller runs out.
    absl::Duration start_hold = absl::InfiniteDuration();
    /// Logs each decision on a request.
    bool explains = false;
};

/// Seed of the choices of an entry. Entries that start at the same moment get different
/// ones, as they would choose the same servers otherwise.
std::uint64_t start_seed(const core::instance_id& id, std::uint64_t incarnation);

/// One entry instance as a state machine: composes the fleet state, the health of its
/// pools and the request path. Not thread-safe. `now` is a reading of this process's
/// monotonic clock; it never goes back.
class node
{
public:
    node(
        node_options options,
        control::compile_function compile,
        telemetry::metrics& metrics);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Actions are to be carried out in their order. `tick` is due every 20 ms, or every
    /// 100 ms while is_idle().
    std::vector<node_action> handle(absl::Time now, node_event it);

    /// Revision in force, 0 before the first.
    core::revision revision() const;
    /// Callers may connect: declarations are in force and no stop has begun.
    bool is_ready() const;
    /// No request is here, and all that is left is done in tenths of a second.
    bool is_idle() const;
    /// Counters, gauges and histograms of this moment, in Prometheus text format.
    std::string metrics_text();
    /// HTTP endpoints of the entries that callers of this failure domain should use;
    /// empty until control has said so. Stays while control is away. Without this entry
    /// once a stop has begun.
    std::vector<core::endpoint> named_entries() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::entry
