#pragma once

#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/control/view_replica.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/entry/node.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Keeps the fleet state of this entry up to date: from a control instance, and from
/// other entries while control is unreachable.
class control_link
{
public:
    control_link(const node_options& options, control::compile_function compile);

    std::vector<node_action> tick(absl::Time now);
    std::vector<node_action>
    receive(absl::Time now, const net::peer& from, const control::message& message);

    /// Called when a pool heartbeat shows that a peer has this revision in force.
    std::vector<node_action>
    on_peer_revision(const core::endpoint& peer, core::revision its_revision);

    void set_draining(bool draining) { draining_ = draining; }
    /// Adds the control instances of the changed settings.
    void set_control(std::vector<core::endpoint> control);
    /// Internal endpoints of all known control instances.
    const std::vector<core::endpoint>& control() const { return control_; }
    /// HTTP endpoints of the entries that callers in this failure domain should use, as
    /// last received from control; kept while control is unreachable.
    const std::vector<core::endpoint>& named() const { return named_; }
    /// Time of the last response by which control confirmed that this state is the
    /// newest.
    absl::Time last_response() const { return last_response_; }
    /// Records that a message arrived from this instance.
    void record_contact(absl::Time now, const core::instance_id& from)
    {
        last_contacts_[from] = now;
    }

    const control::view_replica& replica() const { return replica_; }
    /// True if the leader has confirmed that the state is at least as new as any state
    /// that an earlier process of this instance had.
    bool is_confirmed() const { return confirmed_; }
    absl::Duration control_age(absl::Time now) const { return now - last_response_; }
    absl::Time last_contact() const;
    const absl::btree_map<core::instance_id, absl::Time>& contacts() const
    {
        return last_contacts_;
    }

private:
    struct stale_update
    {
        control::update update;
        core::revision current; ///< The revision that it leads to.
    };

    control::sync_request make_request(absl::Time now);
    /// Whether the stale updates and this one lead to the newest state of its sender.
    bool completes_stale_updates(const control::sync_response& response) const;
    /// Switches to the next control instance because the current one does not respond.
    void switch_target(absl::Time now, std::vector<node_action>& out);
    void ask_peers(std::vector<node_action>& out);
    void apply_stale_updates();
    /// Logs the revision that has come into force. `silent` is the time without an answer
    /// of control before it.
    void
    log_revision(absl::Time now, absl::Duration silent, std::vector<node_action>& out);
    void apply(
        const control::update& it, const net::peer& from, std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::sync_request& request,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::sync_response& response,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::state_request& request,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::state_response& response,
       std::vector<node_action>& out);
    template <class Other>
    void on(absl::Time, const net::peer&, const Other&, std::vector<node_action>&)
    {
    }

    const node_options& options_;
    std::vector<core::endpoint> control_;
    std::vector<core::endpoint> named_;
    control::view_replica replica_;
    /// Updates that arrived before the first fleet state from control instances without
    /// recent contact with a majority. After a restart, such an instance may lack
    /// acknowledged changes, so they are applied only when the start window ends or
    /// together with an up-to-date update.
    std::vector<stale_update> stale_updates_;
    bool draining_ = false;
    bool confirmed_ = false;
    /// No control instance has responded since the last one was considered lost.
    bool is_control_lost_ = false;
    std::size_t target_ = 0;
    std::size_t next_peer_ = 0;
    absl::Time started_ = absl::InfiniteFuture();
    absl::Time next_request_ = absl::InfinitePast();
    absl::Time next_contacts_ = absl::InfinitePast();
    absl::Time unanswered_since_ = absl::InfiniteFuture();
    absl::Time last_response_ = absl::InfinitePast();
    /// Since when control has been known to have a newer revision than the one in force.
    absl::Time behind_since_ = absl::InfiniteFuture();
    absl::btree_map<core::instance_id, absl::Time> last_contacts_;
};

} // namespace cuminpitch::entry
