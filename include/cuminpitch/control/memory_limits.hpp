#pragma once

#include <cstddef>
#include <cstdint>

namespace cuminpitch::control {

/// Bounds, in bytes, of what a control instance keeps in memory besides the fleet state
/// itself. Together they take less than half of the memory of the process; the other half
/// is for the state and its encoded snapshot.
///
/// What gives way when a bound is reached: old history is dropped first, then an entry
/// that lags gets the complete state instead of the changes that it lacks, then the log
/// is compacted. Only after that are proposals and documents refused.
struct memory_limits
{
    /// Applied changes kept for operators.
    std::size_t history;
    /// Commands kept to send entries only what they lack.
    std::size_t recent_commands;
    /// Log entries after the last snapshot. A snapshot is taken when they exceed it.
    std::size_t log;
    /// Log entries that a snapshot covers, kept for members that lag a little.
    std::size_t kept_log;
    /// Log entries that no majority has stored yet; proposals beyond it are refused.
    std::size_t uncommitted_log;
    /// Log entries sent to one member and not acknowledged by it.
    std::size_t unacknowledged_log;
    /// Documents that wait for their turn to be proposed; others are refused.
    std::size_t waiting_documents;
    /// Frames received and not handled yet; others are dropped.
    std::size_t received_frames;
    /// Frames that wait to be sent, over all peers; longer ones beyond it are dropped.
    std::size_t queued_frames;
};

/// Returns the bounds for a process that may use `memory_mb` MB. With 0 the memory is
/// unknown and taken to be 256 MB.
memory_limits memory_limits_for(std::uint32_t memory_mb);

/// Returns the sum of all bounds, with `members` members that may each have
/// unacknowledged log entries.
std::size_t total_of(const memory_limits& it, std::size_t members);

} // namespace cuminpitch::control
