#pragma once

#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/control/fleet_view.hpp"

#include <memory>
#include <utility>

namespace cuminpitch::control {

inline std::shared_ptr<const pool_servers> present_servers(const server_records& all)
{
    auto result = std::make_shared<pool_servers>();
    for (const auto& [id, it] : all) {
        if (it.announcement.state != upstream::availability::gone) {
            (*result)[it.pool].push_back(it);
        }
    }
    return result;
}

/// Builds the view of `contents`. `servers` may be taken from an earlier view if no
/// server has changed since; if it is null, it is built from `contents`.
inline fleet_view_ptr build_view(
    const fleet_contents& contents,
    std::shared_ptr<const config::declarations> declarations,
    std::shared_ptr<const pool_servers> servers = nullptr)
{
    auto result = std::make_shared<fleet_view>();
    result->revision = contents.revision;
    result->declarations = std::move(declarations);
    for (const auto& [id, member] : contents.entries) {
        result->entries.emplace_hint(result->entries.end(), id, member.record);
    }
    result->assignments = contents.assignments;
    result->servers = servers ? std::move(servers) : present_servers(contents.servers);
    result->document_number = contents.document.number;
    return result;
}

} // namespace cuminpitch::control
