#include "cuminpitch/request/refusal_reason.hpp"

namespace cuminpitch::request {
namespace {

struct properties
{
    const char* text;
    int status;
    retry_class retry;
};

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

constexpr properties properties_of(refusal_reason it)
{
    switch (it) {
    case refusal_reason::no_route:
        return {"no-route", not_found, retry_class::never};
    case refusal_reason::malformed_request:
        return {"malformed-request", bad_request, retry_class::never};
    case refusal_reason::unknown_key:
        return {"unknown-key", unauthorized, retry_class::never};
    case refusal_reason::key_unverified:
        return {"key-unverified", unavailable, retry_class::other_entry};
    case refusal_reason::over_allowance:
        return {"over-allowance", too_many_requests, retry_class::later};
    case refusal_reason::allowance_unknown:
        return {"allowance-unknown", unavailable, retry_class::other_entry};
    case refusal_reason::request_too_large:
        return {"request-too-large", content_too_large, retry_class::never};
    case refusal_reason::no_revision:
        return {"no-revision", unavailable, retry_class::other_entry};
    case refusal_reason::isolated:
        return {"isolated", unavailable, retry_class::other_entry};
    case refusal_reason::draining:
        return {"draining", unavailable, retry_class::other_entry};
    case refusal_reason::not_assigned:
        return {"not-assigned", unavailable, retry_class::other_entry};
    case refusal_reason::no_entry:
        return {"no-entry", unavailable, retry_class::later};
    case refusal_reason::path_lost:
        return {"path-lost", unavailable, retry_class::other_entry};
    case refusal_reason::deadline_passed:
        return {"deadline-passed", gateway_timeout, retry_class::later};
    case refusal_reason::entry_full:
        return {"entry-full", unavailable, retry_class::other_entry};
    case refusal_reason::team_share:
        return {"team-share", unavailable, retry_class::other_entry};
    case refusal_reason::no_server:
        return {"no-server", unavailable, retry_class::later};
    case refusal_reason::queue_full:
        return {"queue-full", unavailable, retry_class::later};
    case refusal_reason::caller_share:
        return {"caller-share", unavailable, retry_class::later};
    case refusal_reason::expected_wait:
        return {"expected-wait", unavailable, retry_class::later};
    case refusal_reason::rate_limited:
        return {"rate-limited", unavailable, retry_class::later};
    case refusal_reason::servers_closed:
        return {"servers-closed", unavailable, retry_class::later};
    case refusal_reason::deadline_in_queue:
        return {"deadline-in-queue", gateway_timeout, retry_class::later};
    case refusal_reason::connect_failed:
        return {"connect-failed", unavailable, retry_class::later};
    case refusal_reason::shed:
        return {"shed", unavailable, retry_class::later};
    case refusal_reason::shed_by_priority:
        return {"shed-by-priority", unavailable, retry_class::later};
    case refusal_reason::timeout:
        return {"timeout", gateway_timeout, retry_class::unknown_outcome};
    case refusal_reason::reset:
        return {"reset", bad_gateway, retry_class::unknown_outcome};
    case refusal_reason::short_response:
        return {"short-response", bad_gateway, retry_class::unknown_outcome};
    case refusal_reason::response_too_large:
        return {"response-too-large", bad_gateway, retry_class::unknown_outcome};
    case refusal_reason::malformed_response:
        return {"malformed-response", bad_gateway, retry_class::unknown_outcome};
    case refusal_reason::misdirected:
        return {"misdirected", unavailable, retry_class::later};
    case refusal_reason::server_failed:
        return {"server-failed", bad_gateway, retry_class::unknown_outcome};
    case refusal_reason::attempts_spent:
        return {"attempts-spent", unavailable, retry_class::later};
    case refusal_reason::hop_unreachable:
        return {"hop-unreachable", unavailable, retry_class::other_entry};
    case refusal_reason::hop_failed:
        return {"hop-failed", bad_gateway, retry_class::unknown_outcome};
    }
    return {"unknown", bad_gateway, retry_class::unknown_outcome};
}

} // namespace

const char* to_string(refusal_reason it)
{
    return properties_of(it).text;
}

retry_class retry_class_of(refusal_reason it)
{
    return properties_of(it).retry;
}

int status_of(refusal_reason it)
{
    return properties_of(it).status;
}

} // namespace cuminpitch::request
