#pragma once

#include "cuminpitch/core/error.hpp"
#include "cuminpitch/health/pool_heartbeat.hpp"

#include <string>
#include <string_view>

namespace cuminpitch::wire {

/// Encodes the heartbeat as a FlatBuffer of schemas/pool.fbs.
std::string encode(const health::pool_heartbeat& heartbeat);

/// Returns errc::malformed_message if verification fails or a field is out of range.
core::result<health::pool_heartbeat> decode_pool_heartbeat(std::string_view payload);

} // namespace cuminpitch::wire
