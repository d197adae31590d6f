#include "replica_priv.hpp"

#include <algorithm>
#include <functional>

namespace cuminpitch::consensus {

void replica::impl::append_own(entry_payload payload)
{
    const bool changes_members = std::holds_alternative<member_set>(payload);
    write(entry{log_.last_index().next(), hard_.term, std::move(payload)});
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

void replica::impl::replicate_to(const member& to, progress& it, bool heartbeat)
{
    if (heartbeat) {
        it.waiting = false;
    }
    if (it.state != progress::mode::snapshot &&
        !log_.term_at(core::log_index(it.next.value() - 1))) {
        it.state = progress::mode::snapshot;
        it.sending = log_.base();
        it.offset = 0;
        it.waiting = false;
    }
    if (it.state != progress::mode::replicate) {
        if (it.waiting) {
            return;
        }
        it.waiting = true;
        if (it.state == progress::mode::snapshot) {
            send_snapshot_part(to, it);
        } else {
            send_append(to, it, true);
        }
        return;
    }
    bool sent = false;
    while (it.next <= log_.last_index() &&
           it.next.value() - it.match.value() <= options_.max_unacknowledged_entries) {
        send_append(to, it, true);
        sent = true;
    }
    if (heartbeat && !sent) {
        send_append(to, it, false);
    }
}

void replica::impl::send_append(const member& to, progress& it, bool with_entries)
{
    append_request request;
    request.term = hard_.term;
    request.previous_index = core::log_index(it.next.value() - 1);
    request.previous_term = log_.term_at(request.previous_index).value_or(core::term());
    request.commit = commit_;
    request.sent_us = now_us();
    if (with_entries) {
        request.entries =
            log_.slice(it.next, options_.max_append_entries, options_.max_append_bytes);
    }
    if (it.state == progress::mode::replicate) {
        it.next = core::log_index(it.next.value() + request.entries.size());
    }
    send(to.internal, to.id, std::move(request));
}

void replica::impl::send_snapshot_part(const member& to, progress& it)
{
    snapshot_request request;
    request.term = hard_.term;
    request.info = it.sending->info;
    request.offset = it.offset;
    request.total = it.sending->bytes->size();
    request.bytes = it.sending->bytes->substr(it.offset, options_.snapshot_part_bytes);
    request.sent_us = now_us();
    send(to.internal, to.id, std::move(request));
}

void replica::impl::note_contact(const member_id& from, std::int64_t echo_us)
{
    // The contact dates from the sending of the request, so that a delayed response does
    // not count as recent contact.
    const absl::Time sent = std::min(now_, absl::FromUnixMicros(echo_us));
    auto& contact = contacts_.try_emplace(from, absl::InfinitePast()).first->second;
    contact = std::max(contact, sent);
}

progress* replica::impl::find_answering(
    const member_id& from, core::term term, std::int64_t echo_us)
{
    if (term > hard_.term) {
        become_follower(term, {});
        return nullptr;
    }
    const auto found = progress_.find(from);
    if (role_ != role::leader || term < hard_.term || found == progress_.end()) {
        return nullptr;
    }
    note_contact(from, echo_us);
    return &found->second;
}

void replica::impl::answer(
    const core::endpoint& /*to*/, const envelope& it, const append_response& response)
{
    progress* const answering = find_answering(it.from, response.term, response.echo_us);
    if (answering == nullptr) {
        return;
    }
    progress& member = *answering;
    if (response.accepted) {
        member.match =
            std::max(member.match, std::min(response.match, log_.last_index()));
        member.next = std::max(member.next, member.match.next());
        const bool snapshot_done = member.state == progress::mode::snapshot &&
                                   member.match >= member.sending->info.index;
        if (member.state == progress::mode::probe || snapshot_done) {
            member.state = progress::mode::replicate;
            member.sending.reset();
            member.next = member.match.next();
        }
        return;
    }
    const bool outdated = member.state == progress::mode::replicate
                              ? response.refused_previous <= member.match
                              : response.refused_previous.next() != member.next;
    if (member.state == progress::mode::snapshot || outdated) {
        return;
    }
    member.state = progress::mode::probe;
    member.waiting = false;
    member.next = std::max(
        member.match.next(), std::min(response.refused_previous, response.match.next()));
}

void replica::impl::answer(
    const core::endpoint& /*to*/, const envelope& it, const snapshot_response& response)
{
    progress* const answering = find_answering(it.from, response.term, response.echo_us);
    if (answering == nullptr) {
        return;
    }
    progress& member = *answering;
    if (member.state == progress::mode::snapshot &&
        member.sending->info.index == response.index &&
        response.received <= member.sending->bytes->size()) {
        member.offset = response.received;
        member.waiting = false;
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
    const core::log_index held = matches[members_.majority() - 1];
    // An entry of an earlier term can still be replaced although a majority has it, by a
    // leader whose log ends with a later term (section 5.4.2 of the Raft paper).
    const bool own_term = log_.term_at(held) == hard_.term;
    if (held > commit_ && (own_term || !options_.protections.commit_own_term_only)) {
        commit_to(held);
        if (!members_.is_voter(self_) && commit_ >= log_.members_index()) {
            replicate(true); // Tells the other members that the removal is committed.
            become_follower(hard_.term, {});
        }
    }
}

core::result<void> replica::impl::transfer(const member_id& to)
{
    if (role_ != role::leader) {
        return make_error_code(core::errc::not_leader);
    }
    member_id target = to;
    if (target.empty()) {
        core::log_index longest;
        for (const auto& [id, it] : progress_) {
            if (members_.is_voter(id) && (target.empty() || it.match > longest)) {
                target = id;
                longest = it.match;
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
    send(target->internal, target->id, timeout_now{hard_.term});
}

} // namespace cuminpitch::consensus
