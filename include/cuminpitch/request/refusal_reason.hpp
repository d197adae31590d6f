#pragma once

#include <array>

namespace cuminpitch::request {

/// Why a request got no response from a backend server.
enum class refusal_reason
{
    no_route,
    malformed_request,
    request_too_large,
    no_revision,     ///< The entry has no configuration yet.
    isolated,        ///< The entry hears neither peers nor control.
    draining,        ///< The entry stops and takes no new work.
    not_assigned,    ///< Forwarded once already, to an entry that doesn't serve the pool.
    no_entry,        ///< No assigned entry can be reached.
    deadline_passed, ///< No time was left when the request arrived.
    entry_full,      ///< The entry holds as many requests as it may.
    team_share,      ///< The team holds its part of the entry.
    no_server,       ///< The pool has no server that takes work.
    queue_full,      ///< The pool's queue is full.
    caller_share,    ///< The caller holds its part of the queue.
    expected_wait,   ///< The deadline would pass in the queue.
    deadline_in_queue, ///< The deadline passed in the queue.
    connect_failed,    ///< No connection to a backend server was made.
    shed,              ///< Backend servers said that they didn't run it.
    timeout,           ///< No response within the deadline.
    reset,             ///< The connection to the backend server broke.
    short_response,    ///< The response was cut.
    response_too_large,
    malformed_response,
    misdirected,     ///< Another server answered at the server's address.
    server_failed,   ///< The server answered with a status that can't be passed on.
    attempts_spent,  ///< The route allows no further server.
    hop_unreachable, ///< No connection to another entry was made.
    hop_failed,      ///< Another entry failed after the request was sent.
};

inline constexpr std::array all_refusal_reasons = {
    refusal_reason::no_route,
    refusal_reason::malformed_request,
    refusal_reason::request_too_large,
    refusal_reason::no_revision,
    refusal_reason::isolated,
    refusal_reason::draining,
    refusal_reason::not_assigned,
    refusal_reason::no_entry,
    refusal_reason::deadline_passed,
    refusal_reason::entry_full,
    refusal_reason::team_share,
    refusal_reason::no_server,
    refusal_reason::queue_full,
    refusal_reason::caller_share,
    refusal_reason::expected_wait,
    refusal_reason::deadline_in_queue,
    refusal_reason::connect_failed,
    refusal_reason::shed,
    refusal_reason::timeout,
    refusal_reason::reset,
    refusal_reason::short_response,
    refusal_reason::response_too_large,
    refusal_reason::malformed_response,
    refusal_reason::misdirected,
    refusal_reason::server_failed,
    refusal_reason::attempts_spent,
    refusal_reason::hop_unreachable,
    refusal_reason::hop_failed};

/// What a caller can do about a refusal.
enum class retry_class
{
    never,           ///< The same request is refused again.
    other_entry,     ///< At once, at one of the entries named.
    later,           ///< After retry_after_ms.
    unknown_outcome, ///< Only if running it twice does no harm.
};

/// Lower case with hyphens, as in the header Cuminpitch-Reason and in counters.
const char* to_string(refusal_reason it);

retry_class retry_class_of(refusal_reason it);

/// HTTP status of the refusal.
int status_of(refusal_reason it);

} // namespace cuminpitch::request
