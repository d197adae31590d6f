#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/verdict.hpp"
#include "cuminpitch/http/message.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cuminpitch::http {

/// Why an attempt has no complete response.
enum class failure
{
    none,
    connect, ///< No connection was made.
    timeout, ///< The time limit passed.
    reset,   ///< The connection broke before the response began or ended.
    /// Fewer body bytes than announced, a cut chunk, or a body whose end is only marked
    /// by the end of the connection, which a crash of the server would also cause.
    short_response,
    response_too_large, ///< Announced to be longer than max_response_bytes.
    /// Bytes went on beyond a bound without an announced length, or were the most where
    /// all responses together became too large.
    endless_response,
    malformed_response, ///< Not HTTP/1.x, or not the response that was expected.
    cancelled,          ///< cancel() was called.
};

/// What shows that a response belongs to its request. Nothing is checked if empty.
struct expected_response
{
    std::string header; ///< Repeated by the server with `value`.
    std::string value;
    std::string success_header; ///< Header of each response with a status of 2xx.

    /// Whether a response with that status and these headers can't be the one. One that
    /// lacks the header may be a refusal of a server that read only a part of the
    /// request, unless it says success.
    bool is_contradicted(int status, const headers& fields) const;
};

struct client_request
{
    core::endpoint to;
    std::string method;
    std::string target;
    http::headers headers;
    std::string body;
    absl::Duration timeout = absl::Seconds(10);
    absl::Duration connect_timeout = absl::Seconds(1);
    /// Uses a new connection, so that a connection that the server is just closing can't
    /// leave the outcome in doubt.
    bool fresh_connection = false;
    /// A response without length is complete where the server closes its connection. If
    /// not set, it counts as short, since a crash may look the same.
    bool accepts_close_delimited = false;
    std::uint64_t max_response_bytes = 8U << 20U;
    /// A response that can't be this one is given up at the end of its headers.
    expected_response expected;
};

struct client_result
{
    /// not_run if nothing was sent (the pre-request callback of libcurl never ran), ran
    /// if the response is complete, else may_have_run.
    core::verdict verdict = core::verdict::not_run;
    http::failure failure = http::failure::none;
    http::response response; ///< Valid if failure is none.
    absl::Duration elapsed;
    bool reused_connection = false;
    /// No connection was made in time, and nobody refused one.
    bool connect_timed_out = false;
};

struct client_options
{
    /// Lets libcurl send a request again on another connection. Only for the test that
    /// shows what the guard prevents.
    bool allow_resend = false;
    /// An idle connection that is older is not used again.
    absl::Duration idle_connection_age = absl::Seconds(15);
    unsigned idle_connection_limit = 512;
    /// All response bodies that are being received. Above it the largest is given up.
    std::uint64_t max_held_response_bytes = 64U << 20U;
};

/// Asynchronous HTTP/1.1 client on libcurl multi, run by one thread. Sends each request
/// at most once. Thread-safe.
class client
{
public:
    using callback = std::function<void(client_result)>;
    using handle = std::uint64_t;

    static std::unique_ptr<client> create(client_options options = {});

    /// Cancels everything in flight.
    virtual ~client() = default;

    /// The callback runs once on the client's thread and must not block.
    virtual handle start(client_request request, callback done) = 0;

    /// Closes the connection of the attempt; its callback gets failure::cancelled unless
    /// it is already done.
    virtual void cancel(handle it) = 0;
};

} // namespace cuminpitch::http
