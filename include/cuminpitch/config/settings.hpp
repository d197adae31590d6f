#pragma once

#include "cuminpitch/core/error.hpp"

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cuminpitch::config {

/// The settings tree, a map from path to canonical JSON text.
using settings = absl::btree_map<std::string, std::string>;

/// A validation error. Problems are ordered by file, path and reason.
struct problem
{
    std::string file;   ///< Relative to the folder of declarations.
    std::string path;   ///< Settings path; empty if the problem concerns the whole file.
    std::string reason; ///< What is wrong and what is allowed, on one line.

    friend bool operator<(const problem& a, const problem& b)
    {
        return std::tie(a.file, a.path, a.reason) < std::tie(b.file, b.path, b.reason);
    }
    friend bool operator==(const problem&, const problem&) = default;
};

/// Returns "<file>: <path>: <reason>", or "<file>: <reason>" if the path is empty.
std::string to_string(const problem& it);

/// Serializes a JSON text without white space and with sorted keys. Equal values of the
/// same type give the same text on every instance. Fails with errc::invalid_change if the
/// text is not exactly one JSON value in UTF-8, has duplicate keys or is nested too
/// deeply.
core::result<std::string> canonical_json(const std::string& text);

/// Returns true if the text is a valid name of a team, pool, route, instance or failure
/// domain: [a-z0-9-]{1,63}.
bool is_name(const std::string& text);

/// Returns the team of a path "teams/<team>/..."; nothing for other paths.
std::optional<std::string> team_of(const std::string& path);

/// Returns the file that contains the setting at a path, relative to the folder of
/// declarations.
std::string file_of(const std::string& path);

/// Returns the settings whose paths start with "teams/<team>/".
settings team_subtree(const settings& all, const std::string& team);

} // namespace cuminpitch::config
