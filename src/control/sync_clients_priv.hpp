#pragma once

#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/node.hpp"
#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <vector>

namespace cuminpitch::control {

/// The entries that get the fleet state from this control instance. Each update is sent
/// once, because entry links are slow and a second copy would delay other messages. It is
/// sent again if the entry still lacks it when it should have arrived.
class sync_clients
{
public:
    /// Records a report that came directly from the entry. Returns the revision at which
    /// the update in the answer must start.
    core::revision record_report(absl::Time now, const sync_request& it);

    /// Records that an update to `revision` was sent in a message of `bytes` bytes.
    void record_sent(
        absl::Time now,
        const core::instance_id& entry,
        core::revision revision,
        std::size_t bytes);

    /// Sends the newest state to each current client that hasn't been sent it yet, up to
    /// the limit of one step. `age` is the time since the state was known to be the
    /// newest. Returns whether all clients have been sent it.
    bool push(
        absl::Time now,
        const fleet_state& state,
        const std::optional<leader_address>& leader,
        absl::Duration age,
        std::vector<node_action>& out);

private:
    struct sent_update
    {
        core::revision revision;
        absl::Time expected_arrival;
    };
    struct client
    {
        core::endpoint internal;
        std::uint64_t incarnation = 0;
        core::revision sent_revision; ///< The newest revision sent, or reported in force.
        /// Updates sent that the entry has not reported in force, oldest first.
        std::deque<sent_update> in_transit;
        /// The time by which the link should have transmitted all of them.
        absl::Time link_free_at = absl::InfinitePast();
        absl::Time last_report;
    };

    absl::btree_map<core::instance_id, client> clients_;
};

/// Tracks which entries the leader can confirm to be at least at the revision of their
/// earlier incarnations; see sync_response::confirmed.
class entry_confirmations
{
public:
    /// Records a report and returns whether the response may be marked as confirmed.
    /// `majority_contact` is the latest time since which a majority has answered this
    /// leader.
    bool
    record_report(absl::Time now, const sync_request& it, absl::Time majority_contact);

    /// Whether the leader should answer a report that a follower forwarded. Counts the
    /// answers, as a few for each incarnation are enough.
    bool should_answer(const core::instance_id& id);

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
