#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/dialect.hpp"

#include <absl/time/time.h>

namespace cuminpitch::request {

/// What a response says about further requests to its server, besides its rate limit.
struct server_notice
{
    /// The server wants no further requests. Final for its incarnation.
    bool is_leaving = false;
    /// Time, from the response on, for which the server wants no requests from this
    /// entry.
    absl::Duration hold_off;
    /// A header was there and has no meaning; its value is ignored.
    bool is_leaving_malformed = false;
    bool is_hold_off_malformed = false;

    friend bool operator==(const server_notice&, const server_notice&) = default;
};

/// Reads a complete response of a server.
///
/// The header `names.leaving` has the value 1 in all responses of a server that leaves,
/// and may have the value 0 in others. If it occurs several times, one 1 is enough.
///
/// Retry-After counts in responses with status 503: seconds as a decimal number of at
/// most 32 characters, digits with at most one decimal point, up to one day. The longest
/// counts if there are several. A date is malformed, as the time of day is not used for
/// decisions.
server_notice read_server_notice(const http::response& it, const dialect& names);

} // namespace cuminpitch::request
