#include "replica_priv.hpp"

#include <algorithm>
#include <functional>

namespace cuminpitch::consensus {

void replica::impl::append_as_leader(entry_payload payload)
{
    const bool changes_members = std::holds_alternative<member_set>(payload);
    write(entry{log_.last_index().next(), hard_state_.term, std::move(payload)});
    if (changes_members) {
        refresh_members();
    }
}

void replica::impl::update_progress_members()
{
    for (const auto& it : members_.members()) {
        if (it.id != self_ && !progress_.contains(it.id)) {
            progress_[it.id].next = log_.last_index().next();
        }
    }
    absl::erase_if(
        progress_, [&](const auto& it) { return members_.find(it.first) == nullptr; });
}

void replica::impl::replicate(bool heartbeat)
{
    for (const auto& it : members_.members()) {
        if (it.id != self_) {
            replicate_to(it, progress_[it.id], heartbeat);
        }
    }
}

void replica::impl::replicate_to(const member& to, progress& peer, bool heartbeat)
{
    if (heartbeat) {
        peer.awaiting_response = false;
    }
    if (peer.state != progress::mode::snapshot &&
        !log_.term_at(core::log_index(peer.next.value() - 1))) {
        peer.state = progress::mode::snapshot;
        peer.outgoing_snapshot = log_.base();
        peer.offset = 0;
        peer.awaiting_response = false;
    }
    if (peer.state != progress::mode::replicate) {
        if (peer.awaiting_response) {
            return;
        }
        peer.awaiting_response = true;
        if (peer.state == progress::mode::snapshot) {
            send_snapshot_part(to, peer);
        } else {
            send_append(to, peer, true);
        }
        return;
    }
    bool sent = false;
    while (peer.next <= log_.last_index() && has_room_for_entries(peer)) {
        send_append(to, peer, true);
        sent = true;
    }
    if (heartbeat && !sent) {
        send_append(to, peer, false);
    }
}

bool replica::impl::has_room_for_entries(const progress& peer) const
{
    const core::log_index sent(peer.next.value() - 1);
    return sent.value() - peer.match.value() < options_.max_unacknowledged_entries &&
           log_.bytes_between(peer.match, sent) < options_.max_unacknowledged_bytes;
}

void replica::impl::send_append(const member& to, progress& peer, bool with_entries)
{
    append_request request;
    request.term = hard_state_.term;
    request.previous_index = core::log_index(peer.next.value() - 1);
    request.previous_term = log_.term_at(request.previous_index).value_or(core::term());
    request.commit = commit_;
    request.sent_us = now_us();
    request.majority_age_us = majority_age_us();
    if (with_entries) {
        request.entries =
            log_.slice(peer.next, options_.max_append_entries, options_.max_append_bytes);
    }
    if (peer.state == progress::mode::replicate) {
        peer.next = core::log_index(peer.next.value() + request.entries.size());
    }
    send(to.internal, to.id, std::move(request));
}

void replica::impl::send_snapshot_part(const member& to, progress& peer)
{
    snapshot_request request;
    request.term = hard_state_.term;
    request.info = peer.outgoing_snapshot->info;
    request.offset = peer.offset;
    request.total = peer.outgoing_snapshot->bytes->size();
    request.bytes =
        peer.outgoing_snapshot->bytes->substr(peer.offset, options_.snapshot_part_bytes);
    request.sent_us = now_us();
    send(to.internal, to.id, std::move(request));
}

void replica::impl::record_contact(const member_id& from, std::int64_t echo_us)
{
    // The contact dates from the sending of the request, so that a delayed response does
    // not count as recent contact.
    const absl::Time sent = std::min(now_, absl::FromUnixMicros(echo_us));
    auto& contact = contacts_.try_emplace(from, absl::InfinitePast()).first->second;
    contact = std::max(contact, sent);
}

progress* replica::impl::find_responder(
    const member_id& from, core::term term, std::int64_t echo_us)
{
    if (term > hard_state_.term) {
        become_follower(term, {});
        return nullptr;
    }
    const auto found = progress_.find(from);
    if (role_ != role::leader || term < hard_state_.term || found == progress_.end()) {
        return nullptr;
    }
    record_contact(from, echo_us);
    return &found->second;
}

void replica::impl::handle(
    const core::endpoint& /*to*/,
    const envelope& received,
    const append_response& response)
{
    progress* const responder =
        find_responder(received.from, response.term, response.echo_us);
    if (responder == nullptr) {
        return;
    }
    progress& peer = *responder;
    if (response.accepted) {
        peer.match = std::max(peer.match, std::min(response.match, log_.last_index()));
        peer.next = std::max(peer.next, peer.match.next());
        const bool snapshot_done = peer.state == progress::mode::snapshot &&
                                   peer.match >= peer.outgoing_snapshot->info.index;
        if (peer.state == progress::mode::probe || snapshot_done) {
            peer.state = progress::mode::replicate;
            peer.outgoing_snapshot.reset();
            peer.next = peer.match.next();
        }
        return;
    }
    const bool outdated = peer.state == progress::mode::replicate
                              ? response.refused_previous <= peer.match
                              : response.refused_previous.next() != peer.next;
    if (peer.state == progress::mode::snapshot || outdated) {
        return;
    }
    peer.state = progress::mode::probe;
    peer.awaiting_response = false;
    peer.next = std::max(
        peer.match.next(), std::min(response.refused_previous, response.match.next()));
}

void replica::impl::handle(
    const core::endpoint& /*to*/,
    const envelope& received,
    const snapshot_response& response)
{
    progress* const responder =
        find_responder(received.from, response.term, response.echo_us);
    if (responder == nullptr) {
        return;
    }
    progress& peer = *responder;
    if (peer.state == progress::mode::snapshot &&
        peer.outgoing_snapshot->info.index == response.index &&
        response.received <= peer.outgoing_snapshot->bytes->size()) {
        peer.offset = response.received;
        peer.awaiting_response = false;
    }
}

void replica::impl::advance_commit()
{
    std::vector<core::log_index> matches;
    for (const auto& it : members_.members()) {
        if (it.role == member_role::voter) {
            matches.push_back(
                it.id == self_ ? log_.last_index() : progress_[it.id].match);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const core::log_index majority_match = matches[members_.majority() - 1];
    // An entry of an earlier term can still be replaced although a majority has it, by a
    // leader whose log ends with a later term (section 5.4.2 of the Raft paper).
    const bool own_term = log_.term_at(majority_match) == hard_state_.term;
    if (majority_match > commit_ &&
        (own_term || !options_.protections.commit_own_term_only)) {
        commit_to(majority_match);
        if (!members_.is_voter(self_) && commit_ >= log_.members_index()) {
            replicate(true); // Tells the other members that the removal is committed.
            become_follower(hard_state_.term, {});
        }
    }
}

core::result<void> replica::impl::transfer_leadership(const member_id& to)
{
    if (role_ != role::leader) {
        return make_error_code(core::errc::not_leader);
    }
    member_id target = to;
    if (target.empty()) {
        core::log_index longest_match;
        for (const auto& [id, it] : progress_) {
            if (members_.is_voter(id) && (target.empty() || it.match > longest_match)) {
                target = id;
                longest_match = it.match;
            }
        }
    }
    if (target == self_ || !members_.is_voter(target)) {
        return make_error_code(core::errc::invalid_change);
    }
    transfer_to_ = target;
    transfer_deadline_ = now_ + options_.election_timeout_max;
    transfer_sent_ = false;
    return boost::outcome_v2::success();
}

void replica::impl::try_transfer(bool repeat)
{
    const member* target = transfer_to_.empty() ? nullptr : members_.find(transfer_to_);
    if (role_ != role::leader || target == nullptr || (transfer_sent_ && !repeat) ||
        progress_[target->id].match != log_.last_index()) {
        return;
    }
    transfer_sent_ = true;
    send(target->internal, target->id, timeout_now{hard_state_.term});
}

} // namespace cuminpitch::consensus
