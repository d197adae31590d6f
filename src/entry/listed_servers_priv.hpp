#pragma once

#include "cuminpitch/request/events.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// The servers that the updates of pools list, with their incarnations.
class listed_servers
{
public:
    /// Replaces the servers of the pool. Returns false if they are the same as before.
    bool update(const request::pool_update& it);
    /// Empty if the server isn't listed.
    std::optional<std::uint64_t>
    incarnation(const core::pool_id& pool, const core::server_id& server) const;

private:
    absl::btree_map<core::pool_id, std::vector<std::pair<core::server_id, std::uint64_t>>>
        pools_;
};

} // namespace cuminpitch::entry
