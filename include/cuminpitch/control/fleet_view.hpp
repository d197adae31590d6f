#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/control/server_record.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>

#include <memory>
#include <vector>

namespace cuminpitch::control {

/// A committed member of the entry fleet.
struct entry_record
{
    core::instance_id id;
    core::endpoint http;     ///< Where callers and backend servers connect.
    core::endpoint internal; ///< Where other processes of the fleet connect.
    core::failure_domain_id failure_domain;

    friend bool operator==(const entry_record&, const entry_record&) = default;
};

/// The committed list of entries that serve a pool, in order of preference.
struct pool_assignment
{
    core::revision list_revision; ///< Revision that set this list.
    std::vector<core::instance_id> entries;

    friend bool operator==(const pool_assignment&, const pool_assignment&) = default;
};

/// Records of the servers of each pool, by id.
using pool_servers = absl::btree_map<core::pool_id, std::vector<server_record>>;

/// The committed fleet state of one revision as an entry uses it. Immutable and shared.
struct fleet_view
{
    core::revision revision;
    std::shared_ptr<const config::declarations> declarations;
    absl::btree_map<core::instance_id, entry_record> entries;
    absl::btree_map<core::pool_id, pool_assignment> assignments;
    /// Servers that are not gone, of pools that every entry serves. The same pointer
    /// until one of them changes.
    std::shared_ptr<const pool_servers> servers;
    /// Number of the newest document of declarations in force, 0 for none.
    std::uint64_t document_number = 0;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace cuminpitch::control
