#include "replica_priv.hpp"

#include <algorithm>

namespace cuminpitch::consensus {

bool replica::impl::accept_leader(
    const core::endpoint& to,
    const envelope& received,
    core::term term,
    std::int64_t sent_us)
{
    if (term < hard_state_.term) {
        append_response response;
        response.term = hard_state_.term;
        response.echo_us = sent_us;
        reply(to, received, response);
        return false;
    }
    if (role_ == role::leader && term == hard_state_.term) {
        return false; // A second leader in this term: only a faulty peer sends this.
    }
    if (hard_state_.group != received.group) {
        hard_state_.group = received.group;
        write_state();
    }
    become_follower(term, received.from);
    if (leader_contact_ == absl::InfinitePast()) {
        // The timeout is still that of the start, which may be as short as a heartbeat
        // interval.
        election_deadline_ += options_.heartbeat;
    }
    leader_contact_ = now_;
    return true;
}

void replica::impl::handle(
    const core::endpoint& to, const envelope& received, const append_request& request)
{
    if (!accept_leader(to, received, request.term, request.sent_us)) {
        return;
    }
    append_response response;
    response.term = hard_state_.term;
    response.echo_us = request.sent_us;
    const bool previous_committed = request.previous_index < commit_;
    if (previous_committed ||
        log_.term_at(request.previous_index) == request.previous_term) {
        response.accepted = true;
        response.match = store_entries(request);
        record_leader_commit(request.commit);
        commit_to(std::max(commit_, std::min(request.commit, response.match)));
        if (commit_ >= request.commit) {
            current_at_ =
                std::max(current_at_, now_ - absl::Microseconds(request.majority_age_us));
        }
    } else {
        response.match = highest_possible_match(request.previous_index);
        response.refused_previous = request.previous_index;
    }
    reply(to, received, response);
}

core::log_index replica::impl::store_entries(const append_request& request)
{
    bool members_affected = false;
    core::log_index match = std::max(request.previous_index, commit_);
    for (const auto& it : request.entries) {
        if (it.index <= commit_) {
            continue; // Committed entries are the same at all members.
        }
        if (log_.term_at(it.index) != it.term) {
            members_affected = members_affected || log_.members_index() >= it.index ||
                               std::holds_alternative<member_set>(it.payload);
            write(it);
        }
        match = it.index;
    }
    if (members_affected) {
        refresh_members();
    }
    return match;
}

core::log_index replica::impl::highest_possible_match(core::log_index previous) const
{
    if (previous > log_.last_index()) {
        return log_.last_index();
    }
    // Skips all entries of the conflicting term at once.
    const auto term = log_.term_at(previous);
    core::log_index it = previous;
    while (it > commit_ && log_.term_at(it) == term) {
        it = core::log_index(it.value() - 1);
    }
    return it;
}

void replica::impl::record_leader_commit(core::log_index commit)
{
    if (first_leader_commit_ == core::log_index()) {
        first_leader_commit_ = commit;
    }
}

void replica::impl::handle(
    const core::endpoint& to, const envelope& received, const snapshot_request& request)
{
    if (!accept_leader(to, received, request.term, request.sent_us)) {
        return;
    }
    append_response complete;
    complete.term = hard_state_.term;
    complete.accepted = true;
    complete.echo_us = request.sent_us;
    if (request.info.index <= commit_) {
        complete.match = commit_;
        reply(to, received, complete);
        return;
    }
    if (!incoming_snapshot_ || incoming_snapshot_->index != request.info.index ||
        incoming_snapshot_->term != request.info.term) {
        incoming_snapshot_ = request.info;
        incoming_snapshot_bytes_.clear();
    }
    if (request.offset == incoming_snapshot_bytes_.size()) {
        incoming_snapshot_bytes_ += request.bytes;
    }
    if (incoming_snapshot_bytes_.size() < request.total) {
        snapshot_response partial;
        partial.term = hard_state_.term;
        partial.index = request.info.index;
        partial.received = incoming_snapshot_bytes_.size();
        partial.echo_us = request.sent_us;
        reply(to, received, partial);
        return;
    }
    install(request.info);
    complete.match = request.info.index;
    reply(to, received, complete);
}

void replica::impl::install(const snapshot_info& info)
{
    snapshot it;
    it.info = info;
    it.bytes = std::make_shared<const std::string>(std::move(incoming_snapshot_bytes_));
    incoming_snapshot_.reset();
    incoming_snapshot_bytes_.clear();
    auto kept = log_.compact(it, info.index.next());
    writes_.emplace_back(write_snapshot{it, std::move(kept)});
    outputs_.emplace_back(consensus::restore_snapshot{std::move(it)});
    commit_ = info.index;
    refresh_members();
}

} // namespace cuminpitch::consensus
