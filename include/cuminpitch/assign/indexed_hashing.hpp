#pragma once

#include "cuminpitch/assign/member.hpp"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminpitch::assign {

/// Indexed hashing after Zhou and Li, "Dynamic Join and Departure in Shared Object
/// Middlewares". Each slot of a table of N slots is owned by one member, and each of n
/// members owns floor(N/n) or ceil(N/n) slots. The first member for a pool is the owner
/// of slot (hash of the pool mod N); the others are the next different owners in the
/// table. The table depends on the order of joins and departures.
class indexed_hashing
{
public:
    /// The table must have at least as many slots as there are members at any time.
    explicit indexed_hashing(std::size_t slots);

    /// Takes one slot at a time from the members with the most slots, in round-robin
    /// order (pointer hp of the paper), until the new member has as many slots as the
    /// member with the fewest. Replaces a member with the same id.
    void join(const member& it);
    /// Gives one slot at a time to the members with the fewest slots, in round-robin
    /// order (pointer lp of the paper).
    void leave(const core::instance_id& id);
    std::size_t size() const { return members_.size(); }

    /// Same contract as rendezvous::pick().
    std::vector<core::instance_id> pick(const core::pool_id& pool, std::size_t n) const;

    /// Number of slots that the member owns; 0 for an unknown member.
    std::size_t slots_of(const core::instance_id& id) const;

private:
    using index = std::uint32_t;

    struct owner
    {
        member info;
        std::vector<index> slots;
    };

    std::size_t min_slots() const { return members_by_slots_.begin()->first; }
    std::size_t max_slots() const { return members_by_slots_.rbegin()->first; }
    std::size_t position(const core::instance_id& id) const;
    void update_counts(std::size_t before, std::size_t after);
    void assign_slot(std::size_t to, index slot);
    std::size_t next_member_with(std::size_t count, std::size_t& pointer) const;

    // Members are in the order of joins. The table maps a slot to its owner's position.
    std::vector<owner> members_;
    std::vector<index> table_;
    // Maps a number of owned slots to the number of members that own so many.
    absl::btree_map<std::size_t, std::size_t> members_by_slots_;
    absl::btree_map<core::failure_domain_id, std::size_t> domain_sizes_;
    std::size_t hp_ = 0;
    std::size_t lp_ = 0;
};

} // namespace cuminpitch::assign
