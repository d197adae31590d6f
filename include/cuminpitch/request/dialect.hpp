#pragma once

#include "cuminpitch/request/path_matching.hpp"

#include <string>

namespace cuminpitch::request {

/// The header names and status meanings that callers, entries and backend servers use for
/// a request. The defaults are those of cuminpitch; a platform may set others.
struct dialect
{
    /// Header that carries the remaining time of a request, in ms.
    std::string deadline = "Cuminpitch-Deadline-Ms";
    /// Response header by which a server states that it didn't run the request. The
    /// header must have `not_run_value`, unless that is empty: then its presence is
    /// enough.
    std::string not_run = "Cuminpitch-Run";
    std::string not_run_value = "not-run";
    /// Response header by which a server names the requests per second that it accepts
    /// from all entries together. It is in force for as long as responses carry it.
    std::string max_rate = "Cuminpitch-Max-Rate";
    /// Response header with the value 1 by which a server states that it is leaving.
    std::string leaving = "Cuminpitch-Leaving";
    /// Request header with the key of the customer, after `key_scheme` and a space. Never
    /// sent to servers where keys are required.
    std::string key_header = "Authorization";
    std::string key_scheme = "Bearer";
    /// Request header that tells servers the name of the customer, where keys are
    /// required. What a caller sends in it is dropped there.
    std::string customer_header = "Cuminpitch-Customer";
    /// Request header that names the intended server. Any other server answers with
    /// `misdirected_status` and doesn't run the request. Not sent if empty.
    std::string target_server;
    int misdirected_status = 421;
    /// Request header that the server must copy to the response. A response that doesn't
    /// repeat it is taken to belong to another request. Not checked if empty.
    std::string correlation;
    /// Header that every successful response of a server must carry. Not checked if
    /// empty.
    std::string success_header;
    /// Callers take the statuses 408, 421, 429 and 503 to mean that the request was not
    /// run. So a server's response with one of them that lacks `not_run` isn't forwarded
    /// to the caller, and a request that was not run and may be retried later is refused
    /// with 503.
    bool unavailable_means_not_run = false;
    /// A response without a length ends when the server closes the connection. If false,
    /// such a response counts as truncated.
    bool accepts_close_delimited = false;
    /// Callers are identified by a header or else their address, and share queue and
    /// slots fairly. If false, all requests count as those of one caller.
    bool identifies_callers = true;
    /// Refusals have no body and name no other entries, and their Retry-After has decimal
    /// places.
    bool terse_refusals = false;
    /// Entries answer requests to /.cuminpitch/ at the address for callers themselves. If
    /// false, these select a route like all others.
    bool has_api_paths = true;
    /// How the path of a request selects its route.
    path_matching paths = segment_matching();
};

} // namespace cuminpitch::request
