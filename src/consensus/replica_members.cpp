#include "replica_priv.hpp"

namespace cuminpitch::consensus {

core::result<proposal> replica::impl::change_members(const member_change& change)
{
    if (role_ != role::leader) {
        return make_error_code(core::errc::not_leader);
    }
    // Majorities of two successive member sets have a voter in common; those of sets that
    // are further apart may not. Until an entry of this term is committed, a change by an
    // earlier leader may still be uncommitted at other members.
    if (log_.members_index() > commit_ || commit_ < term_start_) {
        return make_error_code(core::errc::unavailable);
    }
    auto set = std::visit([&](const auto& c) { return members_after(c); }, change);
    if (!set) {
        return set.error();
    }
    return propose(std::move(set.value()));
}

core::result<member_set> replica::impl::members_after(const add_learner& change) const
{
    member_set out = members_;
    if (change.member.id.empty() || out.find(change.member.id) != nullptr) {
        return make_error_code(core::errc::invalid_change);
    }
    if (const member* previous = out.find_learner(change.member.name)) {
        out.erase(member_id(previous->id));
    }
    member added = change.member;
    added.role = member_role::learner;
    out.put(std::move(added));
    return out;
}

core::result<member_set> replica::impl::members_after(const promote_learner& change) const
{
    const member* learner = members_.find(change.id);
    if (learner == nullptr || learner->role != member_role::learner) {
        return make_error_code(core::errc::invalid_change);
    }
    const auto known = progress_.find(change.id);
    const bool caught_up = known != progress_.end() &&
                           known->second.match.value() + options_.max_promotion_lag >=
                               log_.last_index().value() &&
                           known->second.match >= term_start_;
    if (!caught_up) {
        return make_error_code(core::errc::unavailable);
    }
    member_set out = members_;
    if (const member* previous = out.find_voter(learner->name)) {
        // The voter to be replaced must not be able to vote any more, so a voter that
        // still responds is not replaced.
        const auto contact = contacts_.find(previous->id);
        const bool alive = previous->id == self_ ||
                           (contact != contacts_.end() &&
                            now_ < contact->second + options_.election_timeout_max);
        if (alive) {
            return make_error_code(core::errc::unavailable);
        }
        out.erase(member_id(previous->id));
    }
    member promoted = *learner;
    promoted.role = member_role::voter;
    out.put(std::move(promoted));
    return out;
}

core::result<member_set> replica::impl::members_after(const remove_member& change) const
{
    member_set out = members_;
    out.erase(change.id);
    if (out == members_ || out.voter_count() == 0) {
        return make_error_code(core::errc::invalid_change);
    }
    return out;
}

core::result<member_set> replica::impl::members_after(const move_member& change) const
{
    const member* found = members_.find(change.id);
    if (found == nullptr) {
        return make_error_code(core::errc::invalid_change);
    }
    member moved = *found;
    moved.internal = change.internal;
    member_set out = members_;
    out.put(std::move(moved));
    return out;
}

} // namespace cuminpitch::consensus
