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

/// Time since the last confirmed contact with another instance, on the reporter's clock.
struct contact_age
{
    core::instance_id instance;
    absl::Duration age;

    friend bool operator==(const contact_age&, const contact_age&) = default;
};

/// An entry's report to a control instance, sent every 500 ms.
struct sync_request
{
    entry_record entry;
    std::uint64_t incarnation = 0;
    core::revision in_force;
    bool draining = false;
    std::vector<contact_age> contacts;
    /// endpoints_hash() of the control instances that the entry knows, and of the entries
    /// that it names to callers. The response omits lists that the entry already has.
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

/// Sent in answer to a sync_request, and pushed when a revision is committed.
struct sync_response
{
    control::update update;
    core::revision current;
    std::optional<leader_address> leader;
    /// Set only by a leader that has had contact with a majority since it received the
    /// first request of this incarnation. `current` is then at least as high as every
    /// revision that an earlier incarnation reported. An entry must not grant a pool
    /// lease before its first confirmed response, because after a restart it may have
    /// received an older list from a peer.
    bool confirmed = false;
    /// Time since the sender had contact with a leader that had contact with a majority.
    /// If it is long, the entry looks for a control instance with a newer state.
    absl::Duration age;
    /// Internal endpoints of the control instances in the order in which the entry should
    /// try them; empty if the entry already has this list.
    std::vector<core::endpoint> control;
    /// HTTP endpoints of the entries that callers in the entry's failure domain should
    /// use; empty if the entry already has this list, or no entry is ready.
    std::vector<core::endpoint> named;
};

/// Sent by an entry to each control instance, which names the entry to callers.
struct presence
{
    entry_record entry;
    std::uint64_t incarnation = 0;
    bool ready = false; ///< Whether callers may connect to it.
    /// Its connections to backend servers fail, so callers should prefer other entries.
    bool impaired = false;

    friend bool operator==(const presence&, const presence&) = default;
};

/// Sent between entries: the failures of backend servers that the sender observed, or
/// received for relaying, since its last message and, to entries of its failure domain,
/// its requests in flight. A message without either tells the receiver that the sender
/// carries requests and should be sent the receiver's requests in flight.
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
    /// Requests in flight at each server that has any; replaces the counts sent before.
    std::optional<std::vector<server_count>> in_flight;

    friend bool operator==(const pool_evidence&, const pool_evidence&) = default;
};

/// Hash of an ordered list of endpoints, for detecting whether two lists differ.
std::uint64_t endpoints_hash(const std::vector<core::endpoint>& list);

/// Sent between entries: requests the peer's state if it is newer.
struct state_request
{
    core::revision in_force;

    friend bool operator==(const state_request&, const state_request&) = default;
};

struct state_response
{
    core::revision current;
    /// Null if the peer's state isn't newer.
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
