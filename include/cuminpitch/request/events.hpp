#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/verdict.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/refusal_reason.hpp"
#include "cuminpitch/telemetry/log.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::request {

using core::request_id;
/// One send of a request. Never used twice in the life of a process.
using attempt_id = core::integer_id<struct attempt_tag>;

/// A backend server as this entry may use it now.
struct server_view
{
    core::server_id id;
    core::endpoint at;
    std::uint32_t slots = 0; ///< This entry's share, after the cold-start ramp.
    bool suspected = false;  ///< Chosen last.
    bool probation = false;  ///< One request at a time, idempotent if the pool has such.
    /// Requests that other entries have there, as far as known.
    std::uint32_t elsewhere = 0;
    /// In another failure domain: chosen if near ones have more to do, the less the
    /// larger the request is.
    bool is_far = false;
    /// False if others of this failure domain use it first.
    bool is_preferred = true;
    /// Added to the used part of its slots where servers are compared, during a cold
    /// start.
    double penalty = 0;
    /// Added for recent failures; less for an idempotent request, which may find out
    /// whether the server is well again.
    double suspicion = 0;
};

/// An assigned entry of a pool, other than this one.
struct entry_view
{
    core::instance_id id;
    core::endpoint http;
    bool usable = true; ///< Not draining and heard from recently.
};

/// What is known of a pool now. Replaces what was known before.
struct pool_update
{
    core::pool_id pool;
    config::pool_settings settings;
    std::vector<server_view> servers;
    std::vector<entry_view> entries;
    bool is_mine = false;    ///< This entry is assigned to the pool.
    core::revision revision; ///< Of the fleet state that the servers are from.
    /// Part, 0 to 1, of what other entries said to have at servers that still holds.
    double told_weight = 1;
};

/// What this entry knows of itself.
struct entry_state
{
    bool is_isolated = false;
    bool is_refusing = false; ///< Draining, and the time of its old addresses is over.
    /// A planned stop has begun: attempts are no longer given up for another server.
    bool is_draining = false;
    /// When control last confirmed that the fleet state here is the newest.
    absl::Time confirmed = absl::InfinitePast();
};

// Events.

struct request_received
{
    request_id id; ///< Never used twice in the life of a process.
    std::shared_ptr<const http::request> message;
    absl::Duration waited; ///< Since the request arrived.
};

struct attempt_finished
{
    attempt_id attempt;
    http::client_result result;
};

struct caller_gone
{
    request_id id;
};

struct tick
{
};

using event = std::variant<request_received, attempt_finished, caller_gone, tick>;

// Actions.

/// What to send, for make_client_request().
struct outgoing
{
    request_id request;
    attempt_id attempt;
    core::endpoint to;
    absl::Duration timeout;
    absl::Duration connect_timeout = absl::Seconds(1);
    bool fresh_connection = false;
    bool accepts_close_delimited = false;
    std::uint64_t max_response_bytes = 0;
    http::expected_response expected;
    http::headers headers;
    std::shared_ptr<const http::request> message;
};

struct start_attempt
{
    core::server_id server;
    outgoing send;
};

struct forward
{
    core::instance_id entry;
    outgoing send;
};

struct respond
{
    request_id request;
    core::verdict verdict = core::verdict::ran;
    http::response response;
};

struct refuse
{
    request_id request;
    refusal_reason reason = refusal_reason::no_route;
    core::verdict verdict = core::verdict::not_run;
    http::response response;
};

struct cancel_attempt
{
    attempt_id attempt;
};

/// Evidence about a backend server.
struct observation
{
    enum class kind
    {
        success,
        failure,
        /// No answer yet, for longer than requests take. What the attempt ends with is
        /// observed too, but not a timeout: it would tell the same again, late.
        overdue,
        shed, ///< The server said that it has too much work.
        none, ///< Says nothing about the server, for example a caller's own 4xx.
    };

    core::pool_id pool;
    core::server_id server;
    core::route_id route;
    observation::kind what = kind::none;
    absl::Duration duration;
    /// The failure may be one of the way to the server: nothing came back from it.
    bool is_about_path = false;
    /// Another server answered at its address.
    bool is_misdirected = false;
};

struct observe
{
    observation what;
};

/// Says what was decided about a request and why, for the log.
struct explain
{
    core::request_id request;
    std::string correlation; ///< Id that the caller gave the request, may be empty.
    std::string what;
    std::vector<telemetry::field> inputs;
};

using action = std::
    variant<start_attempt, forward, respond, refuse, cancel_attempt, observe, explain>;

/// The request for http::client. Copies the body.
http::client_request make_client_request(const outgoing& it);

} // namespace cuminpitch::request
