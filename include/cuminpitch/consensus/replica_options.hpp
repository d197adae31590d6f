#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace cuminpitch::consensus {

/// For tests only: each protection can be left out to show the fault that it prevents.
struct protections
{
    bool pre_vote = true;
    bool check_quorum = true;
    bool sync_before_reply = true;
    bool commit_own_term_only = true;
};

struct replica_options
{
    absl::Duration heartbeat = absl::Milliseconds(100);
    /// A replica waits a random time between these two for its leader.
    absl::Duration election_timeout_min = absl::Milliseconds(500);
    absl::Duration election_timeout_max = absl::Milliseconds(1000);
    /// The same until it has heard of a leader for the first time since its start. After
    /// a stop of all members no leader is left to wait for, and where there is one the
    /// pre-vote keeps it.
    absl::Duration start_timeout_min = absl::Milliseconds(500);
    absl::Duration start_timeout_max = absl::Milliseconds(1000);
    /// Bounds of one append message. One entry is sent even if it is larger.
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    std::size_t max_append_entries = 256;
    /// Entries sent to one member beyond its last acknowledged one.
    std::uint64_t max_unacknowledged_entries = 1024;
    std::size_t snapshot_part_bytes = std::size_t{256} * 1024;
    /// Entries kept in the log before a snapshot, so that a member that is only a little
    /// late needs no snapshot.
    std::uint64_t kept_entries = 256;
    /// A learner with more entries missing than this isn't promoted.
    std::uint64_t max_promotion_lag = 64;
    consensus::protections protections;
};

} // namespace cuminpitch::consensus
