#include "replica_priv.hpp"

#include "overloaded_priv.hpp"

namespace cuminpitch::consensus {

core::result<proposal> replica::impl::change(const member_change& it)
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
    auto set = std::visit([&](const auto& c) { return changed(c); }, it);
    if (!set) {
        return set.error();
    }
    return propose(std::move(set.value()));
}

core::result<member_set> replica::impl::changed(const add_learner& it) const
{
    member_set out = members_;
    if (it.member.id.empty() || out.find(it.member.id) != nullptr) {
        return make_error_code(core::errc::invalid_change);
    }
    if (const member* previous = out.find_learner(it.member.name)) {
        out.erase(member_id(previous->id));
    }
    member added = it.member;
    added.role = member_role::learner;
    out.put(std::move(added));
    return out;
}

core::result<member_set> replica::impl::changed(const promote_learner& it) const
{
    const member* learner = members_.find(it.id);
    if (learner == nullptr || learner->role != member_role::learner) {
        return make_error_code(core::errc::invalid_change);
    }
    const auto known = progress_.find(it.id);
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

core::result<member_set> replica::impl::changed(const remove_member& it) const
{
    member_set out = members_;
    out.erase(it.id);
    if (out == members_ || out.voter_count() == 0) {
        return make_error_code(core::errc::invalid_change);
    }
    return out;
}

core::result<member_set> replica::impl::changed(const move_member& it) const
{
    const member* found = members_.find(it.id);
    if (found == nullptr) {
        return make_error_code(core::errc::invalid_change);
    }
    member moved = *found;
    moved.internal = it.internal;
    member_set out = members_;
    out.put(std::move(moved));
    return out;
}

} // namespace cuminpitch::consensus
