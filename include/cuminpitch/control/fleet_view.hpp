#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/control/server_record.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>

#include <memory>
#include <vector>

namespace cuminpitch::control {

/// Addresses and failure domain of one entry of the fleet.
struct entry_record
{
    core::instance_id id;
    core::endpoint http;     ///< Endpoint for callers and backend servers.
    core::endpoint internal; ///< Endpoint for other processes of the fleet.
    core::failure_domain_id failure_domain;

    friend bool operator==(const entry_record&, const entry_record&) = default;
};

/// The committed list of entries that serve a pool, in order of preference.
struct pool_assignment
{
    core::revision list_revision; ///< The revision that set this list.
    std::vector<core::instance_id> entries;

    friend bool operator==(const pool_assignment&, const pool_assignment&) = default;
};

/// Records of the backend servers of each pool, ordered by server id.
using pool_servers = absl::btree_map<core::pool_id, std::vector<server_record>>;

/// The committed fleet state at one revision, in the form that entries use. Immutable and
/// shared.
struct fleet_view
{
    core::revision revision;
    std::shared_ptr<const config::declarations> declarations;
    absl::btree_map<core::instance_id, entry_record> entries;
    absl::btree_map<core::pool_id, pool_assignment> assignments;
    /// Backend servers that are not gone, of pools that every entry serves. The pointer
    /// stays the same until one of them changes.
    std::shared_ptr<const pool_servers> servers;
    /// Number of the newest document in force, 0 if there is none.
    std::uint64_t document_number = 0;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace cuminpitch::control
