#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/health/evidence.hpp"
#include "cuminpitch/health/pool_coordinator.hpp"
#include "cuminpitch/health/pool_heartbeat.hpp"
#include "cuminpitch/upstream/announcement.hpp"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::health {

struct pool_health_options
{
    absl::Duration heartbeat = absl::Milliseconds(250);
    /// A peer without contact for this long is no longer reported as live.
    absl::Duration peer_timeout = absl::Seconds(3);
    absl::Duration capacity_window = absl::Minutes(10);
    coordinator_options coordinator;
    /// The accepted rate of false ejections is taken from the pool's settings instead.
    detector_options detector;
};

/// State of a backend server for dispatch. It gets new requests only if it is fresh and
/// not ejected, or in probation (one request at a time).
struct server_state
{
    core::server_id id;
    core::endpoint address;
    std::uint32_t slots = 0;
    std::uint64_t incarnation = 0;
    /// Fraction of the slots to use, below 1 during a cold start and after a readmission.
    double ramp = 1;
    bool fresh = false;
    bool suspected = false; ///< To be chosen last.
    bool ejected = false;
    bool probation = false; ///< Ejected, but gets trial requests, one at a time.
};

struct live_entry
{
    core::instance_id id;
    bool draining = false;
    core::revision fleet_revision;
};

struct send_heartbeat
{
    core::instance_id to;
    pool_heartbeat message;
};

struct log_event
{
    std::string what;
    core::server_id server; ///< Empty for events of the lease.
    double severity = 0;
};

using pool_action = std::variant<send_heartbeat, action::start_probe, log_event>;

struct pool_counts
{
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeats_received = 0;
    std::uint64_t evidence_cells_sent = 0;
    std::uint64_t ejections = 0;
    std::uint64_t ejections_without_room = 0;
    std::uint64_t readmissions = 0;
    std::uint64_t readmissions_for_capacity = 0;
    std::uint64_t failed_probations = 0;
    std::uint64_t leases_acquired = 0;
    std::uint64_t leases_lost = 0;
};

/// State of one pool at one of its assigned entries: the announced servers, their health,
/// and this entry's role as coordinator or follower. Each `now` is a reading of this
/// process's monotonic clock as an absl::Time; it never decreases.
class pool_health
{
public:
    /// `incarnation`: start time of this process, higher than that of earlier ones.
    pool_health(
        core::instance_id self,
        std::uint64_t incarnation,
        absl::Time now,
        const config::pool_settings& settings,
        const pool_health_options& options,
        std::uint64_t seed);
    ~pool_health();
    pool_health(pool_health&&) noexcept;
    pool_health& operator=(pool_health&&) noexcept;

    void set_settings(const config::pool_settings& it);
    /// Sets the list of assigned entries. Lease promises outlive a change of the list.
    void set_assignment(absl::Time now, const control::pool_assignment& it);
    /// See pool_lease::set_list_confirmed.
    void set_list_confirmed(bool it);
    void set_draining(bool it);
    void set_fleet_revision(core::revision it);

    /// Takes an announcement from the server itself; see upstream::registry::announce.
    bool announce(
        absl::Time now, const upstream::announcement& it, std::optional<absl::Time> echo);

    /// Counts a finished attempt of this entry.
    void observe(
        absl::Time now,
        const core::server_id& server,
        const core::route_id& route,
        attempt_kind kind,
        absl::Duration duration);

    /// Counts finished attempts of this entry that are already classified as slow or not.
    void observe(
        absl::Time now,
        const core::server_id& server,
        const core::route_id& route,
        const evidence& counts);

    void receive(absl::Time now, const core::instance_id& from, const pool_heartbeat& it);

    void probe_finished(absl::Time now, const core::server_id& server, bool success);

    /// Returns the actions that are due. To be called every 10 to 100 ms.
    std::vector<pool_action> tick(absl::Time now);

    /// All eligible servers.
    std::vector<server_state> servers(absl::Time now) const;

    /// Assigned entries with contact within the peer timeout, this one included.
    std::vector<live_entry> live_entries(absl::Time now) const;

    std::optional<core::instance_id> coordinator(absl::Time now) const;
    bool is_coordinator(absl::Time now) const;
    const pool_counts& counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::health
