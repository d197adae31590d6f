#pragma once

#include <array>

namespace cuminpitch::request {

/// Why a request got no response from a backend server.
enum class refusal_reason
{
    no_route,
    malformed_request,
    unknown_key,    ///< The request has no key, or one that no customer has.
    key_unverified, ///< The key may be newer or older than what the entry knows.
    over_allowance, ///< The customer has used its rate and burst.
    /// No entry that grants permits of the customer's allowance has responded.
    allowance_unknown,
    request_too_large,
    no_revision,     ///< The entry has no configuration yet.
    isolated,        ///< The entry has no contact with its peers or control.
    draining,        ///< The entry is stopping and accepts no new requests.
    not_assigned,    ///< Forwarded once already, to an entry that doesn't serve the pool.
    no_entry,        ///< No assigned entry can be reached.
    path_lost,       ///< Forwarded once already, to an entry that reaches no server.
    deadline_passed, ///< No time was left when the request arrived.
    entry_full,      ///< The entry has reached its limit of requests in flight.
    team_share,      ///< The team has reached its share of the entry's limit.
    no_server,       ///< The pool has no server that accepts requests.
    queue_full,      ///< The pool's queue is full.
    caller_share,    ///< The caller has reached its share of the queue.
    expected_wait,   ///< The deadline would pass before the request could finish.
    rate_limited,   ///< The same, because of the rate limits that the servers have named.
    servers_closed, ///< All servers are leaving or want no requests from this entry now.
    deadline_in_queue, ///< The deadline passed in the queue, or too little time was left.
    connect_failed,    ///< No connection to a backend server was made.
    shed,              ///< Backend servers reported that they didn't run the request.
    /// The servers reject requests because they are full, and this one has a low
    /// priority.
    shed_by_priority,
    timeout,        ///< No response arrived within the deadline.
    reset,          ///< The connection to the backend server broke.
    short_response, ///< The response was truncated.
    response_too_large,
    malformed_response,
    misdirected,     ///< Another server answered at the server's address.
    server_failed,   ///< The server answered with a status that can't be forwarded.
    attempts_spent,  ///< The route allows no further attempt.
    hop_unreachable, ///< No connection to another entry was made.
    hop_failed,      ///< Another entry failed after the request was sent.
};

inline constexpr std::array all_refusal_reasons = {
    refusal_reason::no_route,
    refusal_reason::malformed_request,
    refusal_reason::unknown_key,
    refusal_reason::key_unverified,
    refusal_reason::over_allowance,
    refusal_reason::allowance_unknown,
    refusal_reason::request_too_large,
    refusal_reason::no_revision,
    refusal_reason::isolated,
    refusal_reason::draining,
    refusal_reason::not_assigned,
    refusal_reason::no_entry,
    refusal_reason::path_lost,
    refusal_reason::deadline_passed,
    refusal_reason::entry_full,
    refusal_reason::team_share,
    refusal_reason::no_server,
    refusal_reason::queue_full,
    refusal_reason::caller_share,
    refusal_reason::expected_wait,
    refusal_reason::rate_limited,
    refusal_reason::servers_closed,
    refusal_reason::deadline_in_queue,
    refusal_reason::connect_failed,
    refusal_reason::shed,
    refusal_reason::shed_by_priority,
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
    never,           ///< Don't retry: the same request would be refused again.
    other_entry,     ///< Retry at once, at one of the entries named in the refusal.
    later,           ///< Retry after retry_after_ms.
    unknown_outcome, ///< Retry only if it is safe to run the request twice.
};

/// The name in lower case with hyphens, as in the header Cuminpitch-Reason and in
/// metrics.
const char* to_string(refusal_reason it);

retry_class retry_class_of(refusal_reason it);

/// The HTTP status of the refusal.
int status_of(refusal_reason it);

} // namespace cuminpitch::request
