#include "control/node_impl_priv.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/consensus_codec.hpp"
#include "cuminpitch/wire/control_codec.hpp"
#include "cuminpitch/wire/group_codec.hpp"

#include <algorithm>

namespace cuminpitch::control {
namespace {

/// Limits of the entries applied in one step, so that a leader that applies a long log
/// still sends its heartbeats. On 0.15 cores a change takes about 1.5 ms.
constexpr std::size_t entries_per_step = 32;
constexpr std::size_t entry_bytes_per_step = 16U << 10U;

/// Whether the message carries a command that is already compressed.
bool has_packed_command(const consensus::envelope& it)
{
    const auto* append = std::get_if<consensus::append_request>(&it.message);
    return append != nullptr &&
           std::any_of(
               append->entries.begin(), append->entries.end(), [](const auto& entry) {
                   const auto* it = std::get_if<consensus::command>(&entry.payload);
                   return it != nullptr && wire::is_packed_command(it->bytes);
               });
}

} // namespace

// Event handlers.

void node::impl::on(event::operator_request& it)
{
    if (answer_locally(it.id, *it.message)) {
        return;
    }
    if (replica_->members().empty() && it.message->path != "/v1/status") {
        // The empty state of this instance must not be mistaken for the declarations of
        // the group.
        respond(it.id, unknown_outcome_answer(false, "this instance is in no group"));
        return;
    }
    const auto leader_endpoint = is_leader() ? std::nullopt : leader_http();
    if (leader_endpoint) {
        respond(it.id, leader_answer(*leader_endpoint));
    } else if (is_leader() || it.message->method == "GET") {
        answer_request(it);
    } else {
        respond(it.id, unknown_outcome_answer(false, "no leader is known"));
    }
}

void node::impl::on(event::frame_received& it)
{
    switch (it.message.channel) {
    case net::channel::consensus:
        if (const auto envelope = wire::decode_envelope(it.message.payload)) {
            replica_->receive(now_, it.from.internal, envelope.value());
            return;
        }
        break;
    case net::channel::control:
        if (const auto message = wire::decode_control_message(it.message.payload)) {
            if (const auto* report = std::get_if<sync_request>(&message.value())) {
                receive_report(it.from, *report);
            } else if (const auto* entry = std::get_if<presence>(&message.value())) {
                roster_.receive(now_, *entry);
            }
            return;
        }
        break;
    case net::channel::group:
        if (const auto message = wire::decode_group_message(it.message.payload)) {
            std::visit(
                [&](const auto& what) { receive(it.from, what); }, message.value());
            return;
        }
        break;
    default:
        break;
    }
    metrics_.add("cuminpitch_malformed_messages_total");
}

void node::impl::on(event::tick&)
{
    started_ = std::min(started_, now_);
    replica_->tick(now_);
    if (now_ >= next_hello_) {
        next_hello_ = now_ + options_.hello_interval;
        send_hellos();
        next_member_change_ = now_;
    }
    if (now_ >= next_member_change_) {
        next_member_change_ = options_.admits_members ? now_ + options_.member_interval
                                                      : absl::InfiniteFuture();
        reconcile_members();
    }
    log_leader_absence();
    log_group_size();
    log_applied_state();
    tick_controller();
    expire_proposals();
    expire_calls();
    answer_reads();
    continue_stop();
}

void node::impl::on(event::peers_changed& it)
{
    options_.peers = std::move(it.peers);
    log(telemetry::severity::info,
        "peers changed",
        {{"peers", static_cast<std::int64_t>(options_.peers.size())}});
}

void node::impl::on(event::stop&)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_deadline_ = now_ + options_.stop_timeout;
    log(telemetry::severity::info, "stopping");
    if (is_leader()) {
        // The transfer fails if there is no other voter; the stop continues regardless.
        static_cast<void>(replica_->transfer_leadership(now_));
    }
}

// Message handlers.

