#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/config/settings.hpp"

#include <filesystem>
#include <vector>

namespace cuminpitch::config {

struct loaded_folder
{
    settings tree;                 ///< Settings from all valid files.
    std::vector<problem> problems; ///< Sorted; empty if all files are valid.
};

/// Reads teams/<team>/pools/<pool>.json, teams/<team>/routes/<route>.json and
/// teams/<team>/customers/<customer>.json and teams/<team>/limits/callers.json below the
/// folder. Ignores hidden files next to teams/; reports anything else that is not a
/// declaration as a problem.
loaded_folder load_folder(const std::filesystem::path& folder);

/// Calls load_folder() and compile(), and returns the problems of both together.
loaded_folder load_and_check(const std::filesystem::path& folder);

} // namespace cuminpitch::config
