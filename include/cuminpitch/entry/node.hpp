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
    /// Wall-clock start time of the process in microseconds.
    std::uint64_t incarnation = 0;
    /// Internal endpoints of the control instances.
    std::vector<core::endpoint> control;
    /// Internal endpoints of other entries, which are asked for the fleet state if no
    /// control instance can be reached at startup. May be empty.
    std::vector<core::endpoint> peers;
    std::uint64_t seed = 0;

    /// How long callers may cache the list of entries from a response.
    absl::Duration entries_ttl = absl::Seconds(5);
    /// Time between two sync requests to control.
    absl::Duration sync_interval = absl::Milliseconds(500);
    /// Replaces `sync_interval` and `sync_timeout` until the first fleet state has
    /// arrived, if it is shorter than `sync_interval`.
    absl::Duration start_sync_interval = absl::Milliseconds(500);
    /// After this time without a response, the next control instance is asked.
    absl::Duration sync_timeout = absl::Seconds(1);
    /// Other entries are asked for the fleet state after this time without contact with
    /// control, counted from the startup of the process at the earliest.
    absl::Duration peer_query_delay = absl::Seconds(2);
    /// After this time without contact with any other process of the fleet, the entry
    /// refuses requests, because the fault is then its own.
    absl::Duration isolation_timeout = absl::Seconds(5);
    /// A response counts as no response if its control instance has had no contact with a
    /// majority for longer than this.
    absl::Duration stale_state_limit = absl::InfiniteDuration();
    /// Time between presence messages, which let control name this entry to callers. No
    /// presence is sent if infinite.
    absl::Duration presence_interval = absl::InfiniteDuration();
    /// Time between sync requests that include the contacts of this entry. Each sync
    /// request includes them if zero.
    absl::Duration contacts_interval;
    /// New requests are accepted for this long after a planned stop begins. Defaults
    /// to `entries_ttl` plus a margin.
    std::optional<absl::Duration> stop_grace;
    /// The process is killed this long after a planned stop begins. From then on,
    /// requests whose deadline is later are refused. Unlimited if empty.
    std::optional<absl::Duration> stop_timeout;
    /// During a planned stop, each connection closes after the response to its last open
    /// request.
    bool closes_when_stopping = false;
    /// Slots of backend servers that this entry can keep busy; 0: control's setting.
    std::uint32_t slots = 0;
    /// Keys of customers are valid for this long after control has last confirmed that
    /// this entry has the newest state.
    absl::Duration max_key_age = absl::InfiniteDuration();
    /// Requests are queued and refused by priority, not in the order of their arrival.
    bool has_ranked_admission = false;
    request::dialect dialect;
    /// Time after startup within which the declarations are expected. Requests that
    /// arrive earlier than these wait for them instead of being refused.
    absl::Duration start_window;
    /// Maximum time that such a request waits, because the time budget of its caller runs
    /// out meanwhile.
    absl::Duration max_start_wait = absl::InfiniteDuration();
    /// Logs each decision about a request.
    bool explains = false;
};

/// Seed of the random choices of an entry. Differs between entries that start at the same
/// time, because they would otherwise choose the same servers.
std::uint64_t start_seed(const core::instance_id& id, std::uint64_t incarnation);

/// State machine of one entry instance, which combines the fleet state, the health of its
/// pools and the request path. Not thread-safe. `now` is read from the monotonic clock of
/// this process and never decreases.
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

    /// Handles an event and returns the actions to execute, in order. `tick` is due every
    /// 20 ms, or every 100 ms while is_idle().
    std::vector<node_action> handle(absl::Time now, node_event input);

    /// The revision in force, or 0 before the first one.
    core::revision revision() const;
    /// True if callers may connect: declarations are in force and no planned stop has
    /// begun.
    bool is_ready() const;
    /// True if the entry is ready, has no requests in flight and is not assigned to any
    /// pool. The remaining work tolerates ticks of 100 ms.
    bool is_idle() const;
    /// Current counters, gauges and histograms in Prometheus text format.
    std::string metrics_text();
    /// HTTP endpoints of the entries that callers in this failure domain should use, as
    /// last received from control. Empty until control has sent them; kept while control
    /// is unreachable. Excludes this entry once a planned stop has begun or while its
    /// network path to servers is impaired, unless it is the only one.
    std::vector<core::endpoint> named_entries() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::entry
