#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/upstream/announcement.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace cuminpitch::control {

/// The committed state of a backend server of a pool that every entry serves.
struct server_record
{
    core::pool_id pool;
    /// `incarnation` is the start time of the server; of two servers at one address the
    /// one that started later replaces the other. `sequence` is that of the newest
    /// announcement that changed the record.
    upstream::announcement announcement;

    friend bool operator==(const server_record&, const server_record&) = default;
};

/// Backend servers by id. One that has left is kept with the state `gone` until
/// `departed_server_limit` evicts it, so that a delayed announcement can't add it again.
using server_records = absl::btree_map<core::server_id, server_record>;

/// Maximum number of records kept for servers that have left.
constexpr std::size_t departed_server_limit = 4096;

/// The effect that an announcement would have on the committed servers.
enum class announcement_effect
{
    none,     ///< It repeats the committed record.
    outdated, ///< It is older than the committed state.
    changes,
};

/// Compares an announcement with the committed servers. An incarnation that is leaving or
/// gone can't become available again, nor one replaced by a server that started later at
/// its address.
announcement_effect effect_of(const server_records& known, const server_record& it);

/// Whether another server that started later announced itself at the same address. Two
/// servers without a start time never succeed each other by this rule; the later
/// announcement wins.
bool is_replaced(const server_records& known, const server_record& it);

/// Applies an announcement whose effect is `changes`.
void apply_announcement(server_records& known, const server_record& it);

} // namespace cuminpitch::control
