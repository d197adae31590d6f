#pragma once

#include <algorithm>
#include <cstddef>

namespace cuminpitch::control {

/// The voters of a group of control instances as its leader sees them.
struct group_size
{
    std::size_t voters = 0;
    std::size_t in_contact = 0; ///< Voters heard within two seconds, with the leader.
    std::size_t learners = 0;

    std::size_t majority() const { return voters / 2 + 1; }
    /// Voters whose loss at one moment, with their disks, leaves a majority and every
    /// acknowledged change.
    std::size_t bearable_losses() const
    {
        return std::min(in_contact - std::min(in_contact, majority()), majority() - 1);
    }

    friend bool operator==(const group_size&, const group_size&) = default;
};

} // namespace cuminpitch::control
