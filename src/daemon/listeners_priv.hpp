#pragma once

#include "cuminpitch/http/server.hpp"
#include "cuminpitch/net/tcp_transport.hpp"

#include <memory>
#include <optional>

namespace cuminpitch::daemon {

/// Listens for frames from other processes of the fleet, at `listen` if set and else at
/// the internal endpoint of `self`. Logs an error and returns null on failure.
std::unique_ptr<net::tcp_transport> open_transport(
    net::peer self,
    std::optional<core::endpoint> listen,
    net::transport::handler on_frame,
    std::size_t max_total_queued_bytes =
        net::tcp_transport_options().max_total_queued_bytes);

/// Listens for HTTP requests. Logs an error and returns null on failure.
std::unique_ptr<http::server>
open_server(http::server_options options, http::server::handler on_request);

} // namespace cuminpitch::daemon
