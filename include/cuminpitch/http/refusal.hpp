#pragma once

#include "cuminpitch/core/verdict.hpp"
#include "cuminpitch/http/message.hpp"

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::http {

inline constexpr std::string_view verdict_header = "Cuminpitch-Verdict";
inline constexpr std::string_view reason_header = "Cuminpitch-Reason";

/// The response to a request that got no response from a backend server.
struct refusal
{
    int status = 503;
    core::verdict verdict = core::verdict::not_run;
    std::string reason; ///< In lower case, words joined by hyphens.
    absl::Duration retry_after = absl::Seconds(1);
    std::vector<std::string> entries; ///< "host:port" of entry instances of the pool.
    /// Sends only the reason, and Retry-After with decimal places, without a body.
    bool is_terse = false;
};

/// Builds a response with the headers Cuminpitch-Verdict, Cuminpitch-Reason and
/// Retry-After (whole seconds, rounded up) and the JSON body
/// {"verdict","reason","retry_after_ms","entries"}.
response refusal_response(const refusal& it);

} // namespace cuminpitch::http