void node::impl::receive_report(const net::peer& from, const sync_request& it)
{
    clients_.record_report(now_, it);
    has_unsent_updates_ = true;
    if (is_leader()) {
        report_to_controller(it);
        answer_report(it, from.internal, can_confirm(it));
        return;
    }
    answer_report(it, from.internal, false);
    auto& next_relay = next_relays_[it.entry.id];
    if (now_ < next_relay) {
        return;
    }
    next_relay = now_ + options_.relay_interval;
    if (const auto to = leader()) {
        actions_.emplace_back(action::send_frame{
            to->internal,
            net::frame{
                net::channel::group, wire::encode(group_message(relayed_report{it}))}});
    }
}

/// Passes the report to the controller, which only a leader has.
void node::impl::report_to_controller(const sync_request& it)
{
    if (controller_) {
        controller_->report(it, now_);
    }
}

bool node::impl::can_confirm(const sync_request& it)
{
    return controller_ &&
           confirmations_.record_report(now_, it, replica_->majority_contact()) &&
           can_decide();
}

void node::impl::answer_report(
    const sync_request& it, const core::endpoint& to, bool confirmed)
{
    // The update follows in push_state(), encoded once for all entries that need it.
    sync_response response{
        delta{it.in_force, it.in_force, {}}, state_.revision(), leader(), confirmed};
    fill_response(response, it);
    actions_.emplace_back(action::send_frame{
        to, net::frame{net::channel::control, wire::encode(message(response))}});
}

/// Confirms a forwarded report without an update: the entry gets the state from the
/// instance that forwarded it. When hundreds of entries start at once, a second copy for
/// each would exceed the available memory.
void node::impl::confirm_relayed(const sync_request& it)
{
    if (!can_confirm(it) || !confirmations_.should_answer(it.entry.id)) {
        return;
    }
    sync_response response;
    response.current = state_.revision();
    response.leader = leader();
    response.confirmed = true;
    response.age = state_age();
    actions_.emplace_back(action::send_frame{
        it.entry.internal,
        net::frame{net::channel::control, wire::encode(message(response))}});
}

void node::impl::receive(const net::peer&, const relayed_report& it)
{
    report_to_controller(it.report);
    confirm_relayed(it.report);
}

/// Returns the members in the order in which the entry should try them. Those of its
/// failure domain come first, as traffic between domains is expensive. The rotation
/// depends on the entry id, so that entries spread over the members.
std::vector<core::endpoint> node::impl::members_for(const entry_record& entry) const
{
    auto result = member_endpoints();
    if (!result.empty()) {
        const auto first = core::hash64(entry.id.str()) % result.size();
        std::rotate(
            result.begin(),
            result.begin() + static_cast<std::ptrdiff_t>(first),
            result.end());
    }
    const auto is_same_domain = [&](const core::endpoint& it) {
        const auto* known = directory_.at(it);
        return it == options_.internal
                   ? options_.failure_domain == entry.failure_domain
                   : known != nullptr && known->failure_domain == entry.failure_domain;
    };
    std::stable_partition(result.begin(), result.end(), is_same_domain);
    return result;
}

/// Returns the time since this instance's state included everything that was committed.
absl::Duration node::impl::state_age() const
{
    constexpr absl::Duration max_age = absl::Hours(1);
    return std::min(now_ - current_at_, max_age);
}

void node::impl::fill_response(sync_response& it, const sync_request& to)
{
    it.age = state_age();
    for (const auto& named : entries_for(to.entry.failure_domain)) {
        it.named.push_back(named.http);
    }
    if (endpoints_hash(it.named) == to.named_hash) {
        it.named.clear();
    }
    if (options_.admits_members) {
        it.control = members_for(to.entry);
        if (endpoints_hash(it.control) == to.control_hash) {
            it.control.clear();
        }
    }
}

// Actions of the consensus replica.

void node::impl::run_replica()
{
    for (auto& it : replica_->take_actions()) {
        std::visit([this](auto& what) { run(what); }, it);
    }
    if (is_snapshot_due() && replica_->take_snapshot(applied_index_, state_.snapshot())) {
        applied_bytes_ = 0;
        is_stored_snapshot_oversized_ = false;
        run_replica();
    }
}

