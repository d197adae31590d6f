#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_set.h>

#include <vector>

namespace cuminpitch::entry {

/// The subset of `servers` that this entry prefers. `servers` and `entries` are those of
/// its failure domain. Each server is preferred by a few entries, and all entries prefer
/// about the same number of servers, so that an entry sends a large part of the load of a
/// preferred server itself and knows it. With few entries, all servers are preferred. All
/// entries must pass the same lists, in any order. Returns all servers if `entries` does
/// not contain `self`.
absl::btree_set<core::server_id> preferred_servers(
    const std::vector<core::server_id>& servers,
    std::vector<core::instance_id> entries,
    const core::instance_id& self);

} // namespace cuminpitch::entry
