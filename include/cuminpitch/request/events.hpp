#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/verdict.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/rate_statement.hpp"
#include "cuminpitch/request/refusal_reason.hpp"
#include "cuminpitch/request/server_notice.hpp"
#include "cuminpitch/telemetry/log.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::request {

using core::request_id;
/// Identifies one attempt to send a request. Never reused within a process.
using attempt_id = core::integer_id<struct attempt_tag>;

/// The rate limit that a server has named, and what this entry may send within it.
struct server_limit
{
    core::request_rate rate; ///< Of all entries together.
    absl::Duration age;      ///< Time since the response that named it.
    /// Number of requests that this entry may send before `permits_expire`.
    std::uint32_t permits = 0;
    absl::Time permits_expire = absl::InfinitePast();
    core::request_rate share;                      ///< Expected rate of new permits.
    absl::Time next_permit = absl::InfinitePast(); ///< Expected time of the next one.
    std::string granted_by;                        ///< Entry that grants the permits.
};

/// A backend server and the limits within which this entry may use it now.
struct server_view
{
    core::server_id id;
    core::endpoint at;
    std::uint32_t slots = 0; ///< This entry's share, reduced during a cold start.
    bool suspected = false;  ///< Chosen only if no other server is free.
    /// Gets one request at a time, and only idempotent ones if the pool has an idempotent
    /// route.
    bool probation = false;
    /// Requests that other entries last reported to have in flight at this server.
    std::uint32_t remote_in_flight = 0;
    /// The server is in another failure domain. It is chosen only if the servers of this
    /// domain are much busier, and the larger the request body, the less often.
    bool in_other_domain = false;
    /// False if other entries of this failure domain are to prefer the server.
    bool is_preferred = true;
    /// Added to the server's load (fraction of slots in use) when servers are compared,
    /// during a cold start.
    double penalty = 0;
    /// Added, with a weight, to the server's load for recent failures. The weight is
    /// lower for an idempotent request, which may find out whether the server has
    /// recovered.
    double suspicion = 0;
    /// If set, replaces `suspicion` for requests that find out whether the server has
    /// recovered: idempotent ones, or all if the pool has no idempotent route.
    std::optional<double> probing_suspicion;
    /// Start time of the server. Another one at the same id is another server.
    std::uint64_t incarnation = 0;
    std::optional<server_limit> limit;
    /// The server wants no requests from this entry before this time; infinite future if
    /// it is leaving.
    absl::Time closed_until = absl::InfinitePast();
};

/// An assigned entry of a pool, other than this one.
struct entry_view
{
    core::instance_id id;
    core::endpoint http;
    bool usable = true; ///< Not draining and heard from recently.
    /// Requests that it holds, besides those forwarded by this entry. Entries with less
    /// load are preferred.
    double load = 0;
};

/// The current settings, servers and entries of a pool. Replaces the previous update.
struct pool_update
{
    core::pool_id pool;
    config::pool_settings settings;
    std::vector<server_view> servers;
    std::vector<entry_view> entries;
    bool is_assigned = false; ///< This entry is assigned to the pool.
    /// The network path from this entry to the servers is lost. If there are usable
    /// entries, requests are forwarded to them.
    bool is_path_lost = false;
    core::revision revision; ///< Revision of the fleet state that lists the servers.
    /// Weight, 0 to 1, of the requests in flight that other entries reported: the
    /// expected fraction of them that is still in flight.
    double remote_in_flight_weight = 1;
};

/// State of this entry.
struct entry_state
{
    bool is_isolated = false;
    /// The entry is draining, and the period in which callers may still use its address
    /// is over: all new requests are refused.
    bool is_refusing = false;
    /// A planned stop has begun: attempts are no longer cancelled in favour of another
    /// server.
    bool is_draining = false;
    /// When the process ends at the latest. A request that may last longer is refused: it
    /// would be cut without an answer.
    absl::Time ends_at = absl::InfiniteFuture();
    /// When control last confirmed that this entry has the newest fleet state.
    absl::Time confirmed = absl::InfinitePast();
    core::revision revision; ///< Of the fleet state.
    /// Revision that last changed the declarations, or a later one.
    core::revision declared;
    /// Known keys are valid while `confirmed` is not longer ago than this.
    absl::Duration max_key_age = absl::InfiniteDuration();
};

struct request_received
{
    request_id id; ///< Never reused within a process.
    std::shared_ptr<const http::request> message;
    absl::Duration waited; ///< Time since the request arrived.
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

/// Answers request_allowance.
struct allowance_decided
{
    enum class outcome
    {
        granted,
        over_allowance,
        unknown, ///< No entry that grants permits has responded.
    };

    request_id id;
    outcome what = outcome::granted;
    /// Expected time until there is a permit, unless granted.
    absl::Duration retry_after;
};

struct tick
{
};

using event = std::
    variant<request_received, attempt_finished, caller_gone, allowance_decided, tick>;

/// A request to a server or another entry, the input of make_client_request().
struct outgoing_request
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
    core::pool_id pool;
    core::server_id server;
    outgoing_request send;
};

struct forward
{
    core::instance_id entry;
    outgoing_request send;
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

/// Requests were not sent to the server because its rate limit allowed this entry none.
struct want_permits
{
    core::pool_id pool;
    core::server_id server;
    std::uint32_t count = 0;
};

/// The request waits for a permit of its customer's allowance. Answered by
/// allowance_decided.
struct request_allowance
{
    request_id request;
    core::customer_id customer;
};

/// What an attempt has shown about the network path to its server.
enum class path_result
{
    unknown,
    answered,      ///< The server responded.
    not_connected, ///< No connection was made.
    broken,        ///< The connection was reset, or there is no response yet.
};

/// Evidence about a backend server.
struct observation
{
    enum class kind
    {
        success,
        failure,
        /// No response yet after much longer than requests of the pool take. The result
        /// of the attempt is reported as well, but not if it is a timeout, which would
        /// report the same failure a second time, late.
        overdue,
        shed, ///< The server reported that it is overloaded.
        none, ///< Gives no evidence, for example a 4xx that the caller is to blame for.
    };

    core::pool_id pool;
    core::server_id server;
    std::uint64_t incarnation = 0; ///< Of the server, when the attempt began.
    core::route_id route;
    observation::kind what = kind::none;
    absl::Duration duration;
    /// The failure may be one of the network path: the connection attempt timed out and
    /// nothing came back from the server.
    bool may_be_path_failure = false;
    path_result path = path_result::unknown;
    bool is_new_connection = false; ///< A connection was made for this attempt.
    bool was_overdue = false;       ///< The attempt was reported as overdue before.
    /// Another server answered at this server's address.
    bool is_misdirected = false;
    /// What the response says about the server's rate limit.
    rate_statement max_rate;
    server_notice notice;
};

struct observe
{
    observation what;
};

/// A decision about a request and its inputs, for the log.
struct explain
{
    core::request_id request;
    std::string correlation; ///< Value of the correlation header; may be empty.
    std::string what;
    std::vector<telemetry::field> inputs;
};

using action = std::variant<
    start_attempt,
    forward,
    respond,
    refuse,
    cancel_attempt,
    want_permits,
    request_allowance,
    observe,
    explain>;

/// Makes the request for http::client. Copies the body.
http::client_request make_client_request(const outgoing_request& it);

} // namespace cuminpitch::request
