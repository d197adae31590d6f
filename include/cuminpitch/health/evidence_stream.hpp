#pragma once

#include "cuminpitch/health/pool_heartbeat.hpp"

#include <absl/container/btree_map.h>

#include <utility>
#include <vector>

namespace cuminpitch::health {

using evidence_key = std::pair<core::server_id, core::route_id>;

/// Sends evidence counts to one peer. Each heartbeat carries the running totals of the
/// cells that changed since the newest sequence number that the peer acknowledged, so a
/// lost or duplicated heartbeat neither loses evidence nor counts it twice.
class evidence_sender
{
public:
    /// `stream`: number of the stream, higher than that of any earlier sender to this
    /// peer.
    explicit evidence_sender(std::uint64_t stream) : stream_(stream) {}

    void add(const core::server_id& server, const core::route_id& route, const evidence&);
    void acknowledge(std::uint64_t stream, std::uint64_t sequence);

    /// Fills the evidence fields with at most `max_cells` cells. Others are sent later.
    void fill(pool_heartbeat& it, std::size_t max_cells);

private:
    struct cell
    {
        evidence total;
        std::uint64_t first_sequence = 0; ///< First sequence number that carries `total`.
    };

    std::uint64_t stream_;
    std::uint64_t sequence_ = 0;
    std::uint64_t acknowledged_ = 0;
    absl::btree_map<evidence_key, cell> cells_;
};

/// Receives the evidence that one incarnation of a peer sends with evidence_sender.
class evidence_receiver
{
public:
    /// Returns what the heartbeat adds to the counts received before.
    std::vector<evidence_cell> receive_counts(const pool_heartbeat& it);

    std::uint64_t stream() const { return stream_; }
    std::uint64_t sequence() const { return sequence_; }

private:
    std::uint64_t stream_ = 0;
    std::uint64_t sequence_ = 0;
    absl::btree_map<evidence_key, evidence> totals_;
};

} // namespace cuminpitch::health
