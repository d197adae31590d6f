#pragma once

#include "cuminpitch/request/path_matching.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cuminpitch::request {

/// Normalizes a path for comparison with route prefixes: decodes percent-encoded
/// unreserved characters and merges repeated slashes. Returns nothing for a path that
/// doesn't start with "/" or has "." or ".." segments, encoded or not: a backend server
/// may resolve those to a path of another route, whose requests may not be idempotent.
std::optional<std::string> routing_path(std::string_view path);

/// Returns the form of the path that these rules compare with prefixes. Returns nothing
/// for a path that no route can have.
std::optional<std::string>
routing_path(const path_matching& rules, std::string_view path);

} // namespace cuminpitch::request
