#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace cuminpitch::consensus {

/// Protections of the algorithm that a test can switch off to show the fault that each of
/// them prevents. All of them are on outside of tests.
struct protections
{
    /// A candidate asks whether it would be elected before it raises its term.
    bool pre_vote = true;
    /// A leader without recent contact with a majority steps down, and a member with
    /// recent contact with its leader grants no vote unless the leader requested the
    /// election.
    bool check_quorum = true;
    /// Messages are sent only after the writes that they depend on are durable.
    bool sync_before_reply = true;
    /// A leader commits by counting replicas only entries of its own term.
    bool commit_own_term_only = true;
};

struct replica_options
{
    absl::Duration heartbeat = absl::Milliseconds(100);
    /// Range of the random election timeout: how long a replica without contact with a
    /// leader waits before it starts an election.
    absl::Duration election_timeout_min = absl::Milliseconds(500);
    absl::Duration election_timeout_max = absl::Milliseconds(1000);
    /// Range of the election timeout from the start of the replica until its first
    /// contact with a leader. It can be shorter: after a stop of all members there is no
    /// leader to wait for, and if there is one, the pre-vote keeps the restarted member
    /// from deposing it.
    absl::Duration start_timeout_min = absl::Milliseconds(500);
    absl::Duration start_timeout_max = absl::Milliseconds(1000);
    /// Limits of one append_request. A single entry is sent even if it is larger.
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    std::size_t max_append_entries = 256;
    /// Limit of entries sent to one member beyond the last one that it acknowledged.
    std::uint64_t max_unacknowledged_entries = 1024;
    /// Limit of the size of these entries. A single entry is sent even if it is larger.
    std::size_t max_unacknowledged_bytes = std::size_t{1} << 20U;
    /// Proposals are refused while the entries that aren't committed have this size.
    std::size_t max_uncommitted_bytes = std::size_t{8} << 20U;
    /// Limit of the snapshot bytes in one snapshot_request.
    std::size_t snapshot_part_bytes = std::size_t{256} * 1024;
    /// Number of entries kept in the log that a new snapshot already covers, so that a
    /// member that lags by a few entries can catch up without a snapshot.
    std::uint64_t kept_entries = 256;
    /// Limit of the size of these entries.
    std::size_t kept_bytes = std::size_t{4} << 20U;
    /// A learner that lacks more entries than this isn't promoted.
    std::uint64_t max_promotion_lag = 64;
    consensus::protections protections;
};

} // namespace cuminpitch::consensus
