#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/config/settings.hpp"

#include <variant>
#include <vector>

namespace cuminpitch::config {

/// Turns a settings tree into typed declarations, or returns all problems, sorted.
/// The result depends only on the tree, so all instances get the same one.
std::variant<declarations, std::vector<problem>> compile(const settings& tree);

/// Returns the same result as compile(tree), given the declarations `before` of the tree
/// in which the paths `changed` were not yet set or deleted. Reads only the pools, routes
/// and limits of these paths, because compile() of a tree of the target size takes longer
/// than a Raft election timeout.
std::variant<declarations, std::vector<problem>> recompile(
    const declarations& before,
    const settings& tree,
    const std::vector<std::string>& changed);

} // namespace cuminpitch::config
