#pragma once

#include "cuminpitch/control/fleet_contents.hpp"
#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/request_rate.hpp"

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
    /// Slots of backend servers that it can keep busy; 0 if it doesn't say.
    std::uint32_t slots = 0;

    friend bool operator==(const presence&, const presence&) = default;
};

/// Sent between entries: the failures of backend servers, and the successes of suspected
/// ones, that the sender observed, or received for relaying, since its last message and,
/// to entries of its failure domain, its requests in flight. A message without any of
/// these tells the receiver that the sender carries requests and should be sent the
/// receiver's requests in flight.
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
    /// Successes at servers that are suspected because of earlier failures. Each lowers
    /// the suspicion at the receiver.
    std::vector<server_count> successes;

    friend bool operator==(const pool_evidence&, const pool_evidence&) = default;
};

/// Whether the rate limit that a backend server has named is in force.
enum class rate_phase : std::uint8_t
{
    in_force, ///< The server's newest response named it.
    ending,   ///< The server's newest response named no limit. The rate is being raised.
    ended,
};

/// What an entry knows about the rate limit of a backend server.
struct rate_state
{
    core::pool_id pool;
    core::server_id server;
    std::uint64_t incarnation = 0; ///< Start time of the server.
    core::request_rate limit;      ///< The limit last named, of all entries together.
    rate_phase phase = rate_phase::in_force;
    /// Time since the response that named the limit, or the first one that didn't.
    absl::Duration age;

    friend bool operator==(const rate_state&, const rate_state&) = default;
};

/// Sent by an entry to the one that grants permits for a server or a customer. A permit
/// allows one request to a server with a rate limit, or one of a customer with a rate.
struct permit_request
{
    rate_state known;
    std::uint32_t wanted = 0; ///< If 0, the sender only reports `known`.
    absl::Time sent;          ///< On the sender's clock; the response returns it.
    /// Set for the permits of a customer. `known` says nothing then.
    std::optional<core::customer_id> customer = std::nullopt;

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

/// Answers a permit_request at once, and again when a permit becomes available for it.
struct permit_response
{
    rate_state known;
    absl::Time echo;     ///< `sent` of the request.
    absl::Duration held; ///< Time since the request was received.
    std::uint32_t granted = 0;
    /// If `granted` is 0: expected time until a permit is granted.
    absl::Duration expected_wait;
    /// If `granted` is 0: the request expires unless it is repeated after this time.
    absl::Duration repeat_after;
    std::uint32_t requesters = 0; ///< Number of entries that want permits.
    /// The sender grants none, because the entry before it in the order of owners does.
    bool is_redirect = false;
    std::optional<core::customer_id> customer = std::nullopt; ///< As in the request.

    friend bool operator==(const permit_response&, const permit_response&) = default;
};

/// Spreads rate limits that came or ended among the entries. An entry that starts asks
/// for those in force.
struct rate_news
{
    std::vector<rate_state> states;
    bool wants_reply = false;

    friend bool operator==(const rate_news&, const rate_news&) = default;
};

/// A server that has said that it is leaving.
struct leaving_server
{
    core::pool_id pool;
    core::server_id server;
    std::uint64_t incarnation = 0;

    friend bool operator==(const leaving_server&, const leaving_server&) = default;
};

/// Spreads that servers are leaving among the entries. Also sent in reply to a rate_news
/// that wants one, which an entry sends when it starts.
struct leaving_news
{
    std::vector<leaving_server> servers;

    friend bool operator==(const leaving_news&, const leaving_news&) = default;
};

/// Sent by an entry that can't connect to these servers of a pool, to find entries that
/// can and to which it may forward requests.
struct reach_query
{
    core::pool_id pool;
    std::vector<core::server_id> servers;

    friend bool operator==(const reach_query&, const reach_query&) = default;
};

/// Answers a reach_query, at once if the sender knows, else when it has probed a server.
struct reach_report
{
    core::pool_id pool;
    bool reaches = false;        ///< Whether the sender reaches one of the servers.
    std::uint32_t in_flight = 0; ///< Requests that the sender holds.
    /// Entries of which the sender knows that they reach servers of the pool.
    std::vector<core::instance_id> others;

    friend bool operator==(const reach_report&, const reach_report&) = default;
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
    pool_evidence,
    permit_request,
    permit_response,
    rate_news,
    reach_query,
    reach_report,
    leaving_news>;

} // namespace cuminpitch::control
