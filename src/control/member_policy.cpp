#include "control/member_policy_priv.hpp"

namespace cuminpitch::control {
namespace {

/// Voters in contact send several messages in this time.
constexpr absl::Duration recent_contact_time = absl::Seconds(1);

const heard_member* most_silent(const std::vector<heard_member>& members, bool is_voter)
{
    const heard_member* out = nullptr;
    for (const auto& it : members) {
        const bool matches =
            (it.member->role == consensus::member_role::voter) == is_voter;
        if (matches && (out == nullptr || it.last_heard < out->last_heard)) {
            out = &it;
        }
    }
    return out;
}

} // namespace

std::size_t group_size::bearable_losses() const
{
    return std::min(in_contact - std::min(in_contact, majority()), majority() - 1);
}

group_size
size_of(absl::Time now, const std::vector<heard_member>& members, absl::Duration contact)
{
    group_size out;
    for (const auto& it : members) {
        const bool is_voter = it.member->role == consensus::member_role::voter;
        out.voters += is_voter ? 1 : 0;
        out.learners += is_voter ? 0 : 1;
        out.in_contact += is_voter && now - it.last_heard < contact ? 1 : 0;
    }
    return out;
}

std::optional<consensus::member> member_to_remove(
    absl::Time now, const std::vector<heard_member>& members, const member_limits& limits)
{
    const auto* learner = most_silent(members, false);
    if (learner != nullptr && now - learner->last_heard >= limits.surplus_timeout) {
        return *learner->member;
    }
    const auto size = size_of(now, members, recent_contact_time);
    const auto* voter = most_silent(members, true);
    const auto timeout =
        size.voters % 2 == 0 ? limits.surplus_timeout : limits.voter_timeout;
    if (voter == nullptr || now - voter->last_heard < timeout ||
        size.voters <= limits.min_voters() || size.in_contact < limits.min_voters()) {
        return std::nullopt;
    }
    return *voter->member;
}

} // namespace cuminpitch::control
