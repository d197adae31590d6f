#pragma once

#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/health/evidence.hpp"
#include "cuminpitch/upstream/announcement.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace cuminpitch::health {

/// Asks the receiver to grant the pool's lease to the sender.
struct lease_request
{
    absl::Time sent; ///< On the requester's clock.
};

/// Grants the pool's lease to the receiver.
struct lease_grant
{
    std::uint64_t holder_incarnation = 0;
    absl::Time request_sent; ///< From the newest request granted.
};

/// A server that was readmitted after probation, and the time since then.
struct slow_start
{
    core::server_id server;
    absl::Duration age;
};

/// Servers that the pool's coordinator has ejected.
struct ejection_set
{
    /// Remaining time of the coordinator's lease when it sent this. The receiver counts
    /// the time from its own clock reading that the heartbeat echoes, so no set outlives
    /// the lease.
    absl::Duration valid_for;
    std::vector<core::server_id> servers; ///< The most severe first.
    std::vector<core::server_id>
        probation; ///< Those of `servers` that get trial requests.
    /// Unhealthy, but not ejected because capacity would fall below the minimum.
    std::vector<core::server_id> suspected;
    std::vector<slow_start> slow_starts;
};

/// Capacity of the pool at an earlier time.
struct capacity_sample
{
    absl::Duration age;
    double slots = 0;
    double servers = 0;
};

/// Message that the assigned entries of a pool send each other.
struct pool_heartbeat
{
    core::pool_id pool;
    std::uint64_t incarnation = 0; ///< Of the sender.
    core::revision list_revision;
    core::revision fleet_revision; ///< Revision in force at the sender.
    absl::Time clock;              ///< Sender's clock when it sent this.
    /// Newest reading of the receiver's clock that the sender has received, and the
    /// incarnation of the receiver that sent it.
    std::optional<absl::Time> echo;
    std::uint64_t echo_incarnation = 0;
    bool draining = false;

    std::uint64_t evidence_stream = 0;   ///< 0: no evidence for this receiver.
    std::uint64_t evidence_sequence = 0; ///< Within the stream.
    std::vector<evidence_cell> evidence; ///< Totals since the stream began.
    std::uint64_t evidence_ack_stream = 0;
    /// Newest sequence number received on the receiver's stream.
    std::uint64_t evidence_ack = 0;

    std::vector<upstream::relayed_announcement> announcements;
    std::vector<capacity_sample> capacity;
    std::optional<health::lease_request> lease_request;
    std::optional<health::lease_grant> lease_grant;
    std::optional<ejection_set> ejections;
};

} // namespace cuminpitch::health
