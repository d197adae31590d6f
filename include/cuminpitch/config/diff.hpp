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

/// The JSON text to print for the value of a setting: for the keys of a customer their
/// number, such as "2 keys", otherwise the value itself.
std::string shown_value(const std::string& path, const std::string& value);

/// Returns "+ path = new", "- path = old" or "~ path = old -> new", with shown_value().
std::string to_string(const operation& it);

} // namespace cuminpitch::config
