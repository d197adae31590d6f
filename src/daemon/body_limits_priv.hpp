#pragma once

#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"

#include <cstdint>

namespace cuminpitch::daemon {

/// Maximum total sizes in bytes of the request and response bodies buffered by a process.
struct body_limits
{
    std::uint64_t requests = http::server_options().max_held_bytes;
    std::uint64_t responses = http::client_options().max_held_response_bytes;
};

/// Returns the limits for a process with `memory_mb` of memory; the defaults if it is 0.
/// A body takes up to twice its size while its buffer grows, and a request body is copied
/// once more to be sent.
body_limits body_limits_for(std::uint32_t memory_mb);

} // namespace cuminpitch::daemon
