#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/request/events.hpp"
#include "live_request_priv.hpp"

#include <optional>
#include <string>

namespace cuminpitch::request {

/// What the result of an attempt at a backend server means.
struct attempt_outcome
{
    /// Empty if the response is good. Else why it isn't.
    std::optional<refusal_reason> failure;
    /// A complete response with a failure status: passed on unless a retry succeeds.
    bool is_failure_status = false;
    core::verdict verdict = core::verdict::ran;
    observation::kind evidence = observation::kind::none;
    absl::Duration retry_after = absl::ZeroDuration();
    bool is_about_path = false;  ///< See observation.
    bool is_misdirected = false; ///< See observation.
};

/// `usual` is the pool's usual service time: a time limit below twice that says nothing
/// about the server. `correlation` is the request's value of the header that the server
/// repeats.
attempt_outcome judge(
    const http::client_result& it,
    absl::Duration limit,
    absl::Duration usual,
    const dialect& names = {},
    const std::string& correlation = {});

/// Whether the rules of verdict and route allow to send the request again. Deadline,
/// budget and servers are up to the caller.
bool may_repeat(const live_request& it, const attempt_outcome& outcome);

/// Text of the retry reason for counters.
const char* retry_reason(const attempt_outcome& outcome);

} // namespace cuminpitch::request
