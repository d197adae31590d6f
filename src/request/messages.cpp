#include "messages_priv.hpp"

#include "cuminpitch/http/refusal.hpp"
#include "header_rules_priv.hpp"

#include <algorithm>
#include <string>

namespace cuminpitch::request {
namespace {

/// A reachable server accepts a connection within a few ms, while a lost packet is only
/// retransmitted after a second. Trying another server sooner is safe, as nothing was
/// sent.
constexpr absl::Duration shared_pool_connect_timeout = absl::Milliseconds(300);

outgoing_request base_request(const live_request& it, absl::Duration remaining)
{
    outgoing_request out;
    out.request = it.id;
    out.attempt = it.attempt;
    out.timeout = remaining;
    out.fresh_connection = !it.route->idempotent || it.needs_new_connection;
    out.max_response_bytes = it.pool->max_response_bytes;
    out.headers = end_to_end_headers(it.message->headers);
    out.headers.remove(hop_header);
    out.headers.remove(attempts_header);
    out.headers.remove(revision_header);
    out.message = it.message;
    return out;
}

void set_deadline(http::headers& it, absl::Duration remaining, const dialect& names)
{
    const auto ms = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining));
    it.set(names.deadline, std::to_string(ms));
}

http::headers forwarded_headers(const live_request& it, const http::response& response)
{
    http::headers out = end_to_end_headers(response.headers);
    if (it.message->method == "HEAD" && response.headers.has("Content-Length")) {
        out.set("Content-Length", response.headers.get("Content-Length"));
    }
    return out;
}

} // namespace

outgoing_request to_server(
    const live_request& it,
    const server_view& server,
    absl::Duration remaining,
    const dialect& names)
{
    outgoing_request out = base_request(it, remaining);
    out.to = server.at;
    out.accepts_close_delimited = names.accepts_close_delimited;
    // Without its id, the response can't be told from one to an earlier request.
    const bool lacks_id = !names.correlation.empty() && it.correlation.empty();
    out.fresh_connection = out.fresh_connection || lacks_id;
    set_deadline(out.headers, remaining, names);
    if (it.hides_key) {
        out.headers.remove(names.key_header);
        out.headers.remove(names.customer_header);
        if (it.customer != nullptr) {
            out.headers.set(names.customer_header, it.customer->name);
        }
    }
    if (!names.target_server.empty()) {
        out.headers.set(names.target_server, server.id.str());
    }
    out.expected = expected_from_server(names, it.correlation);
    out.expected.may_answer_twice = true;
    if (it.pool->every_entry) {
        out.connect_timeout = shared_pool_connect_timeout;
    }
    return out;
}

http::expected_response
expected_from_server(const dialect& names, const std::string& correlation)
{
    http::expected_response out;
    if (!correlation.empty()) {
        out.header = names.correlation;
        out.value = correlation;
    }
    out.success_header = names.success_header;
    out.refusal_header = names.not_run;
    return out;
}

outgoing_request to_entry(
    const live_request& it,
    const entry_view& entry,
    absl::Duration remaining,
    core::revision declared,
    const dialect& names)
{
    outgoing_request out = base_request(it, remaining);
    out.to = entry.http;
    set_deadline(out.headers, remaining - std::min(hop_margin, remaining / 10), names);
    out.headers.set(std::string(hop_header), "1");
    out.headers.set(std::string(revision_header), std::to_string(declared.value()));
    if (it.route->max_attempts) {
        const auto left = std::max(*it.route->max_attempts, it.sends + 1) - it.sends;
        out.headers.set(std::string(attempts_header), std::to_string(left));
    }
    out.expected = expected_from_server(names, it.correlation);
    if (it.pool->every_entry) {
        out.connect_timeout = shared_pool_connect_timeout;
    }
    out.headers.set(std::string(caller_header), it.caller.str());
    return out;
}

http::response
from_server(const live_request& it, http::response response, const dialect& names)
{
    response.headers = forwarded_headers(it, response);
    strip_fleet_headers(response.headers, names);
    response.headers.set(
        std::string(http::verdict_header), core::to_string(core::verdict::ran));
    return response;
}

http::response
from_entry(const live_request& it, http::response response, const dialect& names)
{
    response.headers = forwarded_headers(it, response);
    if (names.terse_refusals && response.headers.has(http::reason_header)) {
        response.headers.remove(http::verdict_header);
    }
    return response;
}

http::client_request make_client_request(const outgoing_request& it)
{
    http::client_request out;
    out.to = it.to;
    out.method = it.message->method;
    out.target = it.message->target;
    out.headers = it.headers;
    out.shared_body = std::shared_ptr<const std::string>(it.message, &it.message->body);
    out.timeout = it.timeout;
    // Connecting takes about 1 ms. The limit leaves time for another server if it fails.
    out.connect_timeout = std::min(it.connect_timeout, it.timeout / 4);
    out.accepts_close_delimited = it.accepts_close_delimited;
    out.fresh_connection = it.fresh_connection;
    out.max_response_bytes = it.max_response_bytes;
    out.expected = it.expected;
    return out;
}

} // namespace cuminpitch::request