bool node::impl::is_snapshot_due() const
{
    const auto last = replica_->snapshot_index();
    return applied_index_.value() >= last.value() + options_.snapshot_interval ||
           (applied_index_ > last &&
            (applied_bytes_ >= options_.memory.log || is_stored_snapshot_oversized_));
}

void node::impl::apply_committed()
{
    std::size_t n = 0;
    std::size_t bytes = 0;
    while (!unapplied_.empty() && n < entries_per_step && bytes < entry_bytes_per_step) {
        const consensus::entry next = std::move(unapplied_.front());
        unapplied_.pop_front();
        if (const auto* it = std::get_if<consensus::command>(&next.payload)) {
            bytes += it->bytes.size();
        }
        ++n;
        apply(next);
    }
    applied_since_elected_ += n;
    if (n > 0) {
        log_reached_limits();
        propose_next_document();
        propose_deferred_announcements();
        run_replica();
    }
}

void node::impl::log_reached_limits()
{
    if (state_.is_history_cut() && !is_history_limit_logged_) {
        is_history_limit_logged_ = true;
        log(telemetry::severity::info,
            "history limited by memory",
            {{"bytes", static_cast<std::int64_t>(state_.history_bytes())},
             {"limit_bytes", static_cast<std::int64_t>(options_.memory.history)}});
    }
}

void node::impl::run(consensus::apply_entry& it)
{
    unapplied_.push_back(std::move(it.entry));
}

void node::impl::apply(const consensus::entry& it)
{
    applied_index_ = it.index;
    const auto* bytes = std::get_if<consensus::command>(&it.payload);
    if (bytes == nullptr) {
        return;
    }
    applied_bytes_ += bytes->bytes.size();
    const auto decoded = wire::decode_command(bytes->bytes);
    if (!decoded) {
        log(telemetry::severity::error, "malformed command in the log");
        return;
    }
    const auto result = state_.apply(core::revision(it.index.value()), decoded.value());
    if (!finish_call(it.index, it.term, result)) {
        finish_proposal(it.index, it.term, result);
    }
}

void node::impl::run(consensus::restore_snapshot& it)
{
    unapplied_.clear(); // The snapshot covers all entries committed before it.
    applied_index_ = it.snapshot.info.index;
    applied_bytes_ = 0;
    if (!it.snapshot.bytes || it.snapshot.bytes->empty()) {
        return;
    }
    if (const auto restored = state_.restore(*it.snapshot.bytes); !restored) {
        log(telemetry::severity::error,
            "snapshot cannot be restored",
            {{"reason", restored.error().message()}});
        actions_.emplace_back(action::exit{});
    }
    is_stored_snapshot_oversized_ = state_.is_history_cut();
}

void node::impl::run(consensus::role_changed& it)
{
    if (it.role == consensus::role::leader) {
        controller_.emplace(options_.controller, assign::rendezvous(), now_);
        confirmations_ = {};
        leader_since_ = now_;
        has_state_ = false;
        applied_since_elected_ = 0;
    } else {
        fail_calls();
        controller_.reset();
        for (const auto& [index, proposal] : pending_proposals_) {
            respond(
                proposal.request, unknown_outcome_answer(true, "the leader has changed"));
        }
        pending_proposals_.clear();
    }
    log(telemetry::severity::info,
        "role changed",
        {{"role", std::string(it.role == consensus::role::leader ? "leader" : "other")},
         {"term", static_cast<std::int64_t>(it.term.value())},
         {"leader", it.leader.str()}});
}

void node::impl::run(consensus::send_message& it)
{
    net::frame frame{net::channel::consensus, wire::encode(it.message)};
    frame.is_mostly_compressed = has_packed_command(it.message);
    actions_.emplace_back(action::send_frame{it.to, std::move(frame)});
}

void node::impl::push_state()
{
    if (!unapplied_.empty()) {
        return; // The state is soon replaced by a newer one.
    }
    current_at_ = std::max(current_at_, replica_->current_at());
    if (state_.revision() != pushed_revision_ || has_unsent_updates_) {
        pushed_revision_ = state_.revision();
        has_unsent_updates_ =
            !clients_.push(now_, state_, leader(), state_age(), actions_);
    }
}

