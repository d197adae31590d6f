#include "filters_priv.hpp"
#include "header_rules_priv.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace cuminpitch::request {

std::optional<refusal_reason>
admission_filter::apply(const filter_context& at, live_request& it) const
{
    if (at.entry.is_isolated) {
        return refusal_reason::isolated;
    }
    if (at.entry.is_refusing) {
        return refusal_reason::draining;
    }
    // A forwarded request must not be handled by older declarations than its sender's.
    std::uint64_t declared = 0;
    if (it.is_from_entry &&
        absl::SimpleAtoi(it.message->headers.get(revision_header), &declared) &&
        declared > at.entry.revision.value()) {
        return refusal_reason::no_revision;
    }
    if (it.message->body.size() > it.pool->max_request_bytes) {
        return refusal_reason::request_too_large;
    }
    const auto asked = read_deadline(it.message->headers, at.dialect.deadline);
    if (asked.kind == deadline_kind::malformed) {
        return refusal_reason::malformed_request;
    }
    absl::Duration limit = it.route->deadline.value_or(it.pool->deadline);
    if (asked.kind == deadline_kind::valid) {
        limit = std::min(limit, asked.remaining);
    }
    it.deadline = it.received + limit;
    if (it.deadline <= at.now) {
        return refusal_reason::deadline_passed;
    }
    if (it.deadline > at.entry.ends_at) {
        return refusal_reason::draining;
    }
    return std::nullopt;
}

} // namespace cuminpitch::request
