#include "replica_priv.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace cuminpitch::consensus {

void replica::impl::set_role(consensus::role role, const member_id& leader)
{
    const bool changed = role_ != role || leader_ != leader;
    role_ = role;
    leader_ = leader;
    if (changed) {
        outputs_.emplace_back(role_changed{role, hard_state_.term, leader});
    }
}

void replica::impl::become_follower(core::term term, const member_id& leader)
{
    if (term > hard_state_.term) {
        hard_state_.term = term;
        hard_state_.voted_for = {};
        write_state();
        // Another leader may encode the same snapshot differently, so the parts received
        // so far can't be continued with its parts.
        incoming_snapshot_.reset();
    }
    votes_.clear();
    if (role_ == role::leader) {
        progress_.clear();
        contacts_.clear();
        transfer_to_ = {};
        transfer_deadline_ = absl::InfiniteFuture();
    }
    reset_election_deadline();
    set_role(role::follower, leader);
}

void replica::impl::become_leader()
{
    votes_.clear();
    set_role(role::leader, self_);
    progress_.clear();
    contacts_.clear();
    leader_since_ = now_;
    heartbeat_due_ = now_ + options_.heartbeat;
    update_progress_members();
    term_start_ = log_.last_index().next();
    append_as_leader(no_operation{});
}

void replica::impl::reset_election_deadline()
{
    const bool starts =
        leader_contact_ == absl::InfinitePast() && leader_since_ == absl::InfinitePast();
    const auto min = starts ? options_.start_timeout_min : options_.election_timeout_min;
    const auto max = starts ? options_.start_timeout_max : options_.election_timeout_max;
    std::uniform_int_distribution<std::int64_t> timeout_us(
        absl::ToInt64Microseconds(min), absl::ToInt64Microseconds(max));
    election_deadline_ = now_ + absl::Microseconds(timeout_us(random_));
}

void replica::impl::campaign(bool pre_vote, bool transfer)
{
    reset_election_deadline();
    if (!members_.is_voter(self_)) {
        return;
    }
    votes_.clear();
    if (pre_vote) {
        set_role(role::pre_candidate, {});
    } else {
        hard_state_.term = hard_state_.term.next();
        hard_state_.voted_for = self_;
        write_state();
        set_role(role::candidate, {});
    }
    vote_request request;
    request.term = pre_vote ? hard_state_.term.next() : hard_state_.term;
    request.last_index = log_.last_index();
    request.last_term = log_.last_term();
    request.pre_vote = pre_vote;
    request.transfer = transfer;
    for (const auto& it : members_.members()) {
        if (it.role == member_role::voter && it.id != self_) {
            send(it.internal, it.id, request);
        }
    }
    count_vote(self_);
}

void replica::impl::count_vote(const member_id& from)
{
    if (!members_.is_voter(from)) {
        return;
    }
    votes_.insert(from);
    if (votes_.size() < members_.majority()) {
        return;
    }
    if (role_ == role::pre_candidate) {
        campaign(false, false);
    } else {
        become_leader();
    }
}

bool replica::impl::has_recent_leader_contact() const
{
    if (role_ == role::leader) {
        return true;
    }
    return !leader_.empty() && now_ < leader_contact_ + options_.election_timeout_min;
}

bool replica::impl::has_recent_majority_contact() const
{
    std::size_t in_contact = 0;
    for (const auto& it : members_.members()) {
        if (it.role != member_role::voter) {
            continue;
        }
        const auto contact = contacts_.find(it.id);
        const absl::Time last = contact == contacts_.end()
                                    ? leader_since_
                                    : std::max(leader_since_, contact->second);
        if (it.id == self_ || now_ < last + options_.election_timeout_max) {
            ++in_contact;
        }
    }
    return in_contact >= members_.majority();
}

absl::Time replica::impl::majority_contact() const
{
    if (role_ != role::leader) {
        return absl::InfinitePast();
    }
    std::vector<absl::Time> times;
    for (const auto& it : members_.members()) {
        if (it.role != member_role::voter) {
            continue;
        }
        const auto contact = contacts_.find(it.id);
        times.push_back(
            it.id == self_               ? now_
            : contact == contacts_.end() ? absl::InfinitePast()
                                         : contact->second);
    }
    if (times.size() < members_.majority()) {
        return absl::InfinitePast();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[members_.majority() - 1];
}

std::int64_t replica::impl::majority_age_us() const
{
    constexpr absl::Duration unknown = absl::Hours(1);
    const absl::Duration age = is_synchronized() ? now_ - majority_contact() : unknown;
    return absl::ToInt64Microseconds(std::min(age, unknown));
}

bool replica::impl::is_up_to_date(const vote_request& request) const
{
    return request.last_term > log_.last_term() ||
           (request.last_term == log_.last_term() &&
            request.last_index >= log_.last_index());
}

void replica::impl::handle(
    const core::endpoint& to, const envelope& received, const vote_request& request)
{
    // A member with recent contact with its leader grants no vote. It also ignores the
    // higher term of the request, because a member that was partitioned from the group
    // must not depose a healthy leader.
    const bool keeps_leader = options_.protections.check_quorum &&
                              has_recent_leader_contact() && !request.transfer;
    if (request.pre_vote) {
        const bool granted =
            !keeps_leader && request.term > hard_state_.term && is_up_to_date(request);
        reply(
            to,
            received,
            vote_response{granted ? request.term : hard_state_.term, granted, true});
        return;
    }
    if (keeps_leader && request.term > hard_state_.term) {
        return;
    }
    if (request.term > hard_state_.term) {
        become_follower(request.term, {});
    }
    const bool can_vote =
        hard_state_.voted_for.empty() || hard_state_.voted_for == received.from;
    const bool granted = request.term == hard_state_.term && can_vote &&
                         leader_.empty() && is_up_to_date(request);
    if (granted) {
        become_follower(hard_state_.term, {});
        hard_state_.voted_for = received.from;
        hard_state_.group = received.group;
        write_state();
    }
    reply(to, received, vote_response{hard_state_.term, granted, false});
}

void replica::impl::handle(
    const core::endpoint& /*to*/, const envelope& received, const vote_response& response)
{
    if (!response.granted && response.term > hard_state_.term) {
        become_follower(response.term, {});
        return;
    }
    const core::term expected_term =
        response.pre_vote ? hard_state_.term.next() : hard_state_.term;
    const consensus::role expected_role =
        response.pre_vote ? role::pre_candidate : role::candidate;
    if (response.granted && role_ == expected_role && response.term == expected_term) {
        count_vote(received.from);
    }
}

void replica::impl::handle(
    const core::endpoint& /*to*/, const envelope& received, const timeout_now& request)
{
    if (request.term == hard_state_.term && received.from == leader_ &&
        role_ == role::follower) {
        campaign(false, true);
    }
}

} // namespace cuminpitch::consensus
