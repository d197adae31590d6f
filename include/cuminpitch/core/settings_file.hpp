#pragma once

#include "cuminpitch/core/setting_parser.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::core {

/// Settings in a text file, a line "<name>=<value>" each, in place of flags. Empty lines,
/// lines that begin with '#' and settings without value are left out.
class settings_file
{
public:
    explicit settings_file(std::string path) : path_(std::move(path)) {}

    /// The flags "--<name>=<value>", or why the file can't be used.
    std::variant<std::vector<std::string>, exit_request> read();

    /// Whether the file differs from what read() last returned. A file that can't be read
    /// at the moment counts as unchanged.
    bool has_changed() const;

private:
    std::optional<std::string> content() const;

    std::string path_;
    std::string last_;
};

} // namespace cuminpitch::core
