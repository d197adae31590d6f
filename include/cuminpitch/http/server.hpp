#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/error.hpp"
#include "cuminpitch/http/message.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cuminpitch::http {

/// A request whose response is pending. Thread-safe.
class exchange
{
public:
    virtual ~exchange() = default;

    /// Sends the response. Later calls have no effect.
    virtual void respond(response it) = 0;

    /// Calls `callback` once, on a server thread, if the caller disconnects before the
    /// response is sent. Calls it immediately if the caller has already disconnected.
    virtual void on_caller_gone(std::function<void()> callback) = 0;

    /// Sends `it` and closes the connection after the first `body_bytes` of its body, or
    /// closes it without a response if `it` is empty. Later responses have no effect. For
    /// simulated servers in tests.
    virtual void break_off(std::optional<response> it, std::size_t body_bytes) = 0;
};

struct server_options
{
    core::endpoint listen;
    unsigned threads = 2;
    /// Requests with a longer body get status 413 (verdict not-run) without a call of the
    /// handler.
    std::uint64_t max_body_bytes = 64U << 20U;
    /// Limit on the total size of request bodies in memory. A request whose body exceeds
    /// it gets status 503 (not-run).
    std::uint64_t max_held_bytes = 256U << 20U;
    /// Bodies up to this size are accepted even beyond `max_held_bytes`, so that large
    /// ones don't keep them out.
    std::uint64_t small_body_bytes = 16U << 10U;
    unsigned connection_limit = 2048;
    absl::Duration idle_timeout = absl::Seconds(60);
    /// Requests of a connection that may be open at the same time. With 1, the next
    /// request is read after the response to the one before it. Responses are sent in the
    /// order of the requests in any case.
    unsigned pipeline_depth = 1;
};

/// HTTP/1.1 server: on libmicrohttpd for a pipeline depth of 1, otherwise on an epoll
/// loop with the parser of Boost.Beast (docs/design/pipelining.md). Requests whose body
/// length is ambiguous (both Content-Length and Transfer-Encoding, several lengths, an
/// unknown coding) get status 400 (not-run).
class server
{
public:
    /// Runs on a server thread, must not block, and must keep the exchange until it has
    /// responded.
    using handler = std::function<void(request, std::shared_ptr<exchange>)>;

    /// Fails with address_in_use if the server can't listen at the address.
    static core::result<std::unique_ptr<server>>
    create(server_options options, handler it);

    /// Closes all connections. Responses to open exchanges have no effect afterwards.
    virtual ~server() = default;

    /// The listening address, with the port that was assigned if the options had port 0.
    virtual core::endpoint listening() const = 0;

    /// Stops accepting connections. Open connections are still served.
    virtual void stop_listening() = 0;

    /// Ends connections in order: the response to the last open request of a connection
    /// says that it closes it (RFC 9112, 9.6), and no request behind an open one is read
    /// any more. A connection without open requests stays open for one more request.
    /// Thread-safe.
    virtual void drain() = 0;

    /// Number of requests whose response has not been sent completely.
    virtual std::size_t in_flight() const = 0;
};

} // namespace cuminpitch::http
