#include "replica_priv.hpp"

#include <algorithm>

namespace cuminpitch::consensus {

bool replica::impl::follow(
    const core::endpoint& to, const envelope& it, core::term term, std::int64_t sent_us)
{
    if (term < hard_.term) {
        append_response response;
        response.term = hard_.term;
        response.echo_us = sent_us;
        reply(to, it, response);
        return false;
    }
    if (role_ == role::leader && term == hard_.term) {
        return false; // A second leader in this term: only a faulty peer sends this.
    }
    if (hard_.group != it.group) {
        hard_.group = it.group;
        write_state();
    }
    become_follower(term, it.from);
    leader_contact_ = now_;
    return true;
}

void replica::impl::answer(
    const core::endpoint& to, const envelope& it, const append_request& request)
{
    if (!follow(to, it, request.term, request.sent_us)) {
        return;
    }
    append_response response;
    response.term = hard_.term;
    response.echo_us = request.sent_us;
    const bool covered = request.previous_index < commit_;
    if (covered || log_.term_at(request.previous_index) == request.previous_term) {
        response.accepted = true;
        response.match = store(request);
        note_leader_commit(request.commit);
        commit_to(std::max(commit_, std::min(request.commit, response.match)));
    } else {
        response.match = highest_possible_match(request.previous_index);
        response.refused_previous = request.previous_index;
    }
    reply(to, it, response);
}

core::log_index replica::impl::store(const append_request& request)
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

void replica::impl::note_leader_commit(core::log_index commit)
{
    if (known_commit_ == core::log_index()) {
        known_commit_ = commit;
    }
}

void replica::impl::answer(
    const core::endpoint& to, const envelope& it, const snapshot_request& request)
{
    if (!follow(to, it, request.term, request.sent_us)) {
        return;
    }
    append_response done;
    done.term = hard_.term;
    done.accepted = true;
    done.echo_us = request.sent_us;
    if (request.info.index <= commit_) {
        done.match = commit_;
        reply(to, it, done);
        return;
    }
    if (!incoming_ || incoming_->index != request.info.index ||
        incoming_->term != request.info.term) {
        incoming_ = request.info;
        incoming_bytes_.clear();
    }
    if (request.offset == incoming_bytes_.size()) {
        incoming_bytes_ += request.bytes;
    }
    if (incoming_bytes_.size() < request.total) {
        snapshot_response more;
        more.term = hard_.term;
        more.index = request.info.index;
        more.received = incoming_bytes_.size();
        more.echo_us = request.sent_us;
        reply(to, it, more);
        return;
    }
    install(request.info);
    done.match = request.info.index;
    reply(to, it, done);
}

void replica::impl::install(const snapshot_info& info)
{
    snapshot it;
    it.info = info;
    it.bytes = std::make_shared<const std::string>(std::move(incoming_bytes_));
    incoming_.reset();
    incoming_bytes_.clear();
    auto kept = log_.compact(it, info.index.next());
    writes_.emplace_back(write_snapshot{it, std::move(kept)});
    outputs_.emplace_back(consensus::restore_snapshot{std::move(it)});
    commit_ = info.index;
    refresh_members();
}

} // namespace cuminpitch::consensus
