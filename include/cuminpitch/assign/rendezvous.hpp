#pragma once

#include "cuminpitch/assign/member.hpp"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminpitch::assign {

/// Rendezvous (highest random weight) hashing: selects the members with the highest hash
/// of pool and member. The result depends only on the current members and not on the
/// order of joins and departures, so every leader computes the same assignment.
class rendezvous
{
public:
    /// Replaces a member with the same id.
    void join(const member& it);
    void leave(const core::instance_id& id);
    std::size_t size() const { return domains_of_.size(); }

    /// Returns up to n members, best first, spread evenly over the failure domains: no
    /// domain is used another time while a domain used fewer times has members left.
    /// Takes O(members) time.
    std::vector<core::instance_id> pick(const core::pool_id& pool, std::size_t n) const;

    /// Returns whether the join or departure of `changed` changes the result of pick().
    /// `list` is the result before the change: call this after join() or before leave().
    /// Always true for a list shorter than n. Takes O(n) time instead of O(members). All
    /// members of the list must currently be joined.
    bool is_affected(
        const core::pool_id& pool,
        std::size_t n,
        const std::vector<core::instance_id>& list,
        const member& changed) const;

private:
    struct candidate
    {
        core::instance_id id;
        std::uint64_t hash = 0;
    };

    absl::btree_map<core::failure_domain_id, std::vector<candidate>> domains_;
    absl::btree_map<core::instance_id, core::failure_domain_id> domains_of_;
};

} // namespace cuminpitch::assign