void node::impl::tick_controller()
{
    if (!controller_ || !can_decide() || stopping_ || now_ < next_controller_) {
        return;
    }
    next_controller_ = now_ + options_.controller_interval;
    for (const auto& it : controller_->tick(*state_.view(), now_)) {
        static_cast<void>(replica_->propose(now_, wire::encode(it)));
    }
}

void node::impl::expire_proposals()
{
    absl::erase_if(pending_proposals_, [&](const auto& it) {
        if (now_ < it.second.deadline) {
            return false;
        }
        respond(
            it.second.request,
            unknown_outcome_answer(true, "no majority answered in time"));
        return true;
    });
}

void node::impl::continue_stop()
{
    if (!stopping_ || exited_) {
        return;
    }
    if (!is_leader() || now_ >= stop_deadline_) {
        exited_ = true;
        actions_.emplace_back(action::exit{});
    }
}

// Helpers.

std::optional<leader_address> node::impl::leader() const
{
    if (is_leader()) {
        return leader_address{options_.id, options_.internal};
    }
    const auto* member = replica_->members().find(replica_->leader());
    if (member == nullptr) {
        return std::nullopt;
    }
    return leader_address{member->name, member->internal};
}

std::optional<core::endpoint> node::impl::leader_http() const
{
    const auto to = leader();
    const auto* known = to ? directory_.at(to->internal) : nullptr;
    return known == nullptr ? std::nullopt : std::optional(known->http);
}

void node::impl::log_leader_absence()
{
    const bool is_leader_known = is_leader() || !replica_->leader().empty();
    const auto absent = leader_absence_.check(now_, is_leader_known);
    if (!absent) {
        return;
    }
    const auto& members = replica_->members();
    log(telemetry::severity::warning,
        "no leader",
        {{"for_ms", absl::ToInt64Milliseconds(*absent)},
         {"term", static_cast<std::int64_t>(replica_->term().value())},
         {"voters", static_cast<std::int64_t>(members.voter_count())},
         {"is_voter", members.is_voter(options_.identity)},
         {"silent_voters", silent_voters()}});
}

/// Logs when a new leader has applied everything that was committed before its term.
void node::impl::log_applied_state()
{
    if (has_state_ || !can_decide()) {
        return;
    }
    has_state_ = true;
    log(telemetry::severity::info,
        "leader has the state",
        {{"term", static_cast<std::int64_t>(replica_->term().value())},
         {"after_ms", absl::ToInt64Milliseconds(now_ - leader_since_)},
         {"applied", static_cast<std::int64_t>(applied_since_elected_)},
         {"revision", static_cast<std::int64_t>(state_.revision().value())}});
}

void node::impl::respond(core::request_id id, http::response it)
{
    actions_.emplace_back(action::respond{id, std::move(it)});
}

void node::impl::log(
    telemetry::severity severity, std::string event, std::vector<telemetry::field> fields)
{
    actions_.emplace_back(
        action::write_log{severity, std::move(event), std::move(fields)});
}

std::unique_ptr<node> node::make(
    node_options options,
    consensus::stored_state state,
    compile_function compile,
    core::random_source random,
    telemetry::metrics& metrics,
    absl::Time now)
{
    auto replica = consensus::replica::make(
        options.replica, options.identity, std::move(state), random, now);
    if (!replica) {
        return nullptr;
    }
    return std::unique_ptr<node>(new node(std::make_unique<impl>(
        std::move(options), std::move(compile), std::move(replica), metrics)));
}

node::node(std::unique_ptr<impl> it) : impl_(std::move(it)) {}

node::~node() = default;

void node::handle(absl::Time now, node_event it)
{
    impl_->handle(now, std::move(it));
}

std::vector<node_action> node::take_actions()
{
    return impl_->take_actions();
}

bool node::has_backlog() const
{
    return impl_->has_backlog();
}

} // namespace cuminpitch::control
