#pragma once

#include "cuminpitch/consensus/member.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace cuminpitch::control {

/// A member that sent a message within this time is in contact: one of its hellos may be
/// lost.
inline constexpr absl::Duration contact_time = absl::Seconds(2);

struct heard_member
{
    const consensus::member* member;
    absl::Time last_heard;
};

/// The voters of a group of control instances as its leader sees them.
struct group_size
{
    std::size_t voters = 0;
    std::size_t in_contact = 0; ///< Voters in contact, with the leader.
    std::size_t learners = 0;

    std::size_t majority() const { return voters / 2 + 1; }
    /// Voters whose loss at one moment, with their disks, leaves a majority and every
    /// acknowledged change.
    std::size_t bearable_losses() const;

    friend bool operator==(const group_size&, const group_size&) = default;
};

group_size size_of(
    absl::Time now,
    const std::vector<heard_member>& members,
    absl::Duration contact = contact_time);

struct member_limits
{
    /// Time without a message after which voters are removed.
    absl::Duration voter_timeout;
    /// The same for learners, and for voters of a group of even size.
    absl::Duration surplus_timeout;
    /// Voters that may be lost at one moment, with their disks.
    std::size_t declared_losses = 1;

    /// Voters that this needs: without the lost ones a majority is left, and a majority
    /// has members that aren't lost.
    std::size_t min_voters() const
    {
        return std::max<std::size_t>(3, 2 * declared_losses + 1);
    }
};

/// Returns the member to remove now, if there is one. A learner that never returns would
/// stay in the lists that entries get. A voter that never returns would count towards
/// every majority, but the group keeps the voters that the declared losses need.
std::optional<consensus::member> member_to_remove(
    absl::Time now,
    const std::vector<heard_member>& members,
    const member_limits& limits);

} // namespace cuminpitch::control
