#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/random.hpp"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::cli {

struct response
{
    int status = 0;
    nlohmann::json body; ///< A JSON object.
};

/// Calls the operator API of the control instances.
class control_client
{
public:
    control_client(std::vector<core::endpoint> instances, core::random_source random);

    /// Calls the instances in turn, with exponential backoff, until one responds with a
    /// status other than 421 or 503. A 421 redirects to the leader. Only for calls that
    /// may be repeated. Returns nothing if the deadline passes first; error() then
    /// describes the last failure.
    std::optional<response>
    call(const std::string& method, const std::string& target, const std::string& body);

    /// Like call(), but retries only if nothing was sent or the instance responded with
    /// 421. With `first_only`, makes a single attempt, at the first instance.
    std::optional<response>
    call_once(const std::string& target, const std::string& body, bool first_only);

    void set_deadline(absl::Time deadline) { deadline_ = deadline; }
    absl::Time deadline() const { return deadline_; }

    /// True if the last call_once() may have been executed although no response arrived.
    bool outcome_unknown() const { return outcome_unknown_; }

    /// Instance and cause of the last failed attempt.
    const std::string& error() const { return error_; }

private:
    enum class attempt_result
    {
        answered,
        redirected, ///< Status 421: the instance is not the leader and did nothing.
        not_sent,
        unknown, ///< The call may have been executed.
    };

    attempt_result attempt(
        const std::string& method,
        const std::string& target,
        const std::string& body,
        response& to);
    attempt_result parse_response(long status, const std::string& text, response& to);
    void follow_redirect(const nlohmann::json& body);
    /// Chooses the next instance and sleeps for the backoff. Returns false if the
    /// deadline would pass first.
    bool prepare_retry();

    std::vector<core::endpoint> instances_;
    std::size_t next_ = 0;
    std::optional<core::endpoint> leader_;
    core::random_source random_;
    absl::Time deadline_ = absl::InfiniteFuture();
    absl::Duration backoff_;
    std::string error_;
    bool outcome_unknown_ = false;
};

/// Percent-encodes the value of a query parameter.
std::string escape(const std::string& value);

} // namespace cuminpitch::cli
