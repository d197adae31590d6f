#pragma once

#include "cuminpitch/consensus/entry.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::consensus {

struct vote_request
{
    core::term term; ///< Term of the election; the next term in a pre-vote.
    core::log_index last_index;
    core::term last_term;
    bool pre_vote = false;
    bool transfer = false; ///< The leader itself requested this election.

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_response
{
    core::term term; ///< Requested term if granted, else the responder's term.
    bool granted = false;
    bool pre_vote = false;

    friend bool operator==(const vote_response&, const vote_response&) = default;
};

/// Sends the entries that follow `previous_index`. It is also sent as the heartbeat.
struct append_request
{
    core::term term;
    core::log_index previous_index;
    core::term previous_term;
    core::log_index commit;
    std::vector<entry> entries;
    std::int64_t sent_us = 0; ///< Leader's clock; returned in `echo_us`.
    /// Time since a majority confirmed the leader, not negative. An hour if it has not
    /// committed an entry of its term.
    std::int64_t majority_age_us = 0;

    friend bool operator==(const append_request&, const append_request&) = default;
};

struct append_response
{
    core::term term;
    bool accepted = false;
    /// If accepted, the last index up to which this log is known to equal the leader's.
    /// If refused, the highest index up to which it may equal the leader's.
    core::log_index match;
    core::log_index refused_previous; ///< `previous_index` of the refused request.
    std::int64_t echo_us = 0;         ///< `sent_us` of the request.

    friend bool operator==(const append_response&, const append_response&) = default;
};

/// One part of a snapshot. A receiver that has everything up to the snapshot's end
/// answers with an append_response, otherwise with a snapshot_response.
struct snapshot_request
{
    core::term term;
    snapshot_info info;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; ///< Size of the whole snapshot in bytes.
    std::string bytes;
    std::int64_t sent_us = 0;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

struct snapshot_response
{
    core::term term;
    core::log_index index;
    std::uint64_t received = 0; ///< Bytes received so far; offset of the next part.
    std::int64_t echo_us = 0;

    friend bool operator==(const snapshot_response&, const snapshot_response&) = default;
};

/// Sent in a leadership transfer. The receiver starts an election at once.
struct timeout_now
{
    core::term term;

    friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

using message = std::variant<
    vote_request,
    vote_response,
    append_request,
    append_response,
    snapshot_request,
    snapshot_response,
    timeout_now>;

/// A message with its group, sender and receiver. An instance with a new disk can listen
/// at the same endpoint as before, so a receiver drops messages for another identity.
struct envelope
{
    group_id group;
    member_id from;
    member_id to;
    consensus::message message;

    friend bool operator==(const envelope&, const envelope&) = default;
};

} // namespace cuminpitch::consensus
