#include "replica_priv.hpp"

#include <algorithm>
#include <cassert>

namespace cuminpitch::consensus {

replica::replica(std::unique_ptr<impl> it) : impl_(std::move(it)) {}
replica::~replica() = default;

std::unique_ptr<replica> replica::make(
    replica_options options,
    member_id self,
    stored_state state,
    core::random_source random,
    absl::Time now)
{
    auto it = std::make_unique<impl>();
    it->options_ = options;
    it->self_ = std::move(self);
    it->random_ = random;
    it->hard_state_ = std::move(state.hard_state);
    const bool has_entries = !state.entries.empty();
    if (!it->log_.assign(std::move(state.snapshot), std::move(state.entries)) ||
        it->log_.last_term() > it->hard_state_.term) {
        return nullptr;
    }
    if (has_entries && it->log_.last_index() == it->log_.base_index()) {
        it->writes_.emplace_back(write_snapshot{*it->log_.base(), {}});
    }
    it->start(now);
    return std::unique_ptr<replica>(new replica(std::move(it)));
}

void replica::tick(absl::Time now)
{
    impl_->advance_clock(now);
    impl_->tick();
}

void replica::receive(
    absl::Time now, const core::endpoint& from, const envelope& received)
{
    impl_->advance_clock(now);
    impl_->receive(from, received);
}

core::result<proposal> replica::propose(absl::Time now, std::string bytes)
{
    impl_->advance_clock(now);
    return impl_->propose(command{std::move(bytes)});
}

core::result<proposal>
replica::change_members(absl::Time now, const member_change& change)
{
    impl_->advance_clock(now);
    return impl_->change_members(change);
}

core::result<void> replica::transfer_leadership(absl::Time now, const member_id& to)
{
    impl_->advance_clock(now);
    return impl_->transfer_leadership(to);
}

core::result<void> replica::take_snapshot(core::log_index index, std::string bytes)
{
    return impl_->take_snapshot(index, std::move(bytes));
}

std::vector<action> replica::take_actions()
{
    return impl_->take_actions();
}

absl::Time replica::next_deadline() const
{
    if (impl_->role_ == role::leader) {
        return impl_->heartbeat_due_;
    }
    return impl_->election_deadline_;
}

const member_id& replica::self() const
{
    return impl_->self_;
}

role replica::role() const
{
    return impl_->role_;
}

core::term replica::term() const
{
    return impl_->hard_state_.term;
}

const member_id& replica::leader() const
{
    return impl_->leader_;
}

core::log_index replica::commit_index() const
{
    return impl_->commit_;
}

core::log_index replica::last_index() const
{
    return impl_->log_.last_index();
}

core::log_index replica::snapshot_index() const
{
    return impl_->log_.base_index();
}

std::size_t replica::snapshot_bytes() const
{
    const auto& base = impl_->log_.base();
    return base && base->bytes ? base->bytes->size() : 0;
}

std::size_t replica::log_bytes() const
{
    return impl_->log_.bytes();
}

const member_set& replica::members() const
{
    return impl_->members_;
}

bool replica::synchronized() const
{
    return impl_->is_synchronized();
}

std::optional<absl::Time> replica::last_contact(const member_id& id) const
{
    if (id == impl_->leader_ && impl_->role_ != role::leader) {
        return impl_->leader_contact_;
    }
    const auto it = impl_->contacts_.find(id);
    return it == impl_->contacts_.end() ? std::nullopt : std::optional(it->second);
}

absl::Time replica::current_at() const
{
    return std::max(
        impl_->current_at_,
        impl_->is_synchronized() ? impl_->majority_contact() : absl::InfinitePast());
}

absl::Time replica::majority_contact() const
{
    return impl_->majority_contact();
}

bool replica::impl::is_synchronized() const
{
    // What earlier leaders have committed is only known once an entry of this term is.
    return role_ == role::leader ? log_.term_at(commit_) == hard_state_.term
                                 : synchronized_;
}

void replica::impl::start(absl::Time now)
{
    now_ = now;
    commit_ = log_.base_index();
    members_ = log_.members_at(log_.last_index());
    if (log_.base()) {
        outputs_.emplace_back(consensus::restore_snapshot{*log_.base()});
    }
    reset_election_deadline();
}

void replica::impl::advance_clock(absl::Time now)
{
    now_ = std::max(now_, now);
    // A leader whose process was paused may have been replaced in the meantime. It must
    // step down before it handles any other event.
    if (role_ == role::leader && options_.protections.check_quorum &&
        !has_recent_majority_contact()) {
        become_follower(hard_state_.term, {});
    }
    if (now_ >= transfer_deadline_) {
        transfer_to_ = {};
        transfer_deadline_ = absl::InfiniteFuture();
    }
}

void replica::impl::tick()
{
    if (role_ == role::leader) {
        if (now_ >= heartbeat_due_) {
            heartbeat_due_ = now_ + options_.heartbeat;
            replicate(true);
            try_transfer(true);
        }
        return;
    }
    if (now_ >= election_deadline_) {
        campaign(options_.protections.pre_vote, false);
    }
}

void replica::impl::receive(const core::endpoint& from, const envelope& received)
{
    const bool other_group =
        hard_state_.group != group_id() && received.group != hard_state_.group;
    if (received.to != self_ || received.from == self_ || other_group ||
        received.group == group_id()) {
        return;
    }
    std::visit([&](const auto& m) { handle(from, received, m); }, received.message);
}

core::result<proposal> replica::impl::propose(entry_payload payload)
{
    if (role_ != role::leader) {
        return make_error_code(core::errc::not_leader);
    }
    if (!transfer_to_.empty() || log_.bytes_between(commit_, log_.last_index()) >=
                                     options_.max_uncommitted_bytes) {
        return make_error_code(core::errc::unavailable);
    }
    append_as_leader(std::move(payload));
    return proposal{log_.last_index(), hard_state_.term};
}

std::vector<action> replica::impl::take_actions()
{
    if (role_ == role::leader) {
        advance_commit();
        replicate(false);
        try_transfer(false);
    }
    std::vector<action> out;
    const bool has_writes = !writes_.empty();
    const auto move_to_out = [&](std::vector<action>& from) {
        std::move(from.begin(), from.end(), std::back_inserter(out));
        from.clear();
    };
    if (!options_.protections.sync_before_reply) {
        move_to_out(outputs_);
    }
    move_to_out(writes_);
    if (has_writes) {
        out.emplace_back(sync_writes{});
    }
    move_to_out(outputs_);
    return out;
}

void replica::impl::commit_to(core::log_index index)
{
    while (commit_ < index) {
        const entry* it = log_.find(commit_.next());
        assert(it != nullptr);
        commit_ = it->index;
        outputs_.emplace_back(apply_entry{*it});
    }
    const bool own_term = log_.term_at(commit_) == hard_state_.term;
    if (own_term && (role_ == role::leader || commit_ >= first_leader_commit_)) {
        synchronized_ = true;
    }
}

void replica::impl::write(entry added)
{
    log_.put(added);
    auto* last = writes_.empty() ? nullptr : std::get_if<write_entries>(&writes_.back());
    if (last != nullptr && last->entries.back().index.next() == added.index) {
        last->entries.push_back(std::move(added));
    } else {
        writes_.emplace_back(write_entries{{std::move(added)}});
    }
}

void replica::impl::write_state()
{
    writes_.emplace_back(write_hard_state{hard_state_});
}

core::log_index replica::impl::first_kept(core::log_index index) const
{
    core::log_index first = index.next();
    while (first.value() > 1 &&
           index.value() - first.value() + 1 < options_.kept_entries) {
        const core::log_index previous(first.value() - 1);
        if (log_.bytes_between(core::log_index(previous.value() - 1), index) >
            options_.kept_bytes) {
            break;
        }
        first = previous;
    }
    return first;
}

core::result<void> replica::impl::take_snapshot(core::log_index index, std::string bytes)
{
    const auto term = log_.term_at(index);
    if (index > commit_ || index <= log_.base_index() || !term) {
        return make_error_code(core::errc::invalid_change);
    }
    snapshot it;
    it.info = {index, *term, log_.members_at(index)};
    it.bytes = std::make_shared<const std::string>(std::move(bytes));
    auto entries = log_.compact(it, first_kept(index));
    writes_.emplace_back(write_snapshot{std::move(it), std::move(entries)});
    return boost::outcome_v2::success();
}

void replica::impl::send(const core::endpoint& to, const member_id& id, message content)
{
    outputs_.emplace_back(
        send_message{to, envelope{hard_state_.group, self_, id, std::move(content)}});
}

void replica::impl::reply(
    const core::endpoint& to, const envelope& request, message content)
{
    outputs_.emplace_back(send_message{
        to, envelope{request.group, self_, request.from, std::move(content)}});
}

void replica::impl::refresh_members()
{
    members_ = log_.members_at(log_.last_index());
    if (role_ == role::leader) {
        update_progress_members();
    }
}

} // namespace cuminpitch::consensus
