#include "attempt_outcome_priv.hpp"

#include "header_rules_priv.hpp"
#include "messages_priv.hpp"

namespace cuminpitch::request {
namespace {

constexpr int too_many_requests = 429;
constexpr int request_timeout = 408;
constexpr int misdirected_request = 421;
constexpr int internal_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

bool says_not_run(const http::response& it, const dialect& names)
{
    return names.not_run_value.empty()
               ? it.headers.has(names.not_run)
               : it.headers.get(names.not_run) == names.not_run_value;
}

/// Whether the response belongs to the request. A server that refuses a request may not
/// have read the correlation header, so its refusal may lack it. It is accepted on a new
/// connection, where there is no other request that it could belong to.
bool is_for_request(
    const http::client_result& it, const dialect& names, const std::string& correlation)
{
    const auto expected = expected_from_server(names, correlation);
    if (expected.check(it.response.status, it.response.headers) != http::mismatch::none) {
        return false;
    }
    const bool has_correlation =
        expected.header.empty() || it.response.headers.has(expected.header);
    return has_correlation || (!it.reused_connection && says_not_run(it.response, names));
}

/// Returns why a complete response can't be forwarded to the caller, if it can't.
std::optional<refusal_reason>
unusable_reason(const http::response& it, const dialect& names)
{
    const bool implies_not_run =
        it.status == request_timeout || it.status == misdirected_request ||
        it.status == too_many_requests || it.status == unavailable;
    if (names.unavailable_means_not_run && implies_not_run) {
        return refusal_reason::server_failed;
    }
    return std::nullopt;
}

/// A refusal or a failure without the header may come from a part of the server that
/// doesn't know its limit, so it doesn't end the limit.
rate_statement stated_rate(const http::response& it, const dialect& names)
{
    const bool ends_limit = it.status < first_server_error && !says_not_run(it, names);
    return it.headers.has(names.max_rate) || ends_limit
               ? read_rate_statement(it.headers, names.max_rate)
               : rate_unstated{};
}

attempt_outcome classify_response(const http::response& it, const dialect& names)
{
    attempt_outcome out;
    if (!names.target_server.empty() && it.status == names.misdirected_status) {
        out.failure = refusal_reason::misdirected;
        out.verdict = core::verdict::not_run;
        out.evidence = observation::kind::failure;
        out.is_misdirected = true;
        return out;
    }
    out.max_rate = stated_rate(it, names);
    out.notice = read_server_notice(it, names);
    if (says_not_run(it, names)) {
        out.failure = refusal_reason::shed;
        out.verdict = core::verdict::not_run;
        // A server that asks to be left alone is not chosen meanwhile, and not sick.
        out.evidence = out.notice.hold_off > absl::ZeroDuration()
                           ? observation::kind::none
                           : observation::kind::shed;
        return out;
    }
    const bool sheds = (it.status == unavailable || it.status == too_many_requests) &&
                       it.headers.has("Retry-After");
    if (sheds) {
        out.evidence = observation::kind::shed;
    } else if (it.status >= first_server_error) {
        out.evidence = observation::kind::failure;
    } else if (it.status < first_client_error) {
        out.evidence = observation::kind::success;
    }
    if (const auto why = unusable_reason(it, names)) {
        out.failure = why;
        out.verdict = core::verdict::may_have_run;
        out.evidence = observation::kind::failure;
        return out;
    }
    out.is_failure_status = it.status == internal_error || it.status == bad_gateway ||
                            it.status == unavailable || it.status == gateway_timeout;
    return out;
}

refusal_reason reason_of(http::failure it)
{
    switch (it) {
    case http::failure::connect:
        return refusal_reason::connect_failed;
    case http::failure::timeout:
        return refusal_reason::timeout;
    case http::failure::short_response:
        return refusal_reason::short_response;
    case http::failure::response_too_large:
        return refusal_reason::response_too_large;
    case http::failure::endless_response:
    case http::failure::malformed_response:
        return refusal_reason::malformed_response;
    case http::failure::none:
    case http::failure::reset:
    case http::failure::cancelled:
        return refusal_reason::reset;
    }
    return refusal_reason::reset;
}

} // namespace

attempt_outcome classify(
    const http::client_result& it,
    absl::Duration limit,
    absl::Duration service_time,
    const dialect& names,
    const std::string& correlation)
{
    attempt_outcome out;
    if (it.failure == http::failure::none) {
        if (is_for_request(it, names, correlation)) {
            return classify_response(it.response, names);
        }
        out.failure = refusal_reason::malformed_response;
        out.verdict = core::verdict::may_have_run;
        out.evidence = observation::kind::failure;
        return out;
    }
    out.may_be_path_failure = it.connect_timed_out;
    // Without a complete response it isn't known that the request ran.
    out.verdict = it.verdict == core::verdict::not_run ? core::verdict::not_run
                                                       : core::verdict::may_have_run;
    out.failure = out.verdict == core::verdict::not_run ? refusal_reason::connect_failed
                                                        : reason_of(it.failure);
    const bool is_evidence =
        it.failure != http::failure::cancelled &&
        it.failure != http::failure::response_too_large &&
        (it.failure != http::failure::timeout || limit >= 2 * service_time);
    out.evidence = is_evidence ? observation::kind::failure : observation::kind::none;
    return out;
}

bool may_retry(const live_request& it, const attempt_outcome& outcome)
{
    if (outcome.failure == refusal_reason::response_too_large) {
        return false;
    }
    if (outcome.verdict == core::verdict::not_run && !it.may_have_run) {
        return true;
    }
    return it.route->idempotent;
}

const char* retry_reason(const attempt_outcome& outcome)
{
    return outcome.failure ? to_string(*outcome.failure) : "failure-status";
}

} // namespace cuminpitch::request
