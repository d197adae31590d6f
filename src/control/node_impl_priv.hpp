#pragma once

#include "cuminpitch/control/node.hpp"

#include "control/deferred_announcements_priv.hpp"
#include "control/entry_roster_priv.hpp"
#include "control/group_directory_priv.hpp"
#include "control/leader_absence_priv.hpp"
#include "control/member_policy_priv.hpp"
#include "control/operator_api_priv.hpp"
#include "control/sync_clients_priv.hpp"
#include "cuminpitch/consensus/replica.hpp"

#include <absl/container/btree_map.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminpitch::control {

/// The implementation of node. API calls are in node_calls.cpp, operator requests in
/// node_operator.cpp, the members of the group in node_members.cpp, and the rest in
/// node.cpp.
class node::impl
{
public:
    impl(
        node_options options,
        compile_function compile,
        std::unique_ptr<consensus::replica> replica,
        telemetry::metrics& metrics)
        : options_(std::move(options)), metrics_(metrics), replica_(std::move(replica)),
          state_(std::move(compile), options_.memory)
    {
    }

    void handle(absl::Time now, node_event it)
    {
        now_ = now;
        std::visit([&](auto& event) { on(event); }, it);
    }

    std::vector<node_action> take_actions()
    {
        run_replica();
        apply_committed();
        push_state();
        return std::exchange(actions_, {});
    }

    bool has_backlog() const { return !unapplied_.empty() || has_unsent_updates_; }

private:
    struct waiting_document
    {
        call::declare call;
        absl::Time deadline;
        std::size_t bytes = 0; ///< Size in memory.
    };

    void on(event::operator_request& it);
    void on(event::frame_received& it);
    void on(event::tick&);
    void on(event::stop&);
    void on(event::peers_changed& it);
    void on(api_call& it);

    // These functions handle API calls and are defined in node_calls.cpp.
    void handle_call(call::declare& it);
    void handle_call(call::read_document& it);
    void handle_call(call::announce& it);
    /// Answers an announcement that isn't newer than the committed servers.
    void answer_known_announcement(const call::announce& it);
    bool must_be_deferred(const server_record& it) const;
    void defer_announcement(const call::announce& it);
    void propose_deferred_announcements();
    void handle_call(call::list_entries& it);
    std::size_t count_server_slots();
    std::vector<entry_record> entries_for(const core::failure_domain_id& caller_domain);
    void propose_next_document();
    void propose_document(waiting_document it);
    waiting_document take_waiting_document();
    bool finish_call(core::log_index index, core::term term, const outcome& it);
    void answer_reads();
    void expire_calls();
    void fail_calls();
    void redirect_to_leader(core::request_id id);
    void log_unanswered_read(const char* reason, absl::Duration waited);
    void log_leader_absence();
    void log_group_size();
    void log_applied_state();
    /// Voters without a message within a second, each with the time since the last one.
    std::string silent_voters() const;
    void answer(core::request_id id, api_answer it);

    void receive_report(const net::peer& from, const sync_request& it);
    void receive(const net::peer& from, const group_hello& it);
    void receive(const net::peer& from, const relayed_report& it);
    void report_to_controller(const sync_request& it);
    /// Whether the response to this report may be marked as confirmed; see
    /// sync_response::confirmed.
    bool can_confirm(const sync_request& it);
    void answer_report(const sync_request& it, const core::endpoint& to, bool confirmed);
    void confirm_relayed(const sync_request& it);
    void log_ignored_hello(const net::peer& from, const group_hello& it);
    void send_hellos();
    void reconcile_members();
    std::vector<heard_member> heard_members() const;
    void remove_silent_member();
    absl::Time last_heard(const consensus::member& it) const;
    std::vector<core::endpoint> known_instances() const;
    std::vector<core::endpoint> member_endpoints() const;
    std::vector<core::endpoint> members_for(const entry_record& entry) const;
    absl::Duration state_age() const;
    void fill_response(sync_response& it, const sync_request& to);

