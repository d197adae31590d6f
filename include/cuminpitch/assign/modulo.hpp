#pragma once

#include "cuminpitch/assign/member.hpp"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::assign {

/// Modulo hashing: sorts the members by id and starts at position (hash of the pool mod
/// number of members).
class modulo
{
public:
    /// Replaces a member with the same id.
    void join(const member& it);
    void leave(const core::instance_id& id);
    std::size_t size() const { return members_.size(); }

    /// Same contract as rendezvous::pick().
    std::vector<core::instance_id> pick(const core::pool_id& pool, std::size_t n) const;

private:
    std::vector<member> members_; // Sorted by id.
    absl::btree_map<core::failure_domain_id, std::size_t> domain_sizes_;
};

} // namespace cuminpitch::assign
