#pragma once

#include "cuminpitch/config/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::config {

/// One difference between two settings trees.
struct operation
{
    std::string path;
    std::optional<std::string> old_value; ///< Empty if the path is added.
    std::optional<std::string> new_value; ///< Empty if the path is deleted.

    friend bool operator==(const operation&, const operation&) = default;
};

/// Returns the operations that turn `from` into `to`, sorted by path.
std::vector<operation> diff(const settings& from, const settings& to);

/// Returns "+ path = new", "- path = old" or "~ path = old -> new".
std::string to_string(const operation& it);

} // namespace cuminpitch::config
