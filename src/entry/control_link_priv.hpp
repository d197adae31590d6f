#pragma once

#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/control/view_replica.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/entry/node.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Keeps the fleet state of this entry current: from a control instance, and from other
/// entries while control can't be reached.
class control_link
{
public:
    control_link(const node_options& options, control::compile_function compile);

    std::vector<node_action> tick(absl::Time now);
    std::vector<node_action>
    receive(absl::Time now, const net::peer& from, const control::message& it);

    /// A pool heartbeat showed that a peer has this revision in force.
    std::vector<node_action>
    on_peer_revision(const core::endpoint& peer, core::revision its_revision);

    void set_draining(bool it) { draining_ = it; }
    /// The settings name other control instances.
    void set_control(std::vector<core::endpoint> it);
    /// All control instances known, or those of the settings.
    const std::vector<core::endpoint>& control() const { return control_; }
    /// HTTP endpoints of the entries that callers of this failure domain should use, as
    /// control last said; kept while control is away.
    const std::vector<core::endpoint>& named() const { return named_; }
    /// When control last confirmed that the state here is the newest.
    absl::Time last_answer() const { return last_answer_; }
    /// Something arrived from this instance.
    void heard(absl::Time now, const core::instance_id& from) { last_heard_[from] = now; }

    const control::view_replica& replica() const { return replica_; }
    /// The leader has confirmed that the state is at least as new as anything that an
    /// earlier process of this instance had.
    bool is_confirmed() const { return confirmed_; }
    absl::Duration control_age(absl::Time now) const { return now - last_answer_; }
    absl::Time last_heard() const;
    const absl::btree_map<core::instance_id, absl::Time>& contacts() const
    {
        return last_heard_;
    }

private:
    control::sync_request make_request(absl::Time now);
    /// The control instance doesn't answer; the next one is asked.
    void lose_target(absl::Time now, std::vector<node_action>& out);
    void ask_peers(std::vector<node_action>& out);
    void apply_early_updates();
    void
    on(absl::Time now,
       const net::peer& from,
       const control::sync_request& it,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::sync_response& it,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::state_request& it,
       std::vector<node_action>& out);
    void
    on(absl::Time now,
       const net::peer& from,
       const control::state_response& it,
       std::vector<node_action>& out);
    template <class Other>
    void on(absl::Time, const net::peer&, const Other&, std::vector<node_action>&)
    {
    }

    const node_options& options_;
    std::vector<core::endpoint> control_;
    std::vector<core::endpoint> named_;
    control::view_replica replica_;
    /// From control instances that hadn't heard of a majority yet when this process
    /// started. After a restart they may know less than what was acknowledged, so they
    /// count only if no other state comes within the start window.
    std::vector<control::update> early_updates_;
    bool draining_ = false;
    bool confirmed_ = false;
    bool is_lost_ = false; ///< No control instance has answered since one was lost.
    std::size_t target_ = 0;
    std::size_t next_peer_ = 0;
    absl::Time started_ = absl::InfiniteFuture();
    absl::Time next_request_ = absl::InfinitePast();
    absl::Time next_contacts_ = absl::InfinitePast();
    absl::Time unanswered_since_ = absl::InfiniteFuture();
    absl::Time last_answer_ = absl::InfinitePast();
    absl::btree_map<core::instance_id, absl::Time> last_heard_;
};

} // namespace cuminpitch::entry
