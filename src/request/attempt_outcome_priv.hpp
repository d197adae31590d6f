#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "cuminpitch/request/events.hpp"
#include "live_request_priv.hpp"

#include <optional>
#include <string>

namespace cuminpitch::request {

/// The classified result of an attempt at a backend server.
struct attempt_outcome
{
    /// Why there is no response that can be forwarded. Empty if there is one.
    std::optional<refusal_reason> failure;
    /// A complete response with a failure status, which is forwarded unless a retry
    /// succeeds.
    bool is_failure_status = false;
    core::verdict verdict = core::verdict::ran;
    observation::kind evidence = observation::kind::none;
    bool may_be_path_failure = false; ///< As in `observation`.
    bool is_misdirected = false;      ///< As in `observation`.
    rate_statement max_rate;          ///< As in `observation`.
    server_notice notice;             ///< As in `observation`.
};

/// Classifies the result of an attempt. `service_time` is the pool's mean service time: a
/// timeout after a `limit` of less than twice that is no evidence against the server.
/// `correlation` is the value of the request's correlation header.
attempt_outcome classify(
    const http::client_result& it,
    absl::Duration limit,
    absl::Duration service_time,
    const dialect& names = {},
    const std::string& correlation = {});

/// Whether verdict and route allow sending the request again. The caller checks deadline,
/// retry budget and servers.
bool may_retry(const live_request& it, const attempt_outcome& outcome);

/// The value of the label `reason` in the retry metric.
const char* retry_reason(const attempt_outcome& outcome);

} // namespace cuminpitch::request
