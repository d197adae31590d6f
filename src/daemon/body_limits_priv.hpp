#pragma once

#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"

#include <cstdint>

namespace cuminpitch::daemon {

/// Bytes of bodies that a process holds at most.
struct body_limits
{
    std::uint64_t requests = http::server_options().max_held_bytes;
    std::uint64_t responses = http::client_options().max_held_response_bytes;
};

/// What a process with so much memory can hold; the defaults if that is 0. A body takes
/// up to twice its size while it grows, and that of a request is copied to be sent.
body_limits limits_for(std::uint32_t memory_mb);

} // namespace cuminpitch::daemon
