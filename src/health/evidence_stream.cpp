#include "cuminpitch/health/evidence_stream.hpp"

#include <algorithm>

namespace cuminpitch::health {

void evidence_sender::add(
    const core::server_id& server, const core::route_id& route, const evidence& it)
{
    auto& at = cells_[{server, route}];
    at.total += it;
    at.first_sequence = sequence_ + 1;
}

void evidence_sender::acknowledge(std::uint64_t stream, std::uint64_t sequence)
{
    if (stream == stream_) {
        acknowledged_ = std::max(acknowledged_, std::min(sequence, sequence_));
    }
}

void evidence_sender::fill(pool_heartbeat& it, std::size_t max_cells)
{
    ++sequence_;
    it.evidence_stream = stream_;
    it.evidence_sequence = sequence_;
    for (auto& [key, at] : cells_) {
        if (at.first_sequence <= acknowledged_) {
            continue;
        }
        if (it.evidence.size() < max_cells) {
            it.evidence.push_back({key.first, key.second, at.total});
        } else {
            at.first_sequence = sequence_ + 1;
        }
    }
}

std::vector<evidence_cell> evidence_receiver::receive_counts(const pool_heartbeat& it)
{
    if (it.evidence_stream < stream_ || it.evidence_stream == 0) {
        return {};
    }
    if (it.evidence_stream > stream_) {
        stream_ = it.evidence_stream;
        sequence_ = 0;
        totals_.clear();
    }
    if (it.evidence_sequence <= sequence_) {
        return {};
    }
    sequence_ = it.evidence_sequence;
    std::vector<evidence_cell> result;
    for (const auto& cell : it.evidence) {
        auto& known = totals_[{cell.server, cell.route}];
        const auto& total = cell.counts;
        if (total.requests > known.requests && total.failures >= known.failures &&
            total.slow >= known.slow) {
            result.push_back(
                {cell.server,
                 cell.route,
                 {total.requests - known.requests,
                  total.failures - known.failures,
                  total.slow - known.slow}});
            known = total;
        }
    }
    return result;
}

} // namespace cuminpitch::health
