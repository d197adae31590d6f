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
        awaiting_permit, ///< Waits for a permit of its customer's allowance.
        queued,
        sent,      ///< Sent to a backend server.
        forwarded, ///< Forwarded to another entry.
    };

    request_id id;
    std::shared_ptr<const http::request> message;
    core::caller_id caller;
    std::string correlation; ///< Value of the correlation header; may be empty.
    /// Keeps `route` and `pool` alive when the configuration changes.
    std::shared_ptr<const route_table> routes;
    const config::route_settings* route = nullptr;
    const config::pool_settings* pool = nullptr;
    /// Null if the request has no key. Kept alive by `routes`.
    const config::customer_settings* customer = nullptr;
    bool has_permit = false; ///< Of the customer's rate.
    /// Revision of the declarations by which the request was accepted.
    core::revision declared;
    /// The key is removed before the request is sent to a server, and the name of the
    /// customer is set.
    bool hides_key = false;
    absl::Time received;
    absl::Time deadline;
    bool is_from_entry = false;
    bool needs_forwarding = false;
    phase at = phase::arriving;

    /// When the timer of the request fires.
    absl::Time timer_at;
    absl::Time queued_at;

    attempt_id attempt;
    core::server_id server;
    std::uint64_t incarnation = 0; ///< Of the server, when the attempt began.
    absl::Time attempt_begin;
    absl::Duration attempt_timeout;
    /// When another server is tried, if one may be and this one hasn't answered.
    absl::Time switch_at = absl::InfiniteFuture();
    /// When the server is reported as not answering.
    absl::Time overdue_at = absl::InfiniteFuture();
    bool is_overdue = false;

    std::vector<core::server_id> tried;
    /// Number of attempts at servers that may have received the request.
    std::uint32_t sends = 0;
    /// Limit on `sends` by the entry that forwarded the request.
    std::optional<std::uint32_t> max_sends;
    std::vector<core::instance_id> tried_entries;
    /// A response on a kept connection was rejected.
    bool needs_new_connection = false;
    /// An earlier attempt may have been executed. Never reset.
    bool may_have_run = false;
    std::optional<refusal_reason> last_failure;
    /// A complete response with a failure status, returned to the caller if no retry
    /// succeeds.
    std::optional<http::response> fallback;

    /// Why the request was refused: the wait that was expected; zero if there was none.
    absl::Duration refused_wait;
    /// Expected time until the customer's rate allows a request.
    absl::Duration permit_wait;
    /// A server was left out because of its rate limit.
    bool is_withheld = false;
    /// A server that wants no requests was left out, which has been logged.
    bool is_closed_explained = false;

    /// 0 is the highest.
    std::uint32_t rank() const
    {
        return customer != nullptr && customer->priority ? *customer->priority
                                                         : route->priority;
    }
    bool is_retry() const { return !tried.empty() || !tried_entries.empty(); }
};

} // namespace cuminpitch::request
