#pragma once

#include <string>

namespace cuminpitch::request {

/// How callers, entries and backend servers tell each other about a request: names of
/// headers and the meaning of statuses. The defaults are cuminpitch's own.
struct dialect
{
    /// Remaining time of a request in ms.
    std::string deadline = "Cuminpitch-Deadline-Ms";
    /// A response with this header, and with this value unless it is empty, says that
    /// the server didn't run the request.
    std::string not_run = "Cuminpitch-Run";
    std::string not_run_value = "not-run";
    /// Names the server that a request is meant for; another one answers with
    /// `misdirected_status` and doesn't run it. Not sent if empty.
    std::string target_server;
    int misdirected_status = 421;
    /// A header of the request that the server repeats in the response. A response that
    /// doesn't belongs to another request. Not checked if empty.
    std::string correlation;
    /// Each successful response of a server carries this header. Not checked if empty.
    std::string success_proof;
    /// Callers take the statuses 408, 421, 429 and 503 to say that the request was not
    /// run. A server's response with one of them that lacks `not_run` is then not passed
    /// on, and a request that was not run is refused with 503.
    bool unavailable_means_not_run = false;
    /// A response without length ends with its connection. Otherwise such a response
    /// counts as cut.
    bool accepts_close_delimited = false;
    /// Callers are told apart by a header or their address, and share the slots fairly.
    bool has_callers = true;
    /// Retry-After has decimal places, and refusals only name their reason.
    bool terse_refusals = false;
};

} // namespace cuminpitch::request
