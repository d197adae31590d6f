#pragma once

#include "cuminpitch/assign/indexed_hashing.hpp"
#include "cuminpitch/assign/member.hpp"
#include "cuminpitch/assign/modulo.hpp"
#include "cuminpitch/assign/rendezvous.hpp"

#include <cstddef>
#include <variant>
#include <vector>

namespace cuminpitch::assign {

/// The algorithm that selects the entries of a pool. bench/assignment_bench.cpp compares
/// the alternatives.
using strategy = std::variant<rendezvous, indexed_hashing, modulo>;

inline void join(strategy& to, const member& it)
{
    std::visit([&](auto& algorithm) { algorithm.join(it); }, to);
}

inline void leave(strategy& from, const core::instance_id& id)
{
    std::visit([&](auto& algorithm) { algorithm.leave(id); }, from);
}

inline std::vector<core::instance_id>
pick(const strategy& from, const core::pool_id& pool, std::size_t n)
{
    return std::visit(
        [&](const auto& algorithm) { return algorithm.pick(pool, n); }, from);
}

/// Same contract as rendezvous::is_affected(). Always true for the other strategies,
/// which have no such check.
inline bool is_affected(
    const strategy& from,
    const core::pool_id& pool,
    std::size_t n,
    const std::vector<core::instance_id>& list,
    const member& changed)
{
    const auto* it = std::get_if<rendezvous>(&from);
    return it == nullptr || it->is_affected(pool, n, list, changed);
}

} // namespace cuminpitch::assign
