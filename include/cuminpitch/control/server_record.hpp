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
    /// one that started later lives. `sequence` is that of the newest announcement that
    /// changed the record.
    upstream::announcement announcement;

    friend bool operator==(const server_record&, const server_record&) = default;
};

/// Servers by id. One that has left stays for a while with the state `gone`, so that a
/// delayed announcement can't bring it back.
using server_records = absl::btree_map<core::server_id, server_record>;

/// Servers that have left and are remembered at most.
constexpr std::size_t departed_server_limit = 4096;

/// What an announcement would change.
enum class announcement_effect
{
    none,     ///< It repeats what is known.
    outdated, ///< It was sent before something that is known.
    changes,
};

/// Compares an announcement with the committed servers. Leaving is final for an
/// incarnation, and so is the start of a later server at its address.
announcement_effect effect_of(const server_records& known, const server_record& it);

/// Applies an announcement whose effect is `changes`.
void put_server(server_records& known, const server_record& it);

} // namespace cuminpitch::control
