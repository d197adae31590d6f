#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/request/events.hpp"
#include "live_request_priv.hpp"

namespace cuminpitch::request {

/// Subtracted from the deadline sent to the next entry, so that its refusal arrives
/// before this entry's own timeout.
inline constexpr absl::Duration hop_margin = absl::Milliseconds(20);

/// Makes the request to a backend server.
outgoing_request to_server(
    const live_request& it,
    const server_view& server,
    absl::Duration remaining,
    const dialect& names);

/// What a response of a backend server must contain to belong to the request whose
/// correlation header has the value `correlation`, which may be empty.
http::expected_response
expected_from_server(const dialect& names, const std::string& correlation);

/// Makes the request to another entry, which must have the declarations of `declared`.
outgoing_request to_entry(
    const live_request& it,
    const entry_view& entry,
    absl::Duration remaining,
    core::revision declared,
    const dialect& names);

/// Makes the response to the caller from that of a backend server.
http::response
from_server(const live_request& it, http::response response, const dialect& names);

/// Makes the response to the caller from the response or refusal of another entry.
http::response
from_entry(const live_request& it, http::response response, const dialect& names);

} // namespace cuminpitch::request
