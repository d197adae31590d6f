#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/request/events.hpp"
#include "live_request_priv.hpp"

namespace cuminpitch::request {

/// Part of the remaining time kept back from the next entry, so that its refusal arrives
/// before this entry gives up.
inline constexpr absl::Duration hop_margin = absl::Milliseconds(20);

/// The request as sent to a backend server.
outgoing to_server(
    const live_request& it,
    const server_view& server,
    absl::Duration remaining,
    const dialect& names);

/// What shows that a response of a backend server belongs to the request whose id is
/// `correlation`, which may be empty.
http::expected_response
expected_from_server(const dialect& names, const std::string& correlation);

/// The request as sent to another entry.
outgoing to_entry(
    const live_request& it,
    const entry_view& entry,
    absl::Duration remaining,
    const dialect& names);

/// The response of a backend server as passed on to the caller.
http::response
from_server(const live_request& it, http::response response, const dialect& names);

/// The response or refusal of another entry as passed on to the caller.
http::response from_entry(const live_request& it, http::response response);

} // namespace cuminpitch::request
