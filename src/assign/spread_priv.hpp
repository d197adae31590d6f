#pragma once

#include "cuminpitch/assign/member.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::assign {

/// Selects up to n distinct members along a ring of `length` positions. Round r selects
/// the next unselected member of each failure domain that has more than r members. `at`
/// returns the member at an offset from the start position.
template <class At, class DomainSizes>
std::vector<core::instance_id>
pick_along_ring(std::size_t length, At at, const DomainSizes& domain_sizes, std::size_t n)
{
    std::vector<core::instance_id> result;
    absl::flat_hash_set<core::instance_id> chosen;
    absl::flat_hash_map<core::failure_domain_id, std::size_t> used;
    for (std::size_t round = 0; result.size() < n; ++round) {
        std::size_t available = 0;
        for (const auto& [domain, size] : domain_sizes) {
            available += size > round ? 1 : 0;
        }
        if (available == 0) {
            break;
        }
        for (std::size_t i = 0; i < length && available > 0 && result.size() < n; ++i) {
            const member& it = at(i);
            if (used[it.domain] != round || !chosen.insert(it.id).second) {
                continue;
            }
            ++used[it.domain];
            --available;
            result.push_back(it.id);
        }
    }
    return result;
}

/// Counts one member less in the domain; removes the domain with its last member.
template <class DomainSizes>
void remove_from_domain(DomainSizes& sizes, const core::failure_domain_id& domain)
{
    const auto it = sizes.find(domain);
    if (--it->second == 0) {
        sizes.erase(it);
    }
}

} // namespace cuminpitch::assign
