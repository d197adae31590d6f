#pragma once

#include "cuminpitch/request/events.hpp"
#include "cuminpitch/request/route_table.hpp"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <vector>

namespace cuminpitch::request {

/// A request between its arrival and its response.
struct live_request
{
    enum class phase
    {
        arriving,
        queued,
        sent,      ///< To a backend server.
        forwarded, ///< To another entry.
    };

    request_id id;
    std::shared_ptr<const http::request> message;
    core::caller_id caller;
    std::string correlation; ///< Id that the caller gave the request, may be empty.
    /// Keeps the settings below alive while the configuration changes.
    std::shared_ptr<const route_table> routes;
    const config::route_settings* route = nullptr;
    const config::pool_settings* pool = nullptr;
    absl::Time received;
    absl::Time deadline;
    bool has_hopped = false;
    bool goes_to_other_entry = false;
    phase at = phase::arriving;

    /// When it is looked at again without an event.
    absl::Time due;
    absl::Time queued_at;

    attempt_id attempt;
    core::server_id server;
    absl::Time attempt_begin;
    absl::Duration attempt_limit;
    /// When another server is tried if this one hasn't answered and one may be.
    absl::Time switch_at = absl::InfiniteFuture();
    /// When its server counts as one that doesn't answer.
    absl::Time overdue_at = absl::InfiniteFuture();
    bool is_overdue = false;

    std::vector<core::server_id> tried;
    /// Servers among them that may have received it.
    std::uint32_t sends = 0;
    std::vector<core::instance_id> tried_entries;
    /// Some earlier attempt may have been executed. Never becomes false again.
    bool may_have_run = false;
    std::optional<refusal_reason> last_failure;
    /// A complete response with a failure status that is passed on if no retry succeeds.
    std::optional<http::response> fallback;

    bool is_retry() const { return !tried.empty() || !tried_entries.empty(); }
};

} // namespace cuminpitch::request
