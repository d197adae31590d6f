#pragma once

#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/node.hpp"
#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace cuminpitch::control {

/// The entries that get the fleet state from this control instance. Each gets an update
/// once: the links of entries are slow, and a second copy would keep others waiting. It
/// is sent again if the entry still lacks it when it must have arrived.
class sync_clients
{
public:
    /// Takes a report that came from the entry itself. Returns the revision that the
    /// update in the answer has to start from.
    core::revision note(absl::Time now, const sync_request& it);

    /// An answer with an update up to `revision`, of so many bytes on the wire, was sent.
    void note_sent(
        absl::Time now,
        const core::instance_id& entry,
        core::revision revision,
        std::size_t bytes);

    /// The answer to a report.
    static sync_response make_response(
        const fleet_state& state,
        core::revision base,
        const std::optional<leader_address>& leader,
        bool confirmed);

    /// Sends the newest state to each present client that doesn't have it yet.
    void push(
        absl::Time now,
        const fleet_state& state,
        const std::optional<leader_address>& leader,
        std::vector<node_action>& out);

private:
    struct client
    {
        core::endpoint internal;
        std::uint64_t incarnation = 0;
        core::revision sent; ///< Newest revision sent or reported.
        /// When what was sent must have arrived.
        absl::Time arrived = absl::InfinitePast();
        absl::Time seen;
    };

    absl::btree_map<core::instance_id, client> clients_;
};

/// Which entries the leader has confirmed that they are not behind an earlier process of
/// the same instance; see sync_response::confirmed.
class entry_confirmations
{
public:
    /// `majority_contact`: the latest time since which a majority has answered this
    /// leader. Whether a response to this report may say "confirmed".
    bool report(absl::Time now, const sync_request& it, absl::Time majority_contact);

    /// Whether the leader should answer a report that a follower passed on. A few answers
    /// for each process are enough.
    bool wants_answer(const core::instance_id& id);

private:
    struct entry
    {
        std::uint64_t incarnation = 0;
        absl::Time first_report;
        unsigned answers = 0;
    };

    absl::btree_map<core::instance_id, entry> entries_;
};

} // namespace cuminpitch::control
