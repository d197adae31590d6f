#pragma once

#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Age of the last confirmed contact with another instance, on the reporter's clock.
struct contact_age
{
    core::instance_id instance;
    absl::Duration age;

    friend bool operator==(const contact_age&, const contact_age&) = default;
};

/// An entry's report to control, every 500 ms.
struct sync_request
{
    entry_record entry;
    std::uint64_t incarnation = 0;
    core::revision in_force;
    bool draining = false;
    std::vector<contact_age> contacts;
    /// endpoints_hash() of the control instances that the entry knows, and of the entries
    /// that it names to callers.
    std::uint64_t control_hash = 0;
    std::uint64_t named_hash = 0;

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

struct leader_address
{
    core::instance_id id;
    core::endpoint internal;

    friend bool operator==(const leader_address&, const leader_address&) = default;
};

/// Answer to a sync_request, and also pushed when a revision is committed.
struct sync_response
{
    control::update update;
    core::revision current;
    std::optional<leader_address> leader;
    /// Set only by a leader that has had contact with a majority since it received the
    /// request of this incarnation. `current` is then at least every revision that an
    /// earlier incarnation reported. An entry must not grant a pool lease before its
    /// first confirmed answer: after a restart it may have taken an older list from a
    /// peer.
    bool confirmed = false;
    /// Since the sender had contact with a leader that had contact with a majority; an
    /// entry looks for a sender with a newer state if it is long.
    absl::Duration age;
    /// Internal endpoints of the control instances in the order in which the entry should
    /// ask them; empty if the entry knows them.
    std::vector<core::endpoint> control;
    /// HTTP endpoints of the entries that callers in the entry's failure domain should
    /// use; empty if the entry knows them, or none is ready.
    std::vector<core::endpoint> named;
};

/// An entry makes itself known to each control instance, which tells callers about it.
struct presence
{
    entry_record entry;
    std::uint64_t incarnation = 0;
    bool ready = false; ///< Callers may connect to it.
    /// Its connections to servers get lost; callers should rather use others.
    bool impaired = false;

    friend bool operator==(const presence&, const presence&) = default;
};

/// Between entries: failures of servers that the sender saw since it last said so, and to
/// those of its failure domain what it has at the servers. An empty one says that the
/// sender carries requests and wants to be told.
struct pool_evidence
{
    struct server_count
    {
        core::server_id server;
        std::uint32_t count = 0;

        friend bool operator==(const server_count&, const server_count&) = default;
    };

    core::pool_id pool;
    std::vector<server_count> failures;
    /// Requests in flight at each server that has any; replaces what was said before.
    std::optional<std::vector<server_count>> in_flight;

    friend bool operator==(const pool_evidence&, const pool_evidence&) = default;
};

/// Tells whether two lists of endpoints in the same order are the same.
std::uint64_t endpoints_hash(const std::vector<core::endpoint>& list);

/// Between entries: asks for the peer's state if it is newer.
struct state_request
{
    core::revision in_force;

    friend bool operator==(const state_request&, const state_request&) = default;
};

struct state_response
{
    core::revision current;
    /// Null if the peer has nothing newer.
    std::shared_ptr<const fleet_contents> contents;
};

using message = std::variant<
    sync_request,
    sync_response,
    state_request,
    state_response,
    presence,
    pool_evidence>;

} // namespace cuminpitch::control
