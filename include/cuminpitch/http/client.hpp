#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/verdict.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/http/mismatch.hpp"

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
    timeout, ///< The request timeout expired.
    reset,   ///< The connection broke before the response began or ended.
    /// The body has fewer bytes than announced or ends inside a chunk, or only the end of
    /// the connection delimits it, which a server crash would also cause.
    short_response,
    response_too_large, ///< The headers announce more than max_response_bytes.
    /// A body without an announced length, or its chunk framing, exceeded its limit, or
    /// the body was the largest when all bodies exceeded max_held_response_bytes.
    endless_response,
    malformed_response, ///< Not HTTP/1.x, or not the response to this request.
    cancelled,          ///< cancel() was called.
};

/// How to check that a response belongs to its request. Empty names disable their check.
struct expected_response
{
    std::string header; ///< The server returns this header with `value`.
    std::string value;
    std::string success_header; ///< Header that each 2xx response carries.
    /// Header by which a server states that it didn't run the request. A copy of such a
    /// response can't be told from the response to the next request unless it repeats
    /// `header`, so a connection isn't reused after one that doesn't.
    std::string refusal_header;
    /// The peer may answer twice, so a response without `header` is only accepted on a
    /// new connection. Entries don't, and their refusals have no id.
    bool may_answer_twice = false;

    /// Why a response with this status and these headers can't belong to the request. A
    /// response without the header is accepted unless its status is 2xx or it may belong
    /// to an earlier request: a server that read only a part of the request may have
    /// refused it.
    mismatch
    check(int status, const headers& fields, bool is_first_response = true) const;
    /// True if a copy of this response could be taken for the response to another
    /// request.
    bool is_ambiguous_refusal(const headers& fields) const;
};

struct client_request
{
    core::endpoint to;
    std::string method;
    std::string target;
    http::headers headers;
    std::string body;
    /// Sent in place of `body` if it is set. Attempts share it with the request that they
    /// pass on, so that a large body exists once.
    std::shared_ptr<const std::string> shared_body;
    absl::Duration timeout = absl::Seconds(10);
    absl::Duration connect_timeout = absl::Seconds(1);
    /// Opens a new connection. If a reused one is closed by the server at that moment, it
    /// is unknown whether the request ran.
    bool fresh_connection = false;
    /// Accepts a response without a length as complete when the server closes the
    /// connection. Otherwise it is a short_response, since a crash would look the same.
    bool accepts_close_delimited = false;
    std::uint64_t max_response_bytes = 8U << 20U;
    /// A response that fails this check is aborted at the end of its headers.
    expected_response expected;

    const std::string& content() const { return shared_body ? *shared_body : body; }
};

/// The connection on which a request was sent.
struct connection_use
{
    std::uint32_t earlier_requests = 0; ///< Requests sent on it before this one.
    /// Time between the response before and this request, 0 on a new connection.
    absl::Duration rested;
    /// Bytes that had arrived on another kept connection before this request, which was
    /// closed and not used. Counted up to a limit of a few hundred.
    std::uint32_t waiting_bytes = 0;
    /// More bytes arrived together with the end of the response, or the response before
    /// the request was sent completely. Bytes behind a response without a body aren't
    /// noticed.
    bool has_surplus = false;
};

struct client_result
{
    /// not_run if nothing was sent (libcurl never called the pre-request callback), ran
    /// if the response is complete, otherwise may_have_run.
    core::verdict verdict = core::verdict::not_run;
    http::failure failure = http::failure::none;
    http::response response; ///< Valid if failure is none.
    absl::Duration elapsed;
    bool reused_connection = false;
    /// The connection attempt timed out, rather than being refused.
    bool connect_timed_out = false;
    /// Why the response was rejected if failure is malformed_response.
    http::mismatch mismatch = http::mismatch::none;
    std::string excerpt; ///< Begin of the line that didn't fit, escaped.
    connection_use connection;
};

struct client_options
{
    /// Lets libcurl resend a request on another connection. Only for the test that
    /// demonstrates the resend that the client normally prevents.
    bool allow_resend = false;
    /// Idle connections older than this are not reused.
    absl::Duration idle_connection_age = absl::Seconds(15);
    unsigned idle_connection_limit = 512;
    /// Limit on the total size of response bodies being received. Above it the attempt
    /// with the largest body is aborted.
    std::uint64_t max_held_response_bytes = 64U << 20U;
};

/// Asynchronous HTTP/1.1 client on a libcurl multi handle, driven by one thread. Sends
/// each request at most once. Thread-safe.
class client
{
public:
    using callback = std::function<void(client_result)>;
    using handle = std::uint64_t;

    static std::unique_ptr<client> create(client_options options = {});

    /// Cancels all attempts in flight.
    virtual ~client() = default;

    /// Calls `done` exactly once, on the client's thread. It must not block.
    virtual handle start(client_request request, callback done) = 0;

    /// Closes the connection of the attempt. Its callback gets failure::cancelled unless
    /// the attempt has already ended.
    virtual void cancel(handle it) = 0;
};

} // namespace cuminpitch::http