    void run_replica();
    /// Applies committed entries up to the limits of one step.
    void apply_committed();
    void apply(const consensus::entry& it);
    bool is_snapshot_due() const;
    void log_reached_limits();
    void run(consensus::apply_entry& it);
    void run(consensus::restore_snapshot& it);
    void run(consensus::role_changed& it);
    void run(consensus::send_message& it);
    template <class StorageAction>
    void run(StorageAction& it)
    {
        actions_.emplace_back(std::move(it));
    }
    void push_state();
    void tick_controller();
    void expire_proposals();
    void continue_stop();

    void set_member_metrics();
    void set_memory_metrics();
    bool answer_locally(core::request_id id, const http::request& message);
    void answer_request(const event::operator_request& it);
    void answer_change(const event::operator_request& it);
    void answer_init(core::request_id id, const http::request& message);
    void answer_reassign(core::request_id id, const http::request& message);
    void answer_status(core::request_id id, const http::request& message);
    void propose_for(core::request_id id, const command& it);
    void finish_proposal(core::log_index index, core::term term, const outcome& it);
    std::vector<instance_status> control_instances() const;
    std::vector<instance_status> entry_instances() const;

    /// Whether this instance leads and its state includes everything that was committed
    /// before its term.
    bool can_decide() const
    {
        return is_leader() && replica_->synchronized() && unapplied_.empty();
    }
    bool is_leader() const { return replica_->role() == consensus::role::leader; }
    std::optional<leader_address> leader() const;
    std::optional<core::endpoint> leader_http() const;
    void respond(core::request_id id, http::response it);
    void
    log(telemetry::severity severity,
        std::string event,
        std::vector<telemetry::field> fields = {});

    node_options options_;
    telemetry::metrics& metrics_;
    std::unique_ptr<consensus::replica> replica_;
    fleet_state state_;
    std::optional<control::controller> controller_; ///< Set only at the leader.
    group_directory directory_;
    sync_clients clients_;
    entry_confirmations confirmations_;

    struct pending_proposal
    {
        core::request_id request;
        core::term term;
        absl::Time deadline;
    };
    absl::btree_map<core::log_index, pending_proposal> pending_proposals_;

    struct pending_call
    {
        core::request_id request;
        core::term term;
        absl::Time deadline;
        bool answered = false;
        std::optional<call::declare> document;
    };
    struct pending_read
    {
        core::request_id request;
        absl::Time received_at;
        core::log_index commit_index; ///< When the read arrived.
    };
    std::deque<waiting_document> waiting_documents_;
    std::size_t waiting_document_bytes_ = 0;
    absl::btree_map<core::log_index, pending_call> pending_calls_;
    std::deque<pending_read> pending_reads_;
    deferred_announcements deferred_;
    entry_roster roster_;
    core::revision server_slots_revision_;
    std::size_t server_slots_ = 0;
    absl::btree_map<core::instance_id, absl::Time> next_relays_;
    absl::Time started_ = absl::InfiniteFuture();
    absl::Time leader_since_ = absl::InfiniteFuture();
    leader_absence leader_absence_;
    group_size logged_size_;
    /// Whether this leader has applied everything that was committed before its term.
    bool has_state_ = false;
    std::size_t applied_since_elected_ = 0;
    absl::Time next_member_change_ = absl::InfinitePast();
    /// Control instances that sent a hello or were named in one, with the time of the
    /// newest one.
    absl::btree_map<core::endpoint, absl::Time> discovered_;

    absl::Time now_;
    std::vector<node_action> actions_;
    absl::Time next_hello_ = absl::InfinitePast();
    absl::Time next_controller_ = absl::InfinitePast();
    core::log_index applied_index_;
    /// Size of the commands applied since the last snapshot was taken.
    std::size_t applied_bytes_ = 0;
    /// The stored snapshot exceeds the present limits, so it is replaced soon.
    bool is_stored_snapshot_oversized_ = false;
    bool is_history_limit_logged_ = false;
    /// Committed entries that are not applied yet.
    std::deque<consensus::entry> unapplied_;
    core::revision pushed_revision_;
    bool has_unsent_updates_ = false;
    /// When the applied state included everything that was committed in the group.
    absl::Time current_at_ = absl::InfinitePast();
    absl::Time stop_deadline_ = absl::InfiniteFuture();
    bool stopping_ = false;
    bool exited_ = false;
};

} // namespace cuminpitch::control
