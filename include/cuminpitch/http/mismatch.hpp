#pragma once

namespace cuminpitch::http {

/// The check that a response failed if it was rejected as failure::malformed_response.
enum class mismatch
{
    none,
    not_http, ///< The bytes aren't an HTTP/1.x response.
    head_too_long,
    status_line,     ///< The head doesn't begin with the status line of HTTP/1.x.
    field_line,      ///< A line of the head isn't a field.
    joined_messages, ///< A status line could begin inside a line of the head.
    repeated_field,  ///< The id or the proof of success occurs more than once.
    framing,         ///< The length of the body is ambiguous, or the protocol changed.
    other_request,   ///< The response carries the id of another request, or none.
    no_success_proof ///< A 2xx response without the header that servers add to each.
};

/// The name in log lines and metrics, in lower case, words joined by hyphens.
const char* to_string(mismatch it);

} // namespace cuminpitch::http
