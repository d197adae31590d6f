#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/request/events.hpp"

#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Sets the suspicion for probing requests to 0, for the servers that failed longest ago
/// first, until servers with `part` of the declared minimum of healthy capacity have
/// none. The server that failed last keeps its suspicion. `last_failures` has the time of
/// the last failure of each server, in the same order.
void bound_suspicion(
    std::vector<request::server_view>& servers,
    const std::vector<absl::Time>& last_failures,
    const config::pool_settings& declared,
    double part);

} // namespace cuminpitch::entry
